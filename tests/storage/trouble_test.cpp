// Three members on storages that hang or refuse, carried as src/system/node.cpp does it.
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

class Trio {
 public:
  Trio() {
    agreement::CoreState state;
    state.membership.epoch = 1;
    state.membership.initial_size = 3;
    for (std::size_t i = 0; i < 3; ++i) state.membership.members.push_back(MemberOf(i));
    for (std::size_t i = 0; i < 3; ++i)
      cores_[i].emplace(MemberOf(i), false, state, agreement::CoreOptions{}, i);
    Pass(milliseconds(500));
  }

  void Put(std::size_t i, std::uint64_t version) {
    CoreOutput out;
    cores_[i]->Put(now_, version, {version, "text"}, out);
    Carry(i, std::move(out));
    Settle();
  }
  void Pass(milliseconds span) {
    for (auto end = now_ + span; now_ < end;) {
      now_ += milliseconds(50);
      for (std::size_t i = 0; i < 3; ++i) {
        CoreOutput out;
        cores_[i]->Tick(now_, out);
        Carry(i, std::move(out));
      }
      Settle();
    }
  }
  Core& core(std::size_t i) { return *cores_[i]; }
  MemoryStorage& storage(std::size_t i) { return storages_[i]; }

  std::map<std::uint64_t, CallOutcome> done;  // by version
  std::map<std::size_t, int> promises;        // what each said that rests on its disk
  int refused = 0, full = 0;                  // writes; and those that the storage didn't take

 private:
  void Carry(std::size_t i, CoreOutput out) {
    for (agreement::StorageWrite& write : out.writes) {
      if (storages_[i].Write(write.id, std::move(write.records))) continue;
      ++full;
      CoreOutput failed;
      cores_[i]->OnWritten(now_, write.id, false, failed);
      Carry(i, std::move(failed));
    }
    for (agreement::OutgoingMessage& s : out.sends) {
      const auto& body = s.message.body;
      const auto* accepted = std::get_if<agreement::RegisterAccepted>(&body);
      if (accepted != nullptr && accepted->ok) ++promises[i];
      const auto* promised = std::get_if<agreement::RegisterPromise>(&body);
      if (promised != nullptr && promised->ok) ++promises[i];
      if (std::holds_alternative<agreement::EpochPromise>(body)) ++promises[i];
      if (std::holds_alternative<agreement::EpochAccepted>(body)) ++promises[i];
      std::size_t to = 0;
      while (MemberOf(to).address != s.to.address) ++to;
      mail_.emplace_back(to, std::move(s.message));
    }
    for (CallResult& d : out.results) done[d.call] = d.outcome;
  }
  void Settle() {
    for (bool more = true; more;) {
      more = !mail_.empty();
      if (more) {
        auto [to, message] = std::move(mail_.front());
        mail_.pop_front();
        CoreOutput out;
        cores_[to]->OnMessage(now_, message, out);
        Carry(to, std::move(out));
      }
      for (std::size_t i = 0; i < 3; ++i) {
        for (const Result& result : storages_[i].Drain()) {
          more = true;
          refused += result.ok ? 0 : 1;
          CoreOutput out;
          cores_[i]->OnWritten(now_, result.id, result.ok, out);
          Carry(i, std::move(out));
        }
      }
    }
  }

  agreement::Time now_ = agreement::Time{} + std::chrono::hours(1);
  std::optional<Core> cores_[3];
  MemoryStorage storages_[3];
  std::deque<std::pair<std::size_t, agreement::CoreMessage>> mail_;
};

void TroubleAtOne(bool hangs) {
  Trio trio;
  auto trouble = [&](std::size_t i, bool on) {
    hangs ? trio.storage(i).Hang(on) : trio.storage(i).Refuse(on);
  };
  trouble(2, true);
  for (std::uint64_t version = 1; version <= 200; ++version) {
    trio.Put(version % 3, version);  // at the one in trouble too: the others keep it
    BOOST_TEST((trio.done[version] == CallOutcome::kInForce));
    trio.Pass(milliseconds(50));
  }
  BOOST_TEST(trio.promises[2] == 0);
  BOOST_TEST(trio.promises[0] > 100);
  BOOST_TEST(trio.full == 0);  // one write at a time, whatever comes
  BOOST_TEST((trio.refused > 0) == !hangs);
  BOOST_TEST(trio.core(2).committed().version == 200u);  // it answers and learns all the same

  trouble(1, true);  // two of three: nothing is acknowledged
  trio.Put(0, 201);
  trio.Pass(milliseconds(1000));
  BOOST_TEST((trio.done[201] == CallOutcome::kUncertain));
  trouble(1, false);
  trouble(2, false);
  trio.Pass(milliseconds(400));
  trio.Put(0, 202);
  BOOST_TEST((trio.done[202] == CallOutcome::kInForce));
  BOOST_TEST(trio.promises[2] > 0);
  for (std::size_t i = 0; i < 3; ++i) {
    auto state = agreement::DecodeState([&](const std::string& key) { return trio.storage(i).Read(key); });
    BOOST_TEST(state.value().value.version == 202u);
  }
}

BOOST_AUTO_TEST_CASE(a_member_whose_disk_hangs_acknowledges_nothing_and_holds_nobody_up) {
  TroubleAtOne(true);
}
BOOST_AUTO_TEST_CASE(a_member_whose_disk_refuses_acknowledges_nothing_and_holds_nobody_up) {
  TroubleAtOne(false);
}

}  // namespace
}  // namespace curlewdoor::storage
