// Guards against a core member that acknowledges what its disk hasn't stored, or that blocks the other
// members while its disk stalls or fails. Runs three members on memory storages and executes their output as
// the node does (src/system/node_core.cpp).
#include <boost/test/unit_test.hpp>
#include <deque>

#include "agreement/codec.hpp"
#include "agreement/core.hpp"
#include "storage/memory_storage.hpp"

namespace curlewdoor::storage {
namespace {

using agreement::CallOutcome;
using agreement::CallResult;
using agreement::Core;
using agreement::CoreOutput;
using std::chrono::milliseconds;

agreement::Member MemberOf(std::size_t i) {
  agreement::Member member;
  member.incarnation.node = std::string(1, static_cast<char>('a' + i));
  member.incarnation.number = 1;
  member.address = "10.0.0." + std::to_string(i) + ":7101";
  return member;
}

// Three core members that exchange messages in memory, without delay or loss.
class ThreeMemberCluster {
 public:
  ThreeMemberCluster() {
    agreement::CoreState state;
    state.membership.epoch = 1;
    state.membership.initial_size = 3;
    for (std::size_t i = 0; i < 3; ++i) state.membership.members.push_back(MemberOf(i));
    for (std::size_t i = 0; i < 3; ++i)
      cores_[i].emplace(MemberOf(i), false, state, agreement::CoreOptions{}, i);
    AdvanceTime(milliseconds(500));
  }

  void Put(std::size_t i, std::uint64_t version) {
    CoreOutput out;
    cores_[i]->Put(now_, version, {version, "text"}, out);
    ExecuteOutput(i, std::move(out));
    DeliverUntilIdle();
  }
  void AdvanceTime(milliseconds duration) {
    for (auto end = now_ + duration; now_ < end;) {
      now_ += milliseconds(50);
      for (std::size_t i = 0; i < 3; ++i) {
        CoreOutput out;
        cores_[i]->Tick(now_, out);
        ExecuteOutput(i, std::move(out));
      }
      DeliverUntilIdle();
    }
  }
  Core& core(std::size_t i) { return *cores_[i]; }
  MemoryStorage& storage(std::size_t i) { return storages_[i]; }

  std::map<std::uint64_t, CallOutcome> outcomes;  // by version
  std::map<std::size_t, int> durable_replies;     // by member: positive replies that require a synced write
  // Writes that failed, and writes that the storage didn't accept.
  int failed_writes = 0, rejected_writes = 0;

 private:
  void ExecuteOutput(std::size_t i, CoreOutput out) {
    for (agreement::StorageWrite& write : out.writes) {
      if (storages_[i].Write(write.id, std::move(write.records))) continue;
      ++rejected_writes;
      CoreOutput failed;
      cores_[i]->OnWritten(now_, write.id, false, failed);
      ExecuteOutput(i, std::move(failed));
    }
    for (agreement::OutgoingMessage& s : out.sends) {
      const auto& body = s.message.body;
      const auto* accepted = std::get_if<agreement::RegisterAccepted>(&body);
      if (accepted != nullptr && accepted->ok) ++durable_replies[i];
      const auto* promised = std::get_if<agreement::RegisterPromise>(&body);
      if (promised != nullptr && promised->ok) ++durable_replies[i];
      if (std::holds_alternative<agreement::EpochPromise>(body)) ++durable_replies[i];
      if (std::holds_alternative<agreement::EpochAccepted>(body)) ++durable_replies[i];
      std::size_t to = 0;
      while (MemberOf(to).address != s.to.address) ++to;
      messages_.emplace_back(to, std::move(s.message));
    }
    for (CallResult& call_result : out.results) outcomes[call_result.call] = call_result.outcome;
  }
  void DeliverUntilIdle() {
    for (bool more = true; more;) {
      more = !messages_.empty();
      if (more) {
        auto [to, message] = std::move(messages_.front());
        messages_.pop_front();
        CoreOutput out;
        cores_[to]->OnMessage(now_, message, out);
        ExecuteOutput(to, std::move(out));
      }
      for (std::size_t i = 0; i < 3; ++i) {
        for (const WriteResult& result : storages_[i].Drain()) {
          more = true;
          failed_writes += result.ok ? 0 : 1;
          CoreOutput out;
          cores_[i]->OnWritten(now_, result.id, result.ok, out);
          ExecuteOutput(i, std::move(out));
        }
      }
    }
  }

  agreement::Time now_ = agreement::Time{} + std::chrono::hours(1);
  std::optional<Core> cores_[3];
  MemoryStorage storages_[3];
  std::deque<std::pair<std::size_t, agreement::CoreMessage>> messages_;
};

// Makes the storage of one member, then of two, stall or fail, and repairs both.
void TestFaultyStorage(bool stalls) {
  ThreeMemberCluster cluster;
  auto set_fault = [&](std::size_t i, bool on) {
    stalls ? cluster.storage(i).StallWrites(on) : cluster.storage(i).FailWrites(on);
  };
  set_fault(2, true);
  for (std::uint64_t version = 1; version <= 200; ++version) {
    cluster.Put(version % 3, version);  // also at the faulty member: the other two store it
    BOOST_TEST((cluster.outcomes[version] == CallOutcome::kInForce));
    cluster.AdvanceTime(milliseconds(50));
  }
  BOOST_TEST(cluster.durable_replies[2] == 0);
  BOOST_TEST(cluster.durable_replies[0] > 100);
  // A member has one write pending at a time, however many requests arrive.
  BOOST_TEST(cluster.rejected_writes == 0);
  BOOST_TEST((cluster.failed_writes > 0) == !stalls);
  BOOST_TEST(cluster.core(2).committed().version == 200u);  // it still answers and learns committed values

  set_fault(1, true);  // two of three disks are faulty: nothing can be acknowledged
  cluster.Put(0, 201);
  cluster.AdvanceTime(milliseconds(1000));
  BOOST_TEST((cluster.outcomes[201] == CallOutcome::kUncertain));
  set_fault(1, false);
  set_fault(2, false);
  cluster.AdvanceTime(milliseconds(400));
  cluster.Put(0, 202);
  BOOST_TEST((cluster.outcomes[202] == CallOutcome::kInForce));
  BOOST_TEST(cluster.durable_replies[2] > 0);
  for (std::size_t i = 0; i < 3; ++i) {
    auto state = agreement::DecodeState([&](const std::string& key) { return cluster.storage(i).Read(key); });
    BOOST_TEST(state.value().value.version == 202u);
  }
}

BOOST_AUTO_TEST_CASE(a_member_whose_disk_hangs_acknowledges_nothing_and_holds_nobody_up) {
  TestFaultyStorage(true);
}
BOOST_AUTO_TEST_CASE(a_member_whose_disk_refuses_acknowledges_nothing_and_holds_nobody_up) {
  TestFaultyStorage(false);
}

}  // namespace
}  // namespace curlewdoor::storage
