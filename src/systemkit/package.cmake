# Stand-ins for what surrounds a deployment (hosts, clients, an operator), and real processes on loopback.
# Uses the kit's process and server: with -DCURLEWDOOR_KIT=ON only.
if(CURLEWDOOR_KIT)
  add_library(curlewdoor_systemkit STATIC EXCLUDE_FROM_ALL
    src/systemkit/calls.cpp src/systemkit/clients.cpp src/systemkit/host.cpp src/systemkit/machines.cpp
    src/systemkit/operator.cpp src/systemkit/relays.cpp src/systemkit/register_history.cpp src/systemkit/sightings.cpp src/systemkit/world.cpp)
  target_link_libraries(curlewdoor_systemkit PUBLIC curlewdoor_playing nlohmann_json::nlohmann_json)
  system_test(register_history_test tests/system/register_history_test.cpp curlewdoor_systemkit)
  foreach(name whole_path_test quota_path_test)
    system_test(${name} tests/system/${name}.cpp curlewdoor_systemkit)
    if(CURLEWDOOR_TESTS)
      target_compile_definitions(${name} PRIVATE CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
      add_dependencies(${name} curlewdoor-system)
      # Time counts in them: not more at once than the machine can play.
      set_tests_properties(${name} PROPERTIES PROCESSORS 3)
    endif()
  endforeach()
  if(CURLEWDOOR_TESTS)
    # Scenarios of the core that mostly wait: one test each, so that they are played beside each other.
    add_executable(core_loss_test tests/system/core_loss_test.cpp)
    target_link_libraries(core_loss_test PRIVATE curlewdoor_systemkit Boost::unit_test_framework)
    target_compile_definitions(core_loss_test PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=core_loss_test
                                                      CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
    add_dependencies(core_loss_test curlewdoor-system)
    file(STRINGS tests/system/core_loss_test.cpp scenarios REGEX "^BOOST_AUTO_TEST_CASE")
    foreach(scenario ${scenarios})
      string(REGEX REPLACE "^BOOST_AUTO_TEST_CASE.([a-z0-9_]+).*" "\\1" scenario "${scenario}")
      add_test(NAME core_loss_${scenario} COMMAND core_loss_test --run_test=${scenario})
      set_tests_properties(core_loss_${scenario} PROPERTIES TIMEOUT 120 PROCESSORS 1)
    endforeach()
    # Histories of the register, judged from outside; each scenario a test, as above.
    set(histories cut orders loss changes reset)
    list(TRANSFORM histories REPLACE "(.+)" "tests/system/history_\\1_test.cpp" OUTPUT_VARIABLE history_sources)
    add_executable(history_test tests/system/history_scene.cpp tests/system/history_test_main.cpp ${history_sources})
    target_link_libraries(history_test PRIVATE curlewdoor_systemkit Boost::unit_test_framework)
    target_compile_definitions(history_test PRIVATE BOOST_TEST_DYN_LINK
                                                    CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
    add_dependencies(history_test curlewdoor-system)
    foreach(history ${histories})
      file(STRINGS tests/system/history_${history}_test.cpp scenarios REGEX "^BOOST_AUTO_TEST_CASE")
      foreach(scenario ${scenarios})
        string(REGEX REPLACE "^BOOST_AUTO_TEST_CASE.([a-z0-9_]+).*" "\\1" scenario "${scenario}")
        add_test(NAME history_${history}_${scenario} COMMAND history_test --run_test=${scenario} --log_level=message)
        set_tests_properties(history_${history}_${scenario} PROPERTIES TIMEOUT 120 PROCESSORS 1)
      endforeach()
    endforeach()
  endif()

  # How control grows with gateways, hosts and changes: bench/scale.sh, by hand. Whole gateways, many in a process.
  add_executable(curlewdoor-scale EXCLUDE_FROM_ALL bench/scale.cpp src/systemkit/hollow.cpp)
  target_link_libraries(curlewdoor-scale PRIVATE curlewdoor_systemkit curlewdoor_node)
  add_executable(curlewdoor-scale-view EXCLUDE_FROM_ALL bench/scale_view.cpp)
  target_link_libraries(curlewdoor-scale-view PRIVATE curlewdoor_fleetkit)
  add_dependencies(curlewdoor-scale curlewdoor-system curlewdoor-scale-view)
endif()
