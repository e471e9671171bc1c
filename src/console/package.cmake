# The command line's commands but for `run gateway`: what operators ask running gateways, and looks at files.
add_library(curlewdoor_console STATIC src/console/cluster_commands.cpp src/console/config_commands.cpp
                                      src/console/config_diff.cpp src/console/console.cpp src/console/coordination_commands.cpp
                                      src/console/json_view.cpp src/console/local_commands.cpp
                                      src/console/session.cpp src/console/storage_commands.cpp
                                      src/console/table.cpp src/system/caller.cpp)
target_compile_definitions(curlewdoor_console PRIVATE CURLEWDOOR_VERSION="${PROJECT_VERSION}")
target_link_libraries(curlewdoor_console PUBLIC curlewdoor_node ${CJSON})
system_test(console_test tests/console/console_test.cpp curlewdoor_console)
if(CURLEWDOOR_TESTS)
  target_compile_definitions(console_test PRIVATE CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
  add_dependencies(console_test curlewdoor-system)
endif()
