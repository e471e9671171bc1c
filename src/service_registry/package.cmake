# Registry of backend hosts: API calls decoded into commands, and entries merged from them. Pure.
add_library(curlewdoor_service_registry STATIC src/service_registry/hosts_by_service.cpp src/service_registry/codec.cpp
                                        src/service_registry/command.cpp src/service_registry/service_registry.cpp
                                        src/service_registry/heartbeat_targets.cpp src/service_registry/json_body.cpp)
target_include_directories(curlewdoor_service_registry PUBLIC src)
target_include_directories(curlewdoor_service_registry SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_service_registry PRIVATE MSGPACK_NO_BOOST)
target_link_libraries(curlewdoor_service_registry PUBLIC curlewdoor_members ${CJSON})
system_test(heartbeat_targets_test tests/service_registry/heartbeat_targets_test.cpp curlewdoor_service_registry)
system_test(service_registry_test tests/service_registry/service_registry_test.cpp curlewdoor_service_registry)
