// Single rules of one replica, message by message, each also against the fault that breaks it.
#include <boost/test/unit_test.hpp>

#include "coordination/replica.hpp"

namespace curlewdoor::coordination {
namespace {

using Fault = ReplicaOptions::Fault;
using std::chrono::milliseconds;

Member MemberNumber(std::uint64_t number, std::uint64_t disk = 0) {
  return {{"core-" + std::to_string(number), disk == 0 ? number : disk}, "10.0.0.1:7001"};
}

std::vector<Member> Five() {
  return {MemberNumber(1), MemberNumber(2), MemberNumber(3), MemberNumber(4), MemberNumber(5)};
}

LogEntry EntryOf(std::uint64_t term, std::string command) { return {term, {}, std::move(command), {}}; }

// What the disk of a voter of five holds after these entries.
ReplicaState Held(std::uint64_t term, std::vector<LogEntry> entries) {
  ReplicaState state;
  state.found = true;
  state.term = term;
  state.snapshot_voters = Five();
  state.entries = std::move(entries);
  return state;
}

// core-1 of five; the test is the others, the disk and the clock.
class One {
 public:
  explicit One(ReplicaState held, ReplicaOptions options = {})
      : replica(MemberNumber(1), std::move(held), options, 1) {
    Tick();
  }
  explicit One(ReplicaState held, Fault fault) : One(std::move(held), WithFault(fault)) {}

  static ReplicaOptions WithFault(Fault fault) {
    ReplicaOptions options;
    options.fault = fault;
    return options;
  }

  void Tick(Duration after = milliseconds(20)) {
    now += after;
    replica.Tick(now, out);
    NoteWrite();
  }
  void Hear(const Member& from, std::uint64_t term, ReplicaBody body) {
    replica.OnMessage(now, {from, MemberNumber(1).incarnation, term, std::move(body)}, out);
    NoteWrite();
  }
  void EndWrite(bool ok = true) {
    if (!writing) return;
    writing = false;
    replica.OnWritten(now, ok, out);
    NoteWrite();
  }
  void EndWrites() {
    while (writing) EndWrite();
  }
  void Stand() {
    EndWrites();
    Tick(milliseconds(900));
    const std::uint64_t term = replica.term() + 1;
    Hear(MemberNumber(2), term, Vote{true, true});
    Hear(MemberNumber(3), term, Vote{true, true});
  }
  void Lead() {
    Stand();
    EndWrites();
    Hear(MemberNumber(2), replica.term(), Vote{false, true});
    Hear(MemberNumber(3), replica.term(), Vote{false, true});
  }
  void Serve() {
    Lead();
    EndWrites();
    for (std::uint64_t i = 2; i <= 3; ++i)
      Hear(MemberNumber(i), replica.term(), Appended{true, replica.log_last(), 0});
    BOOST_REQUIRE(replica.serving());
  }
  // The messages of this kind that were sent since the last question.
  template <typename Body>
  std::vector<Body> TakeSent() {
    std::vector<Body> sent;
    for (const ReplicaSending& each : std::exchange(out.sends, {}))
      if (const auto* body = std::get_if<Body>(&each.message.body)) sent.push_back(*body);
    return sent;
  }
  bool Granted() {
    const auto votes = TakeSent<Vote>();
    return std::any_of(votes.begin(), votes.end(), [](const Vote& each) { return each.granted; });
  }
  bool Acknowledged(std::uint64_t index) {
    const auto all = TakeSent<Appended>();
    return std::any_of(all.begin(), all.end(),
                       [&](const Appended& each) { return each.ok && each.index >= index; });
  }

  Time now{std::chrono::hours(1)};
  ReplicaOut out;
  bool writing = false;
  Replica replica;

 private:
  void NoteWrite() {
    if (!out.write) return;
    BOOST_REQUIRE(!writing);
    writing = true;
    out.write.reset();
  }
};

// ---- Each rule: whether it is kept ----

bool VoteWaitsForTheDisk(Fault fault) {
  One one(Held(0, {}), fault);
  one.Hear(MemberNumber(3), 1, Vote{false, false});
  one.EndWrites();
  one.Hear(MemberNumber(2), 1, RequestVote{false, false, 0, 0});
  if (one.Granted()) return false;
  one.EndWrites();
  BOOST_TEST(one.Granted());
  return true;
}

bool AcknowledgesOnlyWhatIsSynced(Fault fault) {
  One one(Held(1, {}), fault);
  one.EndWrites();
  one.Hear(MemberNumber(2), 1, AppendEntries{0, 0, 0, 0, {EntryOf(1, "a")}});
  if (one.Acknowledged(1)) return false;
  one.EndWrites();
  BOOST_TEST(one.Acknowledged(1));
  return true;
}

bool CommitsNoEarlierTermByCopies(Fault fault) {
  One one(Held(1, {EntryOf(1, "a")}), fault);
  one.Lead();
  one.EndWrites();
  for (std::uint64_t i = 2; i <= 3; ++i) one.Hear(MemberNumber(i), 2, Appended{true, 1, 0});
  return one.replica.applied() == 0;
}

bool ReadsWaitForAMajority(Fault fault) {
  One one(Held(1, {}), fault);
  one.Serve();
  BOOST_TEST(one.replica.Read(one.now, 7, one.out));
  if (!one.out.reads.empty()) return false;
  one.Tick();
  // An answer to an earlier question counts for nothing, nor does one voter's alone.
  one.Hear(MemberNumber(2), 2, Appended{true, 1, 0});
  one.Hear(MemberNumber(3), 2, Appended{true, 1, 0});
  one.Hear(MemberNumber(3), 2, Appended{true, 1, 1});
  if (!one.out.reads.empty()) return false;
  one.Hear(MemberNumber(4), 2, Appended{true, 0, 1});
  BOOST_TEST(one.out.reads == std::vector<std::uint64_t>{7});
  return true;
}

bool AWipedDiskHasNoVote(Fault fault) {
  One one(Held(1, {}), fault);
  one.Stand();
  one.EndWrites();
  one.Hear(MemberNumber(2, 92), 2, Vote{false, true});
  one.Hear(MemberNumber(3, 93), 2, Vote{false, true});
  return one.TakeSent<AppendEntries>().empty();
}

bool ChangesOneVoterAtATime(Fault fault) {
  One one(Held(1, {}), fault);
  one.Serve();
  one.replica.SetTarget(one.now, 2, {MemberNumber(1), MemberNumber(2), MemberNumber(3)}, one.out);
  for (int i = 0; i < 4; ++i) one.Tick();
  BOOST_TEST(one.replica.voters().size() < 5u);
  return one.replica.voters().size() == 4;
}

bool AVoterIsMadeOnceItHasTheLog(Fault fault) {
  One one(Held(1, {}), fault);
  one.Serve();
  std::vector<Member> target = Five();
  target.push_back(MemberNumber(6));
  one.replica.SetTarget(one.now, 2, target, one.out);
  for (int i = 0; i < 4; ++i) one.Tick();
  return one.replica.voters().size() == 5;
}

bool ASnapshotDropsAnotherTermsEntries(Fault fault) {
  One one(Held(1, std::vector<LogEntry>(10, EntryOf(1, "a"))), fault);
  one.EndWrites();
  one.Hear(MemberNumber(2), 2, InstallSnapshot{5, 2, {}, Five(), 1, 0, 0, "s"});
  BOOST_TEST(one.out.snapshot.value_or("") == "s");
  return one.replica.log_last() == 5;
}

bool NoVoteForAShorterLog(Fault fault) {
  One one(Held(1, {EntryOf(1, "a")}), fault);
  one.Hear(MemberNumber(2), 2, RequestVote{false, false, 0, 0});
  one.EndWrites();
  return !one.Granted();
}

BOOST_AUTO_TEST_CASE(each_rule_is_kept_and_its_fault_is_found) {
  const std::vector<std::tuple<const char*, Fault, bool (*)(Fault)>> rules{
      {"vote not written", Fault::kVoteNotWritten, VoteWaitsForTheDisk},
      {"acknowledged before the sync", Fault::kAckBeforeSync, AcknowledgesOnlyWhatIsSynced},
      {"committed an earlier term", Fault::kCommitOlderTerm, CommitsNoEarlierTermByCopies},
      {"read without a quorum", Fault::kReadWithoutQuorum, ReadsWaitForAMajority},
      {"any disk", Fault::kAnyDisk, AWipedDiskHasNoVote},
      {"two changes at once", Fault::kTwoChangesAtOnce, ChangesOneVoterAtATime},
      {"learner votes", Fault::kLearnerVotes, AVoterIsMadeOnceItHasTheLog},
      {"snapshot keeps the log", Fault::kSnapshotKeepsLog, ASnapshotDropsAnotherTermsEntries},
      {"vote for a shorter log", Fault::kVoteForShorterLog, NoVoteForAShorterLog}};
  for (const auto& [name, fault, kept] : rules) {
    BOOST_TEST(kept(Fault::kNone), name);
    BOOST_TEST(!kept(fault), name << ": the fault wasn't found");
  }
}

// ---- Rules without a fault of their own ----

// The disk still holds the entries that the snapshot has done away with.
BOOST_AUTO_TEST_CASE(a_snapshot_is_acknowledged_once_it_is_synced) {
  for (const bool write_under_way : {false, true}) {
    One one(Held(1, std::vector<LogEntry>(10, EntryOf(1, "a"))));
    one.EndWrites();
    if (write_under_way) one.Hear(MemberNumber(3), 2, Vote{false, false});
    one.Hear(MemberNumber(2), 2, InstallSnapshot{5, 2, {}, Five(), 1, 0, 0, "s"});
    if (write_under_way) one.EndWrite();
    one.Hear(MemberNumber(2), 2, AppendEntries{5, 2, 5, 0, {}});
    BOOST_TEST(!one.Acknowledged(5));
    one.EndWrites();
    BOOST_TEST(one.Acknowledged(5));
  }
}

// Else it may stand in the same term once more after a lost write, and lead it twice.
BOOST_AUTO_TEST_CASE(a_candidate_leads_once_its_own_vote_is_synced) {
  One one(Held(1, {}));
  one.Stand();
  BOOST_REQUIRE(one.writing);
  for (std::uint64_t i = 2; i <= 5; ++i) one.Hear(MemberNumber(i), 2, Vote{false, true});
  BOOST_TEST(one.TakeSent<AppendEntries>().empty());
  one.EndWrite();
  BOOST_TEST(!one.TakeSent<AppendEntries>().empty());
}

// Another of the first voters may be founded, and ask, before this one.
BOOST_AUTO_TEST_CASE(a_vote_before_the_founding_hinders_no_founding) {
  One one(ReplicaState{});
  one.Hear(MemberNumber(2), 1, RequestVote{false, false, 0, 0});
  one.EndWrites();
  BOOST_TEST(one.Granted());
  one.replica.Found(one.now, Five(), one.out);
  BOOST_TEST(one.replica.voters().size() == 5u);
}

// What was sent already may only wait for a slow disk: bytes between zones cost.
BOOST_AUTO_TEST_CASE(an_unanswered_peer_is_sent_one_message_at_a_time) {
  ReplicaOptions options;
  options.append_bytes = 100;
  One one(Held(1, {}), options);
  one.Serve();
  for (int i = 0; i < 50; ++i) BOOST_REQUIRE(one.replica.Propose(one.now, std::string(100, 'a'), one.out));
  one.Tick();
  one.TakeSent<AppendEntries>();
  one.Tick(milliseconds(250));
  std::size_t with_entries = 0;
  for (const AppendEntries& each : one.TakeSent<AppendEntries>()) with_entries += !each.entries.empty();
  BOOST_TEST(with_entries <= 4u);  // one for each peer
}

// Until its removal is committed its vote, and its log, may be the ones that are wanted.
BOOST_AUTO_TEST_CASE(a_voter_stands_until_its_removal_is_committed) {
  for (const std::uint64_t committed : {0, 1}) {
    LogEntry removal{1, {}, {}, {MemberNumber(2), MemberNumber(3), MemberNumber(4), MemberNumber(5)}};
    One one(Held(1, {removal}));
    one.EndWrites();
    one.Hear(MemberNumber(2), 1, AppendEntries{1, 1, committed, 0, {}});
    one.Tick(milliseconds(900));
    BOOST_TEST(one.TakeSent<RequestVote>().empty() == (committed == 1));
  }
}

}  // namespace
}  // namespace curlewdoor::coordination
