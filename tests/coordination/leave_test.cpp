// Members that are shutting down transfer leadership, also several at once.
#include <boost/test/unit_test.hpp>

#include "cluster.hpp"

namespace curlewdoor::coordination {
namespace {

using namespace std::chrono_literals;
using testing::Cluster;

// Two members received SIGTERM and keep running for seconds while their requests drain; a third one must
// serve.
BOOST_AUTO_TEST_CASE(two_members_that_shut_down_do_not_pass_leadership_back_and_forth) {
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
  BOOST_TEST_MESSAGE("two shut down: " << served << " of 100 served, "
                                       << cluster.coordinator(5)->replica().term() - term
                                       << " terms in 2.5 s");
  BOOST_TEST(served >= 90);
}

}  // namespace
}  // namespace curlewdoor::coordination
