// The stored records of replicas, read back after a power loss at any write, after the ring of keys wraps
// around, with damage, and with the records of another incarnation.
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "coordination/replica.hpp"
#include "coordination/state_machine.hpp"

namespace curlewdoor::coordination {
namespace {

using std::chrono::milliseconds;
using Disk = std::map<std::string, std::string>;

constexpr std::uint64_t kDisk = 1;

std::vector<Member> ThreeMembers() {
  std::vector<Member> members;
  for (std::uint64_t i = 1; i <= 3; ++i)
    members.push_back({{"core-" + std::to_string(i), i}, "10.0.0.1:7001"});
  return members;
}

std::optional<ReplicaState> ReadState(const Disk& disk, std::uint64_t number = kDisk) {
  return DecodeReplicaState(number, [&](const std::string& key) {
    const auto found = disk.find(key);
    return found == disk.end() ? std::nullopt : std::optional(found->second);
  });
}

void WriteRecords(Disk& disk, const RecordBatch& records) {
  for (const auto& [key, bytes] : records) disk[key] = bytes;
}

// core-1 of three as a follower of simulated leaders core-2 and core-3, with power losses during writes.
class Follower {
 public:
  explicit Follower(std::uint64_t seed) : random_(seed) { Start(); }

  void Step() {
    switch (Below(12)) {
      case 0:  // a new leader, which may lack uncommitted entries
        ++term_;
        if (log_.size() > committed_) log_.resize(committed_ + Below(log_.size() - committed_ + 1));
        break;
      case 1:
        return Snapshot();
      case 2:
        return Compact();
      case 3:
      case 4:
        return LosePower();
      case 5:
        return EndWrite(false);
      case 6:
      case 7:
      case 8:
        return EndWrite(true);
      default:
        Append();
    }
  }

 private:
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  void Start() {
    auto restored = ReadState(disk_);
    BOOST_REQUIRE(restored);
    BOOST_TEST(restored->term >= promised_term_);
    const std::uint64_t last = restored->snapshot_index + restored->entries.size();
    BOOST_TEST(last >= acknowledged_);
    for (std::uint64_t index = restored->snapshot_index + 1; index <= acknowledged_; ++index)
      BOOST_TEST((restored->entries[index - restored->snapshot_index - 1] == log_[index - 1]));
    replica_ =
        std::make_unique<Replica>(ThreeMembers()[0], std::move(*restored), ReplicaOptions{}, random_());
    ReplicaOutput out;
    replica_->Bootstrap(now_, ThreeMembers(), out);
    replica_->Tick(now_, out);
    HandleOutput(out);
  }
  void LosePower() {
    if (write_ && Below(2)) WriteRecords(disk_, *write_);
    write_.reset();
    Start();
  }
  void EndWrite(bool ok) {
    if (!write_) return;
    if (ok) WriteRecords(disk_, *write_);
    write_.reset();
    ReplicaOutput out;
    replica_->OnWritten(now_, ok, out);
    HandleOutput(out);
  }
  void Receive(ReplicaBody body) {
    now_ += milliseconds(10);
    ReplicaOutput out;
    const Member leader = ThreeMembers()[1 + term_ % 2];
    replica_->OnMessage(now_, {leader, ThreeMembers()[0].incarnation, term_, std::move(body)}, out);
    replica_->Tick(now_, out);
    HandleOutput(out);
  }
  void Append() {
    for (std::uint64_t i = Below(4); i > 0; --i) log_.push_back({term_, milliseconds(1), "c", {}});
    // Starts after the acknowledged entries, or further on, where the follower may reject the message.
    const std::uint64_t from = acknowledged_ + (Below(3) == 0 ? Below(log_.size() - acknowledged_ + 1) : 0);
    AppendEntries append{from, from == 0 ? 0 : log_[from - 1].term, committed_, 0, {}};
    append.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(from), log_.end());
    // The two others may have committed entries.
    if (Below(2)) committed_ = std::max(committed_, acknowledged_ + Below(log_.size() - acknowledged_ + 1));
    Receive(std::move(append));
  }
  void Snapshot() {
    if (committed_ == 0) return;
    Receive(InstallSnapshot{committed_, log_[committed_ - 1].term, milliseconds(1), ThreeMembers(), 1, 0, 0,
                            "s"});
  }
  void Compact() {
    ReplicaOutput out;
    replica_->Compact(now_, replica_->applied(), "s", out);
    HandleOutput(out);
  }
  void HandleOutput(ReplicaOutput& out) {
    for (const OutgoingMessage& sending : out.messages) {
      const auto* appended = std::get_if<AppendResponse>(&sending.message.body);
      if (appended == nullptr || !appended->ok || sending.message.term != term_) continue;
      acknowledged_ = std::max(acknowledged_, appended->index);
      committed_ = std::max(committed_, acknowledged_);
      if (appended->index > 0) promised_term_ = std::max(promised_term_, log_[appended->index - 1].term);
    }
    if (!out.write) return;
    BOOST_REQUIRE(!write_);
    write_ = std::move(out.write);
  }

  std::mt19937_64 random_;
  Time now_{std::chrono::hours(1)};
  Disk disk_;
  std::optional<RecordBatch> write_;
  std::unique_ptr<Replica> replica_;
  std::uint64_t term_ = 1, promised_term_ = 0, acknowledged_ = 0, committed_ = 0;
  std::vector<LogEntry> log_;  // the leader's log; acknowledged entries are committed and stay
};

BOOST_AUTO_TEST_CASE(what_was_acknowledged_is_there_after_a_loss_of_power_at_any_write) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Follower follower(seed);
    for (int i = 0; i < 300; ++i) follower.Step();
  }
}

BOOST_AUTO_TEST_CASE(entries_overwrite_those_that_a_snapshot_made_obsolete) {
  Disk disk;
  Replica replica(ThreeMembers()[0], {}, {}, 1);
  Time now{std::chrono::hours(1)};
  std::uint64_t last = 0;
  const auto step = [&](auto&& act) {
    ReplicaOutput out;
    act(out);
    while (out.write) {
      WriteRecords(disk, *std::exchange(out.write, std::nullopt));
      BOOST_REQUIRE(ReadState(disk));
      replica.OnWritten(now, true, out);
    }
  };
  while (last < 2 * kLogSlots + 1000) {
    AppendEntries append{last, last == 0 ? 0u : 1u, last, 0,
                         std::vector<LogEntry>(700, LogEntry{1, {}, "c", {}})};
    last += 700;
    step([&](ReplicaOutput& out) {
      replica.OnMessage(now, {ThreeMembers()[1], ThreeMembers()[0].incarnation, 1, append}, out);
    });
    if (last - replica.log_begin() > 10'000)
      step([&](ReplicaOutput& out) { replica.Compact(now, replica.applied(), std::to_string(last), out); });
  }
  const auto restored = ReadState(disk);
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored->snapshot_index == replica.log_begin());
  BOOST_TEST(restored->snapshot_index + restored->entries.size() == last);
  BOOST_TEST(disk.size() <= kLogSlots + 2);
}

// The disk of a voter with a snapshot and five entries.
Disk SampleDisk() {
  Disk disk;
  WriteRecords(disk, EncodeHardState(kDisk, 3, Incarnation{"core-2", 2}, 10, 15));
  WriteRecords(disk, {EncodeSnapshot(10, 2, milliseconds(5), ThreeMembers(), "state")});
  for (std::uint64_t index = 11; index <= 15; ++index)
    WriteRecords(disk, {EncodeEntry(index, {3, milliseconds(index), "c", {}})});
  return disk;
}

BOOST_AUTO_TEST_CASE(damage_is_refused) {
  BOOST_REQUIRE(ReadState(SampleDisk()));
  for (const auto& [key, bytes] : SampleDisk()) {
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      Disk cut = SampleDisk();
      cut[key].resize(size);
      BOOST_TEST(!ReadState(cut), key << " cut to " << size);
    }
    Disk incomplete = SampleDisk();
    incomplete.erase(key);
    const auto read = ReadState(incomplete);
    const bool refused = !read || !read->found;  // without the hard state: a new disk
    BOOST_TEST(refused, key);
  }
  Disk other = SampleDisk();
  WriteRecords(other, {EncodeSnapshot(9, 2, milliseconds(5), ThreeMembers(), "state")});
  BOOST_TEST(!ReadState(other));
  other = SampleDisk();
  WriteRecords(other, {EncodeEntry(12 + kLogSlots, {3, milliseconds(1), "c", {}})});
  BOOST_TEST(!ReadState(other));
}

BOOST_AUTO_TEST_CASE(records_of_another_incarnation_are_ignored) {
  Disk disk = SampleDisk();
  const auto none = ReadState(disk, kDisk + 1);
  BOOST_REQUIRE(none);
  BOOST_TEST((*none == ReplicaState{}));
  Member self = ThreeMembers()[0];
  self.incarnation.number = kDisk + 1;
  Replica replica(self, *none, {}, 1);
  ReplicaOutput out;
  replica.Tick(Time{std::chrono::hours(1)}, out);
  BOOST_REQUIRE(out.write);
  WriteRecords(disk, *out.write);
  const auto own = ReadState(disk, kDisk + 1);
  BOOST_REQUIRE(own);
  BOOST_TEST(own->found);
  BOOST_TEST(own->snapshot.empty());
  BOOST_TEST(own->entries.empty());
  BOOST_TEST(own->term == 0u);
  const auto old = ReadState(disk);
  BOOST_REQUIRE(old);
  BOOST_TEST(!old->found);
}

// Found by fuzz/coordination.cpp: a snapshot with key g.k but without its group.
BOOST_AUTO_TEST_CASE(a_snapshot_that_no_state_machine_wrote_is_refused) {
  constexpr unsigned char kLacksAGroup[] = {0x96, 0x01, 0x01, 0x90, 0x90, 0x91, 0x94, 0xc4, 0x03,
                                            'g',  '.',  'k',  0xc4, 0x01, 'w',  0x02, 0x00, 0x91,
                                            0x94, 0xc4, 0x01, 'B',  0x02, 0x00, 0x90};
  StateMachine state{StateMachineLimits{}};
  state.Apply(LoggedTime(1), PutKey{"g.k", "v", std::nullopt});
  const std::string before = state.Snapshot();
  BOOST_TEST(!state.Restore({reinterpret_cast<const char*>(kLacksAGroup), sizeof(kLacksAGroup)}));
  BOOST_TEST((state.Snapshot() == before));
  BOOST_TEST(state.Restore(before));
}

}  // namespace
}  // namespace curlewdoor::coordination
