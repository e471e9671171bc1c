// Safety rules of a single replica, checked message by message, and each also with the injected fault that
// violates it.
#include <boost/test/unit_test.hpp>

#include "coordination/replica.hpp"

namespace curlewdoor::coordination {
namespace {

using Fault = ReplicaOptions::Fault;
using std::chrono::milliseconds;

Member MemberNumber(std::uint64_t number, std::uint64_t disk = 0) {
  return {{"core-" + std::to_string(number), disk == 0 ? number : disk}, "10.0.0.1:7001"};
}

std::vector<Member> FiveMembers() {
  return {MemberNumber(1), MemberNumber(2), MemberNumber(3), MemberNumber(4), MemberNumber(5)};
}

LogEntry EntryOf(std::uint64_t term, std::string command) { return {term, {}, std::move(command), {}}; }

// The stored state of one of five voters with these entries.
ReplicaState StoredState(std::uint64_t term, std::vector<LogEntry> entries) {
  ReplicaState state;
  state.found = true;
  state.term = term;
  state.snapshot_voters = FiveMembers();
  state.entries = std::move(entries);
  return state;
}

// core-1 of five. The test plays the other members, the disk and the clock.
class TestReplica {
 public:
  explicit TestReplica(ReplicaState stored, ReplicaOptions options = {})
      : replica(MemberNumber(1), std::move(stored), options, 1) {
    Tick();
  }
  explicit TestReplica(ReplicaState stored, Fault fault) : TestReplica(std::move(stored), WithFault(fault)) {}

  static ReplicaOptions WithFault(Fault fault) {
    ReplicaOptions options;
    options.fault = fault;
    return options;
  }

  void Tick(Duration after = milliseconds(20)) {
    now += after;
    replica.Tick(now, out);
    TrackWrite();
  }
  void Receive(const Member& from, std::uint64_t term, ReplicaBody body) {
    replica.OnMessage(now, {from, MemberNumber(1).incarnation, term, std::move(body)}, out);
    TrackWrite();
  }
  void EndWrite(bool ok = true) {
    if (!writing) return;
    writing = false;
    replica.OnWritten(now, ok, out);
    TrackWrite();
  }
  void EndWrites() {
    while (writing) EndWrite();
  }
  void StartElection() {
    EndWrites();
    Tick(milliseconds(900));
    const std::uint64_t term = replica.term() + 1;
    Receive(MemberNumber(2), term, VoteResponse{true, true});
    Receive(MemberNumber(3), term, VoteResponse{true, true});
  }
  void WinElection() {
    StartElection();
    EndWrites();
    Receive(MemberNumber(2), replica.term(), VoteResponse{false, true});
    Receive(MemberNumber(3), replica.term(), VoteResponse{false, true});
  }
  void StartServing() {
    WinElection();
    EndWrites();
    for (std::uint64_t i = 2; i <= 3; ++i)
      Receive(MemberNumber(i), replica.term(), AppendResponse{true, replica.log_last(), 0});
    BOOST_REQUIRE(replica.serving());
  }
  // The messages of this type sent since the last call.
  template <typename Body>
  std::vector<Body> TakeSentMessages() {
    std::vector<Body> sent;
    for (const OutgoingMessage& each : std::exchange(out.messages, {}))
      if (const auto* body = std::get_if<Body>(&each.message.body)) sent.push_back(*body);
    return sent;
  }
  bool Granted() {
    const auto votes = TakeSentMessages<VoteResponse>();
    return std::any_of(votes.begin(), votes.end(), [](const VoteResponse& each) { return each.granted; });
  }
  bool Acknowledged(std::uint64_t index) {
    const auto all = TakeSentMessages<AppendResponse>();
    return std::any_of(all.begin(), all.end(),
                       [&](const AppendResponse& each) { return each.ok && each.index >= index; });
  }

  Time now{std::chrono::hours(1)};
  ReplicaOutput out;
  bool writing = false;
  Replica replica;

 private:
  void TrackWrite() {
    if (!out.write) return;
    BOOST_REQUIRE(!writing);
    writing = true;
    out.write.reset();
  }
};

// ---- Each function returns whether its rule holds ----

bool VoteWaitsForSync(Fault fault) {
  TestReplica member(StoredState(0, {}), fault);
  member.Receive(MemberNumber(3), 1, VoteResponse{false, false});
  member.EndWrites();
  member.Receive(MemberNumber(2), 1, RequestVote{false, false, 0, 0});
  if (member.Granted()) return false;
  member.EndWrites();
  BOOST_TEST(member.Granted());
  return true;
}

bool AcknowledgesOnlySyncedEntries(Fault fault) {
  TestReplica member(StoredState(1, {}), fault);
  member.EndWrites();
  member.Receive(MemberNumber(2), 1, AppendEntries{0, 0, 0, 0, {EntryOf(1, "a")}});
  if (member.Acknowledged(1)) return false;
  member.EndWrites();
  BOOST_TEST(member.Acknowledged(1));
  return true;
}

bool NeverCountsCopiesOfEarlierTerms(Fault fault) {
  TestReplica member(StoredState(1, {EntryOf(1, "a")}), fault);
  member.WinElection();
  member.EndWrites();
  for (std::uint64_t i = 2; i <= 3; ++i) member.Receive(MemberNumber(i), 2, AppendResponse{true, 1, 0});
  return member.replica.applied() == 0;
}

bool ReadsWaitForAMajority(Fault fault) {
  TestReplica member(StoredState(1, {}), fault);
  member.StartServing();
  BOOST_TEST(member.replica.Read(member.now, 7, member.out));
  if (!member.out.confirmed_reads.empty()) return false;
  member.Tick();
  // Answers to an earlier heartbeat round do not count, and one voter is not a majority.
  member.Receive(MemberNumber(2), 2, AppendResponse{true, 1, 0});
  member.Receive(MemberNumber(3), 2, AppendResponse{true, 1, 0});
  member.Receive(MemberNumber(3), 2, AppendResponse{true, 1, 1});
  if (!member.out.confirmed_reads.empty()) return false;
  member.Receive(MemberNumber(4), 2, AppendResponse{true, 0, 1});
  BOOST_TEST(member.out.confirmed_reads == std::vector<std::uint64_t>{7});
  return true;
}

bool WipedDiskHasNoVote(Fault fault) {
  TestReplica member(StoredState(1, {}), fault);
  member.StartElection();
  member.EndWrites();
  member.Receive(MemberNumber(2, 92), 2, VoteResponse{false, true});
  member.Receive(MemberNumber(3, 93), 2, VoteResponse{false, true});
  return member.TakeSentMessages<AppendEntries>().empty();
}

bool ChangesOneVoterAtATime(Fault fault) {
  TestReplica member(StoredState(1, {}), fault);
  member.StartServing();
  member.replica.SetTargetVoters(member.now, 2, {MemberNumber(1), MemberNumber(2), MemberNumber(3)},
                                 member.out);
  for (int i = 0; i < 4; ++i) member.Tick();
  BOOST_TEST(member.replica.voters().size() < 5u);
  return member.replica.voters().size() == 4;
}

bool PromotesAfterCatchUp(Fault fault) {
  TestReplica member(StoredState(1, {}), fault);
  member.StartServing();
  std::vector<Member> target = FiveMembers();
  target.push_back(MemberNumber(6));
  member.replica.SetTargetVoters(member.now, 2, target, member.out);
  for (int i = 0; i < 4; ++i) member.Tick();
  return member.replica.voters().size() == 5;
}

bool SnapshotDropsConflictingEntries(Fault fault) {
  TestReplica member(StoredState(1, std::vector<LogEntry>(10, EntryOf(1, "a"))), fault);
  member.EndWrites();
  member.Receive(MemberNumber(2), 2, InstallSnapshot{5, 2, {}, FiveMembers(), 1, 0, 0, "s"});
  BOOST_TEST(member.out.snapshot.value_or("") == "s");
  return member.replica.log_last() == 5;
}

bool NoVoteForOutdatedLog(Fault fault) {
  TestReplica member(StoredState(1, {EntryOf(1, "a")}), fault);
  member.Receive(MemberNumber(2), 2, RequestVote{false, false, 0, 0});
  member.EndWrites();
  return !member.Granted();
}

BOOST_AUTO_TEST_CASE(each_rule_is_kept_and_its_fault_is_found) {
  const std::vector<std::tuple<const char*, Fault, bool (*)(Fault)>> rules{
      {"vote not written", Fault::kVoteNotWritten, VoteWaitsForSync},
      {"acknowledged before the sync", Fault::kAckBeforeSync, AcknowledgesOnlySyncedEntries},
      {"committed an earlier term", Fault::kCommitOlderTerm, NeverCountsCopiesOfEarlierTerms},
      {"read without a quorum", Fault::kReadWithoutQuorum, ReadsWaitForAMajority},
      {"any disk", Fault::kIgnoreDiskNumber, WipedDiskHasNoVote},
      {"two changes at once", Fault::kConcurrentVoterChanges, ChangesOneVoterAtATime},
      {"learner votes", Fault::kPromoteBeforeCatchUp, PromotesAfterCatchUp},
      {"snapshot keeps the log", Fault::kKeepLogAfterSnapshot, SnapshotDropsConflictingEntries},
      {"vote for a shorter log", Fault::kVoteForOutdatedLog, NoVoteForOutdatedLog}};
  for (const auto& [name, fault, holds] : rules) {
    BOOST_TEST(holds(Fault::kNone), name);
    BOOST_TEST(!holds(fault), name << ": the fault was not found");
  }
}

// ---- Rules without an injected fault ----

// Until the next write the disk still holds the entries that the snapshot replaced.
BOOST_AUTO_TEST_CASE(a_snapshot_is_acknowledged_once_it_is_synced) {
  for (const bool write_under_way : {false, true}) {
    TestReplica member(StoredState(1, std::vector<LogEntry>(10, EntryOf(1, "a"))));
    member.EndWrites();
    if (write_under_way) member.Receive(MemberNumber(3), 2, VoteResponse{false, false});
    member.Receive(MemberNumber(2), 2, InstallSnapshot{5, 2, {}, FiveMembers(), 1, 0, 0, "s"});
    if (write_under_way) member.EndWrite();
    member.Receive(MemberNumber(2), 2, AppendEntries{5, 2, 5, 0, {}});
    BOOST_TEST(!member.Acknowledged(5));
    member.EndWrites();
    BOOST_TEST(member.Acknowledged(5));
  }
}

// Otherwise it could stand in the same term again after a lost write, and lead the term twice.
BOOST_AUTO_TEST_CASE(a_candidate_leads_once_its_own_vote_is_synced) {
  TestReplica member(StoredState(1, {}));
  member.StartElection();
  BOOST_REQUIRE(member.writing);
  for (std::uint64_t i = 2; i <= 5; ++i) member.Receive(MemberNumber(i), 2, VoteResponse{false, true});
  BOOST_TEST(member.TakeSentMessages<AppendEntries>().empty());
  member.EndWrite();
  BOOST_TEST(!member.TakeSentMessages<AppendEntries>().empty());
}

// Another of the first voters may be bootstrapped, and request a vote, before this one.
BOOST_AUTO_TEST_CASE(a_vote_before_bootstrap_does_not_prevent_bootstrap) {
  TestReplica member(ReplicaState{});
  member.Receive(MemberNumber(2), 1, RequestVote{false, false, 0, 0});
  member.EndWrites();
  BOOST_TEST(member.Granted());
  member.replica.Bootstrap(member.now, FiveMembers(), member.out);
  BOOST_TEST(member.replica.voters().size() == 5u);
}

// Entries that were sent may only be waiting for a slow disk, and traffic between zones is charged.
BOOST_AUTO_TEST_CASE(an_unanswered_peer_is_sent_one_message_at_a_time) {
  ReplicaOptions options;
  options.max_append_bytes = 100;
  TestReplica member(StoredState(1, {}), options);
  member.StartServing();
  for (int i = 0; i < 50; ++i)
    BOOST_REQUIRE(member.replica.Propose(member.now, std::string(100, 'a'), member.out));
  member.Tick();
  member.TakeSentMessages<AppendEntries>();
  member.Tick(milliseconds(250));
  std::size_t with_entries = 0;
  for (const AppendEntries& each : member.TakeSentMessages<AppendEntries>())
    with_entries += !each.entries.empty();
  BOOST_TEST(with_entries <= 4u);  // one per peer
}

// Until its removal is committed, its vote and its log may be needed for a majority.
BOOST_AUTO_TEST_CASE(a_voter_stands_until_its_removal_is_committed) {
  for (const std::uint64_t committed : {0, 1}) {
    LogEntry removal{1, {}, {}, {MemberNumber(2), MemberNumber(3), MemberNumber(4), MemberNumber(5)}};
    TestReplica member(StoredState(1, {removal}));
    member.EndWrites();
    member.Receive(MemberNumber(2), 1, AppendEntries{1, 1, committed, 0, {}});
    member.Tick(milliseconds(900));
    BOOST_TEST(member.TakeSentMessages<RequestVote>().empty() == (committed == 1));
  }
}

}  // namespace
}  // namespace curlewdoor::coordination
