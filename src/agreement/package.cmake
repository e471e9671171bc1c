# The core: epochs of members and the configuration that they keep. Pure logic without I/O.
add_library(curlewdoor_agreement STATIC
  src/agreement/initial_epoch.cpp src/agreement/codec.cpp src/agreement/core.cpp src/agreement/bootstrapper.cpp
  src/agreement/outcome_log.cpp
  src/agreement/membership.cpp src/agreement/placement.cpp src/agreement/calls.cpp src/agreement/register.cpp src/agreement/snapshots.cpp
  src/util/address.cpp)
target_include_directories(curlewdoor_agreement PUBLIC src)
target_include_directories(curlewdoor_agreement SYSTEM PRIVATE ${MSGPACK})
system_test_by_case(agreement_test tests/agreement/agreement_test.cpp curlewdoor_agreement)
system_test_by_case(bootstrap_test tests/agreement/bootstrap_test.cpp curlewdoor_agreement)
system_test(placement_test tests/agreement/placement_test.cpp curlewdoor_agreement)
system_test(memory_core_test tests/agreement/memory_core_test.cpp curlewdoor_agreement)
if(NOT CURLEWDOOR_SANITIZE)  # millions of states: too many for a sanitized build
  system_test(bootstrap_model_check_test tests/agreement/bootstrap_model_check_test.cpp curlewdoor_agreement)
  system_test(agreement_model_check_test tests/agreement/model_check_test.cpp curlewdoor_agreement)
endif()
if(CURLEWDOOR_TESTS)  # the longest test starts first
  # Searches in virtual time: only a hang reaches this.
  set_tests_properties(agreement_test_no_seed_breaks_a_promise agreement_test_a_faulty_core_is_caught
                       PROPERTIES COST 1000 TIMEOUT 600)
endif()
