// Prints the ends of the machines' logs at its end, if a check of the test case has failed since its
// beginning.
#pragma once

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include "systemkit/machines.hpp"

namespace curlewdoor::systemkit {

class LogsOnFailure {
 public:
  explicit LogsOnFailure(const Machines& machines) : machines_(machines), failed_before_(Failed()) {}
  ~LogsOnFailure() {
    if (Failed() > failed_before_) BOOST_TEST_MESSAGE(machines_.Logs());
  }
  LogsOnFailure(const LogsOnFailure&) = delete;
  LogsOnFailure& operator=(const LogsOnFailure&) = delete;

 private:
  static unsigned long Failed() {
    using namespace boost::unit_test;
    return results_collector.results(framework::current_test_case().p_id).p_assertions_failed;
  }

  const Machines& machines_;
  const unsigned long failed_before_;
};

}  // namespace curlewdoor::systemkit
