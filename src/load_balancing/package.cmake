# Selects the backend host that an attempt is sent to. Pure: no I/O, no clock.
add_library(curlewdoor_load_balancing STATIC src/load_balancing/load_balancer.cpp)
target_link_libraries(curlewdoor_load_balancing PUBLIC curlewdoor_logic)
system_test(load_balancer_test tests/load_balancing/load_balancer_test.cpp curlewdoor_load_balancing)
