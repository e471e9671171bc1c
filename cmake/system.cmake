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
    if(NOT SYSTEM_TEST_BY_CASE)
      add_test(NAME ${name} COMMAND ${name})
      set_tests_properties(${name} PROPERTIES TIMEOUT 180)
    endif()
  endif()
endfunction()

# The cases of a test file, each a test of its own, so that they are played beside each other. They stand in no
# suite, each on a line of its own: test_cases(NAME SOURCE PREFIX [PROPERTY VALUE]...).
function(test_cases name source prefix)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${source})
  file(STRINGS ${CMAKE_SOURCE_DIR}/${source} cases REGEX "^BOOST_AUTO_TEST_CASE\\([a-z0-9_]+\\)")
  file(STRINGS ${CMAKE_SOURCE_DIR}/${source} all REGEX "BOOST_[A-Z_]*(TEST_CASE|TEST_SUITE\\()")
  list(LENGTH cases found)
  list(LENGTH all expected)
  if(NOT found EQUAL expected)
    message(FATAL_ERROR "${source}: ${expected} cases and suites, of which ${found} could be made tests of their own")
  endif()
  foreach(case ${cases})
    string(REGEX REPLACE "^BOOST_AUTO_TEST_CASE.([a-z0-9_]+).*" "\\1" case "${case}")
    add_test(NAME ${prefix}_${case} COMMAND ${name} --run_test=${case} --log_level=message)
    set_tests_properties(${prefix}_${case} PROPERTIES ${ARGN})
  endforeach()
endfunction()

# The same as system_test() for a file with long cases: system_test_by_case(NAME SOURCE LIBRARY...).
function(system_test_by_case name source)
  set(SYSTEM_TEST_BY_CASE ON)
  system_test(${name} ${source} ${ARGN})
  if(CURLEWDOOR_TESTS)
    test_cases(${name} ${source} ${name} TIMEOUT 180)
  endif()
endfunction()

foreach(package settings events policy service_registry registry_replication agreement coordination storage load_balancing retry system systemkit)
  include(${CMAKE_CURRENT_SOURCE_DIR}/src/${package}/package.cmake OPTIONAL)
endforeach()
