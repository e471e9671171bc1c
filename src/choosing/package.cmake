# Which host of a service a request goes to. Pure.
add_library(curlewdoor_choosing STATIC src/choosing/choosing.cpp)
target_link_libraries(curlewdoor_choosing PUBLIC curlewdoor_logic)
system_test(choosing_test tests/choosing/choosing_test.cpp curlewdoor_choosing)
