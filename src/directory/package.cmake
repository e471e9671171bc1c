# Which hosts there are: calls as commands, entries folded from them. Pure.
add_library(curlewdoor_directory STATIC src/directory/by_service.cpp src/directory/codec.cpp
                                        src/directory/command.cpp src/directory/directory.cpp
                                        src/directory/heartbeat_targets.cpp src/directory/json_body.cpp)
target_include_directories(curlewdoor_directory PUBLIC src)
target_include_directories(curlewdoor_directory SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_directory PRIVATE MSGPACK_NO_BOOST)
target_link_libraries(curlewdoor_directory PUBLIC curlewdoor_members ${CJSON})
system_test(heartbeat_targets_test tests/directory/heartbeat_targets_test.cpp curlewdoor_directory)
system_test(directory_test tests/directory/directory_test.cpp curlewdoor_directory)
