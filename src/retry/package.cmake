# Classifies the outcome of an attempt, decides whether the request is retried, and limits retries by a budget. Pure.
add_library(curlewdoor_retry STATIC src/retry/attempt.cpp src/retry/retry.cpp)
target_link_libraries(curlewdoor_retry PUBLIC curlewdoor_logic)
system_test(attempt_model_test tests/retry/attempt_model_test.cpp curlewdoor_retry)
system_test(retry_test tests/retry/retry_test.cpp curlewdoor_retry)
