# The operators' configuration: validation, routes, tenants, and traffic splits. Pure.
add_library(curlewdoor_policy STATIC src/policy/policy.cpp src/policy/json_validator.cpp src/policy/json_slices.cpp
                                     src/policy/split_sequence.cpp)
target_include_directories(curlewdoor_policy PUBLIC src)
target_link_libraries(curlewdoor_policy PRIVATE ${CJSON})
system_test(split_sequence_test tests/policy/split_sequence_test.cpp curlewdoor_policy)
system_test(policy_test tests/policy/policy_test.cpp curlewdoor_policy)
