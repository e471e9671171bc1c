// A member that is about to end hands leadership on; so do several at once.
#include <boost/test/unit_test.hpp>

#include "cluster.hpp"

namespace curlewdoor::coordination {
namespace {

using namespace std::chrono_literals;
using testing::Cluster;

// Two members have their SIGTERM and go on for some seconds, as their requests drain: a third one serves.
BOOST_AUTO_TEST_CASE(two_that_leave_do_not_hand_leadership_to_and_fro) {
  Cluster cluster(6, {}, 2);
  cluster.Run(3s);
  const std::size_t leader = *cluster.Leader();
  cluster.BeginShutdown(leader);
  cluster.BeginShutdown(leader == 0 ? 1 : 0);
  const std::uint64_t term = cluster.coordinator(5)->replica().term();
  cluster.Run(500ms);
  int served = 0;
  for (int call = 0; call < 100; ++call) {
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.Leader() != i) continue;
      cluster.Call(i, TakeNumber{"n"}, [&](const Reply& reply) {
        const auto* result = std::get_if<CommandResult>(&reply);
        served += result != nullptr && std::holds_alternative<NumberTaken>(*result);
      });
    }
    cluster.Run(20ms);
  }
  BOOST_TEST_MESSAGE("two leave: " << served << " of 100 served, "
                                   << cluster.coordinator(5)->replica().term() - term << " terms in 2.5 s");
  BOOST_TEST(served >= 90);
}

}  // namespace
}  // namespace curlewdoor::coordination
