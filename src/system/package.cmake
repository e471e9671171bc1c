# The whole gateway: one node, and its program.
add_library(curlewdoor_node STATIC src/counting/held_counts.cpp src/system/call_door.cpp src/system/front.cpp
                                   src/system/link.cpp src/system/message.cpp src/system/node.cpp)
target_include_directories(curlewdoor_node SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_node PRIVATE MSGPACK_NO_BOOST)
target_link_libraries(curlewdoor_node PUBLIC curlewdoor_net curlewdoor_settings curlewdoor_events curlewdoor_policy
                                             curlewdoor_directory curlewdoor_agreement curlewdoor_shelf
                                             curlewdoor_choosing curlewdoor_trying curlewdoor_fleet)
add_executable(curlewdoor-system src/system/main.cpp)
target_link_libraries(curlewdoor-system PRIVATE curlewdoor_node)
target_include_directories(curlewdoor-system SYSTEM PRIVATE ${TCLAP})
target_compile_definitions(curlewdoor-system PRIVATE CURLEWDOOR_VERSION="${PROJECT_VERSION}")
