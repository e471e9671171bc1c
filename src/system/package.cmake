# The whole gateway: one node, and its program.
add_library(curlewdoor_node STATIC src/quota/quota_counters.cpp src/quota/priority_throttle.cpp src/quota/quota_plan.cpp
                                   src/quota/share_allocator.cpp
                                   src/system/call_door.cpp src/system/command.cpp src/system/config_feed.cpp
                                   src/system/config_source.cpp src/system/coordination_calls.cpp
                                   src/system/coordination_host.cpp src/system/coordination_http.cpp src/system/core_calls.cpp src/system/founding_host.cpp
                                   src/system/front.cpp src/system/front_dialect.cpp src/system/front_in_force.cpp src/system/front_shutdown.cpp
                                   src/system/link.cpp src/system/message.cpp src/system/node.cpp src/system/node_calls.cpp
                                   src/system/node_coordination.cpp src/system/node_core.cpp src/system/node_count.cpp
                                   src/system/node_directory.cpp src/system/node_feed.cpp
                                   src/system/node_membership.cpp
                                   src/system/node_messages.cpp src/system/node_registry.cpp src/system/node_shutdown.cpp
                                   src/system/report.cpp src/util/text_delta.cpp)
target_include_directories(curlewdoor_node SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_node PRIVATE MSGPACK_NO_BOOST)
target_link_libraries(curlewdoor_node PUBLIC curlewdoor_net curlewdoor_settings curlewdoor_events curlewdoor_policy
                                             curlewdoor_service_registry curlewdoor_registry_replication curlewdoor_agreement curlewdoor_coordination
                                             curlewdoor_storage
                                             curlewdoor_load_balancing curlewdoor_retry curlewdoor_fleet
                                      PRIVATE ${CJSON})

include(${CMAKE_SOURCE_DIR}/src/console/package.cmake)

add_executable(curlewdoor-system src/system/main.cpp)
target_link_libraries(curlewdoor-system PRIVATE curlewdoor_console curlewdoor_node)
target_include_directories(curlewdoor-system SYSTEM PRIVATE ${TCLAP})
target_compile_definitions(curlewdoor-system PRIVATE CURLEWDOOR_VERSION="${PROJECT_VERSION}")
system_test(pressure_test tests/quota/pressure_test.cpp curlewdoor_node)
system_test(held_counts_test tests/quota/held_counts_test.cpp curlewdoor_node)
system_test(share_allocator_test tests/quota/share_allocator_test.cpp curlewdoor_node)
if(NOT CURLEWDOOR_SANITIZE)  # searches of many seeds and states: too many for a sanitized build
  system_test(quota_test tests/quota/quota_test.cpp curlewdoor_node)
  system_test(count_model_check_test tests/quota/model_check_test.cpp curlewdoor_node)
endif()
system_test(message_test tests/system/message_test.cpp curlewdoor_node)
system_test(golden_test tests/system/golden_test.cpp curlewdoor_node)
if(CURLEWDOOR_TESTS)
  target_include_directories(golden_test SYSTEM PRIVATE ${MSGPACK})
  target_compile_definitions(golden_test PRIVATE MSGPACK_NO_BOOST)
endif()
system_test(text_delta_test tests/util/text_delta_test.cpp curlewdoor_node)
system_test(config_feed_test tests/system/config_feed_test.cpp curlewdoor_node)
system_test(core_calls_test tests/system/core_calls_test.cpp curlewdoor_node)
system_test(config_source_test tests/system/config_source_test.cpp curlewdoor_node)
if(NOT CURLEWDOOR_SANITIZE)
  system_test(feed_model_check_test tests/system/feed_model_check_test.cpp curlewdoor_node)
endif()
system_test(pause_watch_test tests/system/pause_watch_test.cpp curlewdoor_node)
system_test(redundancy_watch_test tests/system/redundancy_watch_test.cpp curlewdoor_node)
system_test(link_test tests/system/link_test.cpp curlewdoor_node)
system_test(coordination_calls_test tests/system/coordination_calls_test.cpp curlewdoor_node)
system_test(coordination_http_test tests/system/coordination_http_test.cpp curlewdoor_node)
system_test(call_door_test tests/system/call_door_test.cpp curlewdoor_node)
system_test(answer_binding_test tests/system/answer_binding_test.cpp curlewdoor_node)
system_test(attempt_path_test tests/system/attempt_path_test.cpp curlewdoor_node)
system_test(pipeline_test tests/system/pipeline_test.cpp curlewdoor_node)
system_test(front_verdict_test tests/system/front_verdict_test.cpp curlewdoor_node)
system_test(front_shutdown_test tests/system/front_shutdown_test.cpp curlewdoor_node)
if(CURLEWDOOR_TESTS)
  add_test(NAME three_machines COMMAND ${CMAKE_SOURCE_DIR}/tests/system/three.sh $<TARGET_FILE:curlewdoor-system>)
  add_test(NAME three_without_disks
           COMMAND ${CMAKE_SOURCE_DIR}/tests/system/three.sh $<TARGET_FILE:curlewdoor-system> --without-disks)
  add_test(NAME coordination_late_finish
           COMMAND ${CMAKE_SOURCE_DIR}/tests/system/late_finish.sh $<TARGET_FILE:curlewdoor-system>)
  set_tests_properties(three_machines three_without_disks coordination_late_finish PROPERTIES TIMEOUT 120)
endif()
