# What became of an attempt, whether there is another, and the budget of further tries. Pure.
add_library(curlewdoor_trying STATIC src/trying/attempt.cpp src/trying/trying.cpp)
target_link_libraries(curlewdoor_trying PUBLIC curlewdoor_logic)
system_test(attempt_model_test tests/trying/attempt_model_test.cpp curlewdoor_trying)
system_test(trying_test tests/trying/trying_test.cpp curlewdoor_trying)
