add_library(curlewdoor_settings STATIC src/settings/settings.cpp src/util/address.cpp)
target_include_directories(curlewdoor_settings PUBLIC src)
target_link_libraries(curlewdoor_settings PRIVATE ${YAML_CPP})
system_test(settings_test tests/settings/settings_test.cpp curlewdoor_settings)
