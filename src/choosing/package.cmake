# Which host of a service a request goes to. Pure.
add_library(curlewdoor_choosing STATIC src/choosing/choosing.cpp)
target_link_libraries(curlewdoor_choosing PUBLIC curlewdoor_logic)
