// Unit tests of votes, proofs of a gateway's list, voting rights and the watermark. registry_search_test
// covers their interaction.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "registry_replication/lease.hpp"
#include "registry_replication/record.hpp"
#include "registry_replication/replica.hpp"
#include "registry_replication/watermark.hpp"

namespace curlewdoor::registry_replication {
namespace {

using namespace std::chrono_literals;

const Time kStart{std::chrono::hours(1000)};
const MemberId kA{"a", 1}, kB{"b", 2}, kC{"c", 3}, kD{"d", 4};

MemberStatus Voting(const MemberId& member, std::uint64_t epoch = 1) { return {member, epoch, epoch, true}; }

BOOST_AUTO_TEST_CASE(a_leave_is_acknowledged_by_a_majority_of_one_epoch) {
  const Membership first{1, {kA, kB, kC}}, second{2, {kB, kC, kD}};
  LeaveVotes votes;
  BOOST_TEST(!votes.HasMajority(first));
  votes.Add(kA, 1);
  votes.Add(kA, 1);
  BOOST_TEST(!votes.HasMajority(first));
  votes.Add(kD, 1);         // not a member of that epoch
  votes.Add({"b", 99}, 1);  // another incarnation of one
  votes.Add(kB, 2);         // for another epoch
  BOOST_TEST(!votes.HasMajority(first));
  BOOST_TEST(!votes.HasMajority(second));
  votes.Add(kC, 2);
  BOOST_TEST(votes.HasMajority(second));
  BOOST_TEST(!votes.HasMajority(first));
  BOOST_TEST(!votes.HasMajority({0, {}}));
  BOOST_TEST(votes.HasVoted("b", 2));
  BOOST_TEST(!votes.HasVoted("c", 1));
}

struct Gateway {
  RegistryLease lease{RegistryLease::OptionsFor(2s)};
  Time now = kStart;

  Gateway() { lease.SetMembership({1, {kA, kB, kC}}); }
  // Runs for this long and queries when due; the given members answer at once.
  void Run(Duration for_so_long, const std::vector<MemberId>& answering) {
    for (const Time ends = now + for_so_long; now < ends; now += 50ms) {
      if (!lease.Tick(now)) continue;
      lease.OnQuerySent(now);
      for (const MemberId& member : answering) lease.OnAnswer(now, now, Voting(member));
    }
  }
};

BOOST_AUTO_TEST_CASE(a_list_is_proved_by_a_majority_and_for_less_than_the_drain) {
  Gateway gateway;
  BOOST_TEST(!gateway.lease.MaySend(gateway.now));
  gateway.Run(1s, {kA});
  BOOST_TEST(!gateway.lease.IsProved(gateway.now));
  gateway.Run(1s, {kA, kC});
  BOOST_TEST(gateway.lease.IsProved(gateway.now));
  BOOST_TEST(gateway.lease.IsProved(gateway.now + 600ms));
  BOOST_TEST(!gateway.lease.IsProved(gateway.now + 1300ms));  // whether the process was running or paused
}

BOOST_AUTO_TEST_CASE(after_a_pause_nothing_is_sent_before_a_proof) {
  Gateway gateway;
  gateway.Run(2s, {kA, kB, kC});
  gateway.now += 5s;
  BOOST_TEST(!gateway.lease.MaySend(gateway.now));
  gateway.Run(50ms, {kA, kB});
  BOOST_TEST(gateway.lease.IsProved(gateway.now));
}

BOOST_AUTO_TEST_CASE(an_answer_proves_as_of_its_question) {
  Gateway gateway;
  gateway.Run(2s, {kA, kB, kC});
  const Time asked = gateway.now;
  gateway.now += 5s;
  for (const MemberId& member : {kA, kB, kC}) gateway.lease.OnAnswer(gateway.now, asked, Voting(member));
  BOOST_TEST(!gateway.lease.MaySend(gateway.now));
  gateway.lease.OnAnswer(gateway.now, gateway.now + 1s, Voting(kA));  // to a query that was never sent
  gateway.lease.OnAnswer(gateway.now, gateway.now + 1s, Voting(kB));
  BOOST_TEST(!gateway.lease.IsProved(gateway.now + 1s));
}

BOOST_AUTO_TEST_CASE(without_a_core_requests_are_sent_unproved_and_a_pause_restarts_the_wait) {
  Gateway gateway;
  gateway.Run(2s, {kA, kB});
  gateway.Run(1s, {});
  BOOST_TEST(gateway.lease.MaySend(gateway.now));  // the proof is still valid
  gateway.Run(1s, {kC});
  BOOST_TEST(!gateway.lease.IsProved(gateway.now));
  BOOST_TEST(gateway.lease.MaySend(gateway.now));
  gateway.now += 3s;
  BOOST_TEST(!gateway.lease.MaySend(gateway.now));
  gateway.Run(1900ms, {});  // only running time counts, not the pause
  BOOST_TEST(!gateway.lease.MaySend(gateway.now));
  gateway.Run(300ms, {});
  BOOST_TEST(gateway.lease.MaySend(gateway.now));
  gateway.Run(1s, {kB, kC});
  BOOST_TEST(gateway.lease.IsProved(gateway.now));
}

BOOST_AUTO_TEST_CASE(after_a_short_pause_half_a_second_of_running_time_is_enough) {
  Gateway gateway;
  gateway.Run(2s, {kA, kB});
  gateway.Run(2s, {});
  gateway.now += 600ms;
  gateway.Run(400ms, {});
  BOOST_TEST(!gateway.lease.MaySend(gateway.now));
  gateway.Run(300ms, {});
  BOOST_TEST(gateway.lease.MaySend(gateway.now));
}

BOOST_AUTO_TEST_CASE(only_votes_of_the_epoch_count) {
  Gateway gateway;
  MemberStatus non_voter = Voting(kA);
  non_voter.votes = false;
  gateway.lease.OnQuerySent(gateway.now);
  gateway.lease.OnAnswer(gateway.now, gateway.now, non_voter);
  gateway.lease.OnAnswer(gateway.now, gateway.now, Voting(kB, 2));
  gateway.lease.OnAnswer(gateway.now, gateway.now, Voting(kC));
  gateway.lease.OnAnswer(gateway.now, gateway.now, Voting(kD));
  BOOST_TEST(!gateway.lease.IsProved(gateway.now));
  gateway.lease.SetMembership({2, {kB, kC, kD}});
  gateway.lease.OnAnswer(gateway.now, gateway.now, Voting(kC, 2));
  BOOST_TEST(!gateway.lease.IsProved(gateway.now));
  gateway.lease.OnAnswer(gateway.now, gateway.now, Voting(kD, 2));
  BOOST_TEST(gateway.lease.IsProved(gateway.now));
  gateway.lease.SetMembership({1, {kA}});
  BOOST_TEST(gateway.lease.epoch() == 2U);
}

// Writes the replica's record to a disk that completes at once.
void Write(RegistryReplica& replica) {
  if (replica.Dirty()) replica.OnWritten(replica.Record());
}

BOOST_AUTO_TEST_CASE(a_member_of_the_first_epoch_votes_once_that_is_on_disk) {
  RegistryReplica replica(kA);
  replica.Adopt(kStart, {1, {kA, kB, kC}});
  BOOST_TEST(!replica.votes());
  Write(replica);
  BOOST_TEST(replica.votes());
  RegistryReplica other(kD);
  other.Adopt(kStart, {1, {kA, kB, kC}});
  Write(other);
  BOOST_TEST(!other.votes());
}

BOOST_AUTO_TEST_CASE(the_next_epoch_begins_with_the_leaves_that_a_majority_of_the_previous_one_holds) {
  RegistryReplica replica(kD);
  replica.Adopt(kStart, {1, {kA, kB, kC}});
  Write(replica);
  replica.Adopt(kStart + 1s, {2, {kB, kC, kD}});
  Write(replica);
  BOOST_TEST(!replica.votes());
  const Time asked = kStart + 2s;
  replica.OnAnswer(kStart, {kB, 2, 1, false});  // to a query from before it adopted the epoch
  replica.OnAnswer(asked, {kB, 2, 1, false});
  replica.OnAnswer(asked, {kA, 1, 1, true});         // still votes in the previous epoch
  replica.OnAnswer(asked, {{"c", 9}, 2, 1, false});  // a wiped disk
  Write(replica);
  BOOST_TEST(!replica.votes());
  replica.OnAnswer(asked, {kC, 2, 1, false});
  BOOST_TEST(!replica.votes());  // not on disk yet
  Write(replica);
  BOOST_TEST(replica.votes());
  BOOST_TEST(!replica.learned_from_all());
}

BOOST_AUTO_TEST_CASE(one_complete_member_is_enough_and_all_members_are_after_a_while) {
  for (const bool complete : {true, false}) {
    RegistryReplica replica(kD);
    replica.Adopt(kStart, {7, {kB, kC, kD}});
    Write(replica);
    if (complete) replica.OnAnswer(kStart + 1ms, {kB, 7, 7, true});
    if (!complete) {
      replica.OnAnswer(kStart + 1s, {kB, 7, 0, false});
      replica.OnAnswer(kStart + 1s, {kC, 7, 0, false});
      Write(replica);
      BOOST_TEST(!replica.votes());
      replica.OnAnswer(kStart + 3s, {kC, 7, 0, false});
    }
    Write(replica);
    BOOST_TEST(replica.votes());
    BOOST_TEST(replica.learned_from_all() == !complete);
  }
}

BOOST_AUTO_TEST_CASE(a_restart_goes_on_from_the_disk_and_never_back_to_an_older_epoch) {
  RegistryReplica replica(kB);
  replica.Adopt(kStart, {1, {kA, kB, kC}});
  Write(replica);
  replica.Adopt(kStart, {2, {kB, kC, kD}});
  Write(replica);
  const auto stored = Decode(Encode({replica.Record(), "leaves"}));
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->leaves == "leaves");
  RegistryReplica again(kB);
  again.Restore(stored->record);
  again.Adopt(kStart, {1, {kA, kB, kC}});  // the core's own record is older than the registry's
  BOOST_TEST(!again.votes());
  BOOST_TEST(again.status().epoch == 2U);
  RegistryReplica later(kB);
  later.Restore(stored->record);
  later.Adopt(kStart, {2, {kB, kC, kD}});
  BOOST_TEST(!later.votes());
  later.OnAnswer(kStart, {kC, 2, 1, false});  // with itself, a majority of the members stored on disk
  Write(later);
  BOOST_TEST(later.votes());
}

// Guards against a member that stays incomplete after a crash between the core's write of an epoch and the
// registry's: its disk still holds the previous epoch, and with it the members that it must ask.
BOOST_AUTO_TEST_CASE(after_a_crash_before_an_epoch_was_written_the_previous_members_are_known) {
  RegistryReplica replica(kB);
  replica.Adopt(kStart, {1, {kA, kB, kC}});
  Write(replica);
  const auto stored = Decode(Encode({replica.Record(), ""}));
  BOOST_REQUIRE(stored.has_value());
  RegistryReplica again(kB);
  again.Restore(stored->record);
  again.Adopt(kStart, {2, {kB, kC, kD}});
  Write(again);
  BOOST_TEST(!again.votes());
  again.OnAnswer(kStart, {kC, 2, 1, false});  // with itself, a majority of epoch 1
  Write(again);
  BOOST_TEST(again.votes());
}

BOOST_AUTO_TEST_CASE(members_are_complete_by_what_they_reported_in_this_epoch) {
  const auto holds = [](const RegistryReplica& replica, const MemberId& member) {
    const auto complete = replica.CompleteMembers();
    return std::count(complete.begin(), complete.end(), member) == 1;
  };
  RegistryReplica replica(kA);
  replica.Adopt(kStart, {1, {kA, kB, kC}});
  BOOST_TEST(replica.CompleteMembers().empty());  // its own disk does not hold it yet
  Write(replica);
  BOOST_TEST(holds(replica, kA));
  replica.OnAnswer(kStart, {kB, 1, 0, false});
  replica.OnAnswer(kStart, {{"c", 9}, 1, 1, true});  // a wiped disk
  BOOST_TEST(!holds(replica, kB));
  BOOST_TEST(replica.CompleteMembers().size() == 1U);
  replica.OnAnswer(kStart, {kB, 1, 1, true});
  replica.OnAnswer(kStart, {kB, 1, 1, true});
  BOOST_TEST(holds(replica, kB));
  replica.Adopt(kStart, {2, {kA, kB, kD}});
  BOOST_TEST(replica.CompleteMembers().empty());
  replica.OnAnswer(kStart, {kB, 1, 1, true});  // complete in the previous epoch only
  BOOST_TEST(replica.CompleteMembers().empty());
}

// Shows why a replacement must wait until a majority is complete. Members a and b hold a leave that epoch 1
// acknowledged. Both are replaced before c, which does not know the leave, is complete. In epoch 3 no member
// is left from which c can learn it.
BOOST_AUTO_TEST_CASE(two_replacements_that_did_not_wait_would_forget_a_leave) {
  RegistryReplica c(kC);
  c.Adopt(kStart, {1, {kA, kB, kC}});
  Write(c);
  c.OnAnswer(kStart, {kA, 1, 1, true});
  BOOST_TEST(c.CompleteMembers().size() >= 2U);  // the first replacement may begin
  c.Adopt(kStart + 1s, {2, {kD, kB, kC}});
  Write(c);
  c.OnAnswer(kStart + 1s, {kD, 2, 0, false});
  BOOST_TEST(c.CompleteMembers().empty());  // the second one must wait
  const MemberId e{"e", 5};
  c.Adopt(kStart + 2s, {3, {kD, e, kC}});
  Write(c);
  c.OnAnswer(kStart + 5s, {kD, 3, 0, false});
  c.OnAnswer(kStart + 5s, {e, 3, 0, false});
  Write(c);
  BOOST_TEST(c.votes());
  BOOST_TEST(c.learned_from_all());
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_rejected) {
  const std::string bytes = Encode({{2, 1, {1, {kA, kB}}}, "leaves"});
  for (std::size_t size = 0; size < bytes.size(); ++size) BOOST_TEST(!Decode(bytes.substr(0, size)));
  BOOST_TEST(!Decode("\x93\x01\x02\x03"));
  BOOST_TEST((Decode(bytes)->record == ReplicaRecord{2, 1, {1, {kA, kB}}}));
}

// ---- The watermark

MemberStatus Holding(const MemberId& member, std::uint64_t watermark, std::uint64_t epoch = 1) {
  return {member, epoch, epoch, true, watermark};
}

BOOST_AUTO_TEST_CASE(a_watermark_rises_once_a_majority_holds_it_and_the_period_has_passed) {
  const Membership membership{1, {kA, kB, kC}};
  Watermark watermark(20s);
  BOOST_TEST(watermark.value() == 1U);
  BOOST_TEST(!watermark.Tick(kStart, membership, Holding(kA, 1)));
  BOOST_TEST(!watermark.Tick(kStart + 30s, membership, Holding(kA, 1)));  // no other member has answered
  watermark.OnAnswer(Holding(kD, 1));                                     // not a member
  watermark.OnAnswer(Holding({"b", 99}, 1));                              // another incarnation of one
  watermark.OnAnswer(Holding(kB, 1, 2));                                  // in another epoch
  MemberStatus non_voter = Holding(kC, 1);
  non_voter.votes = false;
  watermark.OnAnswer(non_voter);
  BOOST_TEST(!watermark.Tick(kStart + 31s, membership, Holding(kA, 1)));
  watermark.OnAnswer(Holding(kC, 1));
  BOOST_TEST(watermark.Tick(kStart + 32s, membership, Holding(kA, 1)));
  BOOST_TEST(watermark.value() == 2U);
  watermark.OnAnswer(Holding(kC, 2));
  BOOST_TEST(!watermark.Tick(kStart + 60s, membership, Holding(kA, 1)));  // its own disk does not hold it yet
  BOOST_TEST(!watermark.Tick(kStart + 51s, membership, Holding(kA, 2)));  // the period has not passed
  BOOST_TEST(watermark.Tick(kStart + 52s, membership, Holding(kA, 2)));
}

BOOST_AUTO_TEST_CASE(a_received_watermark_is_adopted_and_begins_a_period) {
  const Membership membership{1, {kA}};
  Watermark watermark(20s);
  BOOST_TEST(!watermark.Tick(kStart, membership, Holding(kA, 1)));
  BOOST_TEST(watermark.Adopt(kStart + 19s, 7));
  BOOST_TEST(!watermark.Adopt(kStart + 19s, 7));
  BOOST_TEST(!watermark.Adopt(kStart + 19s, 3));
  BOOST_TEST(!watermark.Tick(kStart + 38s, membership, Holding(kA, 7)));
  BOOST_TEST(watermark.Tick(kStart + 39s, membership, Holding(kA, 7)));
  MemberStatus not_voting = Holding(kA, 8);
  not_voting.votes = false;
  BOOST_TEST(!watermark.Tick(kStart + 99s, membership, not_voting));
}

BOOST_AUTO_TEST_CASE(a_member_keeps_the_watermark_on_its_disk) {
  RegistryReplica replica(kA);
  replica.Adopt(kStart, {1, {kA, kB, kC}});
  replica.SetWatermark(9);
  BOOST_TEST(replica.status().watermark != 9U);
  Write(replica);
  BOOST_TEST(replica.status().watermark == 9U);
  const auto stored = Decode(Encode({replica.Record(), ""}));
  BOOST_REQUIRE(stored.has_value());
  RegistryReplica again(kA);
  again.Restore(stored->record);
  BOOST_TEST(again.status().watermark == 9U);
}

}  // namespace
}  // namespace curlewdoor::registry_replication
