# Locks, numbers, keys and watches: the replicated log, its state machine, and the calls of a member. No I/O.
add_library(curlewdoor_coordination STATIC
  src/coordination/call.cpp src/coordination/command.cpp src/coordination/coordinator.cpp src/coordination/log.cpp
  src/coordination/replica.cpp src/coordination/replica_leader.cpp src/coordination/replica_message.cpp
  src/coordination/state_machine.cpp src/coordination/watch_table.cpp)
target_include_directories(curlewdoor_coordination PUBLIC src)
target_include_directories(curlewdoor_coordination SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_coordination PRIVATE MSGPACK_NO_BOOST)
target_link_libraries(curlewdoor_coordination PUBLIC curlewdoor_agreement)
system_test(replica_test tests/coordination/replica_test.cpp curlewdoor_coordination)
system_test(coordinator_test tests/coordination/coordinator_test.cpp curlewdoor_coordination)
system_test(state_machine_test tests/coordination/state_machine_test.cpp curlewdoor_coordination)
if(NOT CURLEWDOOR_SANITIZE)  # hundreds of thousands of states take too long in a sanitized build
  system_test(coordination_model_check_test tests/coordination/model_check_test.cpp curlewdoor_coordination)
endif()
system_test(replica_search_test tests/coordination/replica_search_test.cpp curlewdoor_coordination)
system_test(replica_rules_test tests/coordination/replica_rules_test.cpp curlewdoor_coordination)
system_test(coordination_leave_test tests/coordination/leave_test.cpp curlewdoor_coordination)
system_test(watch_table_test tests/coordination/watch_table_test.cpp curlewdoor_coordination)
system_test(replica_records_test tests/coordination/replica_records_test.cpp curlewdoor_coordination)
system_test(failover_test tests/coordination/failover_test.cpp curlewdoor_coordination)
