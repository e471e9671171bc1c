// Duties in virtual time: searches over seeds, mutants that must be detected, several duties, changes of the
// voters, and an upgrade. tests/fleet/rig_test.cpp runs each rehearsal with real processes.
#include <gtest/gtest.h>

#include <deque>
#include <memory>

#include "../fleet/load.hpp"
#include "duty/duty_manager.hpp"
#include "fleetkit/virtual_fleet.hpp"

namespace curlewdoor::duty {
namespace {

using fleetkit::LoadRehearsal;
using fleetkit::Mutant;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string ViolatedProperties(const char* name, std::uint64_t first, std::uint64_t last,
                               Mutant mutant = Mutant::kNone) {
  std::string properties;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    fleetkit::VirtualFleet virtual_fleet(LoadRehearsal(name), seed, mutant);
    const fleetkit::Result result = virtual_fleet.Play();
    for (const fleetkit::Verdict& verdict : result.verdicts)
      if (!verdict.broken.empty()) properties += " " + verdict.property;
    if (mutant == Mutant::kNone && !result.AllHeld())
      ADD_FAILURE() << TextReport(result) << virtual_fleet.Views();
  }
  return properties;
}

// Searches over a thousand seeds found duty-deaf-holder 158 and duty-loss 89: competing candidates waited out
// promises that both had already given up.
TEST(Duties, OneHolderAndRisingTokensOverManySeeds) {
  for (const char* name : {"duty-mix-crashes", "duty-mix-splits", "duty-mix-stalls", "duty-voters"})
    ViolatedProperties(name, 1, 30);
  ViolatedProperties("duty-deaf-holder", 158, 158);
  ViolatedProperties("duty-loss", 89, 89);
}

TEST(Duties, MutantsAreCaught) {
  EXPECT_NE(ViolatedProperties("duty-split", 1, 3, Mutant::kLowestName).find("one-holder"),
            std::string::npos);
  EXPECT_NE(ViolatedProperties("duty-voters", 1, 20, Mutant::kVoterNotSilent).find("one-holder"),
            std::string::npos);
}

// Gateways that exchange messages instantly and in order.
class TestFleet {
 public:
  explicit TestFleet(std::vector<std::string> duties = {"record"}) : duties_(std::move(duties)) {}

  DutyManager& Add(const std::string& name) {
    DutyOptions options;
    options.name = name;
    options.voters = {"a", "b", "c"};
    options.duties = duties_;
    options.lease = seconds(3);
    auto& added = machines_[name] = std::make_unique<DutyManager>(options, 1000, machines_.size() + 1);
    added->Start(now_);
    for (auto& [each, machine] : machines_) UpdateView(each);
    return *added;
  }
  void Remove(const std::string& name) {
    machines_.erase(name);
    for (auto& [each, machine] : machines_) UpdateView(each);
  }
  void UpdateView(const std::string& name) {
    FleetView view;
    view.incarnation = IncarnationOf(name, 1);
    for (auto& [other, machine] : machines_)
      if (other != name) view.others[other] = {IncarnationOf(other, 1), true};
    DutyOutput out;
    machines_[name]->OnView(now_, view, out);
    Deliver(name, std::move(out));
  }
  void Deliver(const std::string& from, DutyOutput out) {
    for (const DutyChange& change : out.changes) changes_.push_back({from, change});
    for (OutgoingMessage& sending : out.messages) in_flight_.push_back({from, std::move(sending)});
    while (!in_flight_.empty()) {
      const auto [sender, sending] = in_flight_.front();
      in_flight_.pop_front();
      const auto to = machines_.find(sending.to);
      const auto message = Decode(sending.bytes);
      ASSERT_TRUE(message);
      ASSERT_LE(sending.bytes.size(), 1024u);  // limit of a payload
      if (to == machines_.end()) continue;
      DutyOutput answer;
      to->second->OnMessage(now_, sender, IncarnationOf(sender, 1), *message, answer);
      for (const DutyChange& change : answer.changes) changes_.push_back({to->first, change});
      for (OutgoingMessage& each : answer.messages) in_flight_.push_back({to->first, std::move(each)});
    }
  }
  void Run(Duration of) {
    for (const Time end = now_ + of; now_ < end; now_ += milliseconds(5)) {
      for (auto& [name, machine] : machines_) {
        const auto due = machine->NextDue();
        if (!due || *due > now_) continue;
        DutyOutput out;
        machine->Tick(now_, out);
        Deliver(name, std::move(out));
      }
    }
  }
  std::string Holder(const std::string& duty = "record") {
    std::string holders;
    for (auto& [name, machine] : machines_)
      if (machine->AuthorizeAct(now_, duty)) holders += name;
    return holders;
  }
  DutyManager& at(const std::string& name) { return *machines_.at(name); }

  Time now_{seconds(1000)};
  std::vector<std::pair<std::string, DutyChange>> changes_;

 private:
  std::vector<std::string> duties_;
  std::map<std::string, std::unique_ptr<DutyManager>> machines_;
  std::deque<std::pair<std::string, OutgoingMessage>> in_flight_;
};

TEST(Duties, SixteenDutiesSpreadAndStayPut) {
  std::vector<std::string> duties;
  for (int i = 0; i < 16; ++i) duties.push_back("duty-" + std::to_string(i));
  TestFleet fleet(duties);
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) fleet.Add(name);
  fleet.Run(seconds(12));
  std::map<std::string, int> held;
  for (const std::string& duty : duties) {
    EXPECT_EQ(fleet.Holder(duty).size(), 1u) << duty;
    ++held[fleet.Holder(duty)];
  }
  for (const auto& [name, count] : held) EXPECT_LE(count, 5) << name;
  const std::size_t changes = fleet.changes_.size();
  fleet.Run(seconds(60));
  EXPECT_EQ(fleet.changes_.size(), changes);
}

TEST(Duties, TransferToAnAbsentGatewayChangesNothing) {
  TestFleet fleet;
  for (const char* name : {"a", "b", "c", "d"}) fleet.Add(name);
  fleet.Run(seconds(6));
  const std::string holder = fleet.Holder();
  ASSERT_EQ(holder.size(), 1u);
  DutyOutput out;
  EXPECT_EQ(fleet.at(holder).Transfer(fleet.now_, "record", "z", out), "z is not in the fleet");
  EXPECT_EQ(fleet.at(holder).Transfer(fleet.now_, "dance", "a", out), "unknown duty");
  EXPECT_EQ(fleet.at(holder).Transfer(fleet.now_, "record", holder, out), "this gateway already holds it");
  const std::string other = holder == "d" ? "a" : "d";
  EXPECT_NE(fleet.at(other).Transfer(fleet.now_, "record", holder, out), "");
  EXPECT_TRUE(out.messages.empty());
  EXPECT_EQ(fleet.Holder(), holder);
  EXPECT_EQ(fleet.at(holder).Transfer(fleet.now_, "record", other, out), "");
  fleet.Deliver(holder, std::move(out));
  fleet.Run(milliseconds(20));
  EXPECT_EQ(fleet.Holder(), other);
}

// Voters change from one list to both lists and then to the new one. A direct change is rejected, and the
// second step must wait.
TEST(Duties, VotersChangeThroughBothLists) {
  TestFleet fleet;
  for (const char* name : {"a", "b", "c", "d"}) fleet.Add(name);
  fleet.Run(seconds(6));
  DutyOptions both = fleet.at("a").options(), jump = both, last = both;
  both.voters = jump.voters = last.voters = {"a", "b", "d"};
  both.voters_before = {"c", "b", "a"};
  EXPECT_EQ(fleet.at("a").ReconfigureError(fleet.now_, jump).substr(0, 18), "duty.voters_before");
  for (const char* name : {"a", "b", "c", "d"}) {
    EXPECT_EQ(fleet.at(name).ReconfigureError(fleet.now_, both), "");
    EXPECT_NE(fleet.at(name).ReconfigureError(fleet.now_, last), "") << "a direct change";
  }
  DutyOutput out;
  fleet.at("a").Reconfigure(fleet.now_, both, out);
  EXPECT_NE(fleet.at("a").ReconfigureError(fleet.now_, last), "") << "no other voter applies both lists";
  for (const char* name : {"b", "c", "d"}) fleet.at(name).Reconfigure(fleet.now_, both, out);
  fleet.Run(seconds(8));
  EXPECT_EQ(fleet.Holder().size(), 1u);
  for (const char* name : {"a", "b", "c", "d"}) {
    EXPECT_EQ(fleet.at(name).ReconfigureError(fleet.now_, last), "") << name;
    fleet.at(name).Reconfigure(fleet.now_, last, out);
  }
  fleet.Run(seconds(8));
  EXPECT_EQ(fleet.Holder().size(), 1u);
  EXPECT_FALSE(fleet.at("c").votes());
  EXPECT_TRUE(fleet.at("d").votes());
}

// A voter grants nothing to a candidate that needs no majority of the voter list it applies itself.
TEST(Duties, VoterWithAnotherListGrantsNothing) {
  TestFleet fleet;
  for (const char* name : {"a", "b", "c"}) fleet.Add(name);
  DutyOptions other = fleet.at("a").options();
  other.voters = {"x", "y", "c"};
  DutyOutput out;
  fleet.at("b").Reconfigure(fleet.now_, other, out);
  fleet.at("c").Reconfigure(fleet.now_, other, out);
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.Holder(), "");
}

TEST(Duties, UpgradeKeepsOneVoterAndOneHolder) {
  TestFleet fleet;
  for (const char* name : {"a", "b", "c"}) fleet.Add(name);
  fleet.Run(seconds(6));
  const std::string holder = fleet.Holder();
  ASSERT_EQ(holder.size(), 1u);
  DutyManager& old = fleet.at(holder);
  const auto token = old.AuthorizeAct(fleet.now_, "record");
  const std::string state = old.ExportState();
  EXPECT_FALSE(old.AuthorizeAct(fleet.now_, "record")) << "its state was exported";
  DutyManager next(old.options(), 1000, 99);
  ASSERT_TRUE(next.ImportState(fleet.now_, state));
  next.Start(fleet.now_);
  EXPECT_EQ(next.AuthorizeAct(fleet.now_, "record"), token);
  EXPECT_LE(next.abstains_for(fleet.now_), Duration::zero());
  for (std::size_t cut = 0; cut < state.size(); cut += 3) {
    DutyManager other(old.options(), 1000, 99);
    EXPECT_FALSE(other.ImportState(fleet.now_, state.substr(0, cut)) &&
                 other.AuthorizeAct(fleet.now_, "record"))
        << cut;
  }
  DutyManager elsewhere(old.options(), 1000, 99);
  EXPECT_FALSE(elsewhere.ImportState(fleet.now_ - seconds(600), state)) << "times of another clock";
}

TEST(DutyMessage, RoundTripAndTruncation) {
  DutyMessage message{MessageKind::kReply, 7, {3, 4}, seconds(3), {}};
  message.entries.push_back({"record", 5, 9, true, milliseconds(1500), 77, "gateway-3"});
  message.entries.push_back({"divide", 6, 10, false, {}, 0, ""});
  const std::string bytes = Encode(message);
  const auto read = Decode(bytes);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->lists, message.lists);
  ASSERT_EQ(read->entries.size(), 2u);
  EXPECT_EQ(read->entries[0].holder, "gateway-3");
  EXPECT_EQ(read->entries[0].remaining, milliseconds(1500));
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) EXPECT_FALSE(Decode(bytes.substr(0, cut))) << cut;
  std::mt19937_64 random(11);
  for (int i = 0; i < 50'000; ++i) {
    std::string changed = bytes;
    for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes)
      changed[random() % changed.size()] = static_cast<char>(random());
    const auto taken = Decode(changed);
    if (!taken) continue;
    for (const DutyEntry& entry : taken->entries) {
      EXPECT_LE(entry.duty.size(), kMaxDutyNameBytes);
      EXPECT_GE(entry.remaining, Duration::zero());
    }
  }
}

// Well-formed messages in any order never exceed the bounds of the state machine and never grant a lease
// without voters.
TEST(DutyMessage, RandomMessagesNeverGrantALease) {
  TestFleet fleet;
  DutyManager& machine = fleet.Add("a");
  std::mt19937_64 random(5);
  const std::string names[] = {"b", "c", "z"};
  for (int i = 0; i < 20'000; ++i) {
    DutyMessage message{static_cast<MessageKind>(1 + random() % kLastKind),
                        static_cast<std::uint32_t>(random() % 4),
                        {1, 0},
                        seconds(3),
                        {}};
    DutyEntry entry;
    entry.duty = random() % 8 == 0 ? "other" : "record";
    entry.request_id = random() % 4;
    entry.token = random() % 4000;
    entry.incarnation = random() % 3;
    message.entries = {entry};  // never granted
    DutyOutput out;
    const std::string& from = names[random() % 3];
    machine.OnMessage(fleet.now_, from, IncarnationOf(from, 1), message, out);
    fleet.now_ += milliseconds(random() % 50);
    machine.Tick(fleet.now_, out);
    ASSERT_FALSE(machine.AuthorizeAct(fleet.now_, "record"));
    ASSERT_LE(out.messages.size(), 20u);
  }
}

}  // namespace
}  // namespace curlewdoor::duty
