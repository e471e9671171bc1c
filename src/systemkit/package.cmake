# Stand-ins for what surrounds a deployment (hosts, clients, an operator), and real processes on loopback.
# Uses the kit's process and server: with -DCURLEWDOOR_KIT=ON only.
if(CURLEWDOOR_KIT)
  add_library(curlewdoor_systemkit STATIC EXCLUDE_FROM_ALL
    src/systemkit/calls.cpp src/systemkit/clients.cpp src/systemkit/coordination_history.cpp src/systemkit/figures_watch.cpp src/systemkit/host.cpp src/systemkit/machines.cpp
    src/systemkit/operator.cpp src/systemkit/relays.cpp src/systemkit/register_history.cpp src/systemkit/sightings.cpp src/systemkit/troubles.cpp
    src/systemkit/world.cpp)
  target_link_libraries(curlewdoor_systemkit PUBLIC curlewdoor_playing nlohmann_json::nlohmann_json)
  system_test(register_history_test tests/system/register_history_test.cpp curlewdoor_systemkit)
  system_test(coordination_judge_test tests/system/coordination_judge_test.cpp curlewdoor_systemkit)
  if(NOT CURLEWDOOR_SANITIZE)  # a search of many seeds: too many for a sanitized build
    system_test(coordination_history_search_test tests/coordination/history_search_test.cpp curlewdoor_systemkit curlewdoor_node)
  endif()
  system_test(feed_path_test tests/system/feed_path_test.cpp curlewdoor_systemkit curlewdoor_node)
  if(CURLEWDOOR_TESTS)
    target_compile_definitions(feed_path_test PRIVATE CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
    add_dependencies(feed_path_test curlewdoor-system)
  endif()
  if(CURLEWDOOR_TESTS)
    # Scenarios of real processes, which mostly wait.
    # scenario_tests(NAME PROCESSORS [PROPERTY VALUE]...)
    function(scenario_tests name processors)
      set(source tests/system/${name}_test.cpp)
      add_executable(${name}_test ${source})
      target_link_libraries(${name}_test PRIVATE curlewdoor_systemkit Boost::unit_test_framework)
      target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${name}_test
                                                      CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
      add_dependencies(${name}_test curlewdoor-system)
      # Those that want several processors begin first: at the end they would leave the others' idle.
      math(EXPR cost "${processors} * 100")
      test_cases(${name}_test ${source} ${name} TIMEOUT 180 PROCESSORS ${processors} COST ${cost} ${ARGN})
    endfunction()
    # Time counts in these two: not more at once than the machine can play.
    scenario_tests(whole_path 3)
    scenario_tests(quota_path 3)
    scenario_tests(quota_series 4)
    scenario_tests(core_loss 1)
    scenario_tests(leave 2)
    scenario_tests(leave_soak 2)
    scenario_tests(coordination_history 2)
    scenario_tests(return 1)
    scenario_tests(coordination_path 2)
    scenario_tests(late_finish 2)
    scenario_tests(planned_end 2)
    scenario_tests(planned_end_calls 2)
    scenario_tests(shutdown_soak 2)
    scenario_tests(two_builds 2)
    # One at a time and apart from other load: their processes are to have the machine for themselves.
    foreach(misbehaving misbehaving_clients misbehaving_soak)
      scenario_tests(${misbehaving} 1 RUN_SERIAL TRUE)
      if(CURLEWDOOR_SANITIZE)
        target_compile_definitions(${misbehaving}_test PRIVATE CURLEWDOOR_SANITIZED)
      endif()
    endforeach()
    # The longest, which mostly waits: begun first.
    set_tests_properties(return_a_gateway_and_a_member_that_stood_still_for_75_s_bring_nobody_back PROPERTIES COST 2000)
    # Histories of the register, judged from outside; each scenario a test, as above.
    set(histories cut orders loss changes reset)
    list(TRANSFORM histories REPLACE "(.+)" "tests/system/history_\\1_test.cpp" OUTPUT_VARIABLE history_sources)
    add_executable(history_test tests/system/history_scene.cpp tests/system/history_test_main.cpp ${history_sources})
    target_link_libraries(history_test PRIVATE curlewdoor_systemkit Boost::unit_test_framework)
    target_compile_definitions(history_test PRIVATE BOOST_TEST_DYN_LINK
                                                    CURLEWDOOR_PROGRAM="$<TARGET_FILE:curlewdoor-system>")
    add_dependencies(history_test curlewdoor-system)
    foreach(history ${histories})
      test_cases(history_test tests/system/history_${history}_test.cpp history_${history} TIMEOUT 120 PROCESSORS 1)
    endforeach()
    # Their bound is a machine's whose disk works (sync_time_s): the disks are in memory, as others may keep this
    # computer's disk busy.
    if(IS_DIRECTORY /dev/shm)
      foreach(members three five eight)
        set_tests_properties(history_loss_second_loss_after_a_repair_of_${members} PROPERTIES ENVIRONMENT TMPDIR=/dev/shm)
      endforeach()
    endif()
  endif()
endif()

# What CI plays under the thread sanitizer (CURLEWDOOR_SANITIZE_THREADS): the storage's thread beside the loop's, in
# its own tests and in whole processes.
if(CURLEWDOOR_KIT AND CURLEWDOOR_TESTS)
  set(threaded_programs storage_test storage_names_test storage_trouble_test leave_test)
  set(threaded_tests storage_test storage_names_test storage_trouble_test
                     leave_an_acknowledged_leave_outlives_a_kill_of_all
                     leave_a_member_that_was_just_cut_off_acknowledges_no_leave)
  add_custom_target(thread_sanitized_tests DEPENDS ${threaded_programs})
  set_tests_properties(${threaded_tests} PROPERTIES LABELS threads)
  if(CURLEWDOOR_SANITIZE_THREADS)  # a process ends at its first race, and its test sees that
    set_tests_properties(${threaded_tests} PROPERTIES ENVIRONMENT "TSAN_OPTIONS=halt_on_error=1")
  endif()
endif()
