add_library(curlewdoor_events STATIC src/events/events.cpp src/events/rate_limit.cpp)
target_include_directories(curlewdoor_events PUBLIC src)
target_link_libraries(curlewdoor_events PRIVATE ${LOG4CPLUS})
system_test(events_test tests/events/events_test.cpp curlewdoor_events)
