# The whole gateway, deploy/system.toml: one library a package, as for the old program. Each package lists its own
# sources, links and tests in src/<package>/package.cmake.
find_library(YAML_CPP yaml-cpp REQUIRED)
find_library(CJSON cjson REQUIRED)
find_library(LOG4CPLUS log4cplus REQUIRED)
find_library(LEVELDB leveldb REQUIRED)
find_path(MSGPACK msgpack.hpp REQUIRED)
find_path(TCLAP tclap/CmdLine.h REQUIRED)
if(CURLEWDOOR_TESTS)
  find_package(Boost REQUIRED COMPONENTS unit_test_framework)
endif()

# A test of the system, by Boost.Test: system_test(NAME SOURCE LIBRARY...).
function(system_test name source)
  if(CURLEWDOOR_TESTS)
    enable_testing()
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE ${ARGN} Boost::unit_test_framework)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${name}
                                               CURLEWDOOR_DOCS="${CMAKE_SOURCE_DIR}/docs"
                                               CURLEWDOOR_TESTS_DIR="${CMAKE_SOURCE_DIR}/tests")
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 180)
  endif()
endfunction()

foreach(package settings events policy directory registry agreement storage choosing trying system systemkit)
  include(${CMAKE_CURRENT_SOURCE_DIR}/src/${package}/package.cmake OPTIONAL)
endforeach()
