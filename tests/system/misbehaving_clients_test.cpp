// What clients that keep to no limit may do to a gateway, by door and moment: however much they send, leave
// unread or leave behind, each process lives, stays within its memory and descriptors, and answers an
// ordinary caller, beside them and after them. Real processes with small limits, looked at from outside.
//
// Crowds and bounds are fixed. Nothing depends on how fast the machine is: the times here only end a case
// that hangs. CURLEWDOOR_SOAK_PROGRAM: another program.
#include "attack.hpp"

namespace curlewdoor::systemkit {
namespace {

// One crowd comes, stands, and leaves; then another like it.
void Withstand(Door door, const ClientScript& script, std::size_t count, bool coordinates = false) {
  Attack attack(coordinates);
  for (int wave = 0; wave < 2; ++wave) {
    attack.Add(AddressOf(attack.world.machines, door), script, count);
    attack.Play();
    attack.ExpectOrdinaryCalls("beside the crowd", kAttacked, 0);
    attack.LeaveAll();
  }
  attack.ExpectOrdinaryCallsAtAll("after the crowd");
  attack.Judge();
}

// ---- What a client sends to the data plane ---------------------------------------------------------------

BOOST_AUTO_TEST_CASE(whole_heads_behind_a_slow_answer) {
  Withstand(Door::kData, {.opening = SlowGet(), .repeated = QuickGet(), .repeats = 1500}, kCrowd);
}
BOOST_AUTO_TEST_CASE(heads_that_are_refused_behind_a_slow_answer) {
  Withstand(Door::kData,
            {.opening = SlowGet(),
             .repeated = "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n",
             .repeats = 1500},
            kCrowd);
}
BOOST_AUTO_TEST_CASE(other_bytes_behind_a_slow_answer) {
  Withstand(Door::kData, {.opening = SlowGet(), .repeated = std::string(4096, 'x'), .repeats = 500}, kCrowd);
}
BOOST_AUTO_TEST_CASE(a_half_body_behind_a_slow_answer) {
  Withstand(Door::kData, {.opening = SlowGet() + PostOf(60'000) + std::string(59'999, 'b')}, kCrowd);
}
BOOST_AUTO_TEST_CASE(bodies_in_chunks_of_one_byte) {
  Withstand(Door::kData, {.opening = ChunkedPost(), .repeated = "1\r\nb\r\n", .repeats = 60'000}, kCrowd);
}
BOOST_AUTO_TEST_CASE(bodies_in_chunks_with_long_extensions) {
  Withstand(
      Door::kData,
      {.opening = ChunkedPost(), .repeated = "1;e=" + std::string(8000, 'e') + "\r\nb\r\n", .repeats = 200},
      kCrowd);
}
BOOST_AUTO_TEST_CASE(half_heads) { Withstand(Door::kData, {.opening = HalfHead(15'000)}, kLargeCrowd); }
BOOST_AUTO_TEST_CASE(half_heads_of_a_few_bytes) {
  Withstand(Door::kData, {.opening = "GET /read/x HT"}, kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(half_bodies) {
  Withstand(Door::kData, {.opening = PostOf(60'000) + std::string(59'999, 'b')}, kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(half_bodies_of_long_requests) {
  Withstand(Door::kData, {.opening = PostOf(4'000'000), .repeated = std::string(4096, 'b'), .repeats = 100},
            kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(silent_connections) { Withstand(Door::kData, {.opening = ""}, kLargeCrowd); }
BOOST_AUTO_TEST_CASE(bytes_that_are_no_request_without_end) {
  Withstand(Door::kData,
            {.opening = "", .repeated = std::string(4096, '\x01'), .repeats = 200, .comebacks = 3},
            kLargeCrowd);
}

// ---- What a client doesn't read --------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(answers_that_wait_their_turn) {
  std::string behind;
  for (int i = 0; i < 8; ++i) behind += LargeGet(60'000);
  Withstand(Door::kData, {.opening = SlowGet() + behind}, kCrowd);
}
BOOST_AUTO_TEST_CASE(long_answers_that_are_not_read) {
  Withstand(Door::kData, {.opening = LargeGet(1'000'000)}, kCrowd);
}
BOOST_AUTO_TEST_CASE(short_answers_that_are_not_read) {
  Withstand(Door::kData, {.opening = "", .repeated = LargeGet(20'000), .repeats = 400}, kCrowd);
}
BOOST_AUTO_TEST_CASE(refusals_that_are_not_read) {
  Withstand(Door::kData,
            {.opening = "", .repeated = "GET /none HTTP/1.1\r\nHost: none\r\n\r\n", .repeats = 20'000},
            kCrowd);
}

// ---- How a client leaves ---------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(many_that_reset_right_after_their_request) {
  Withstand(Door::kData,
            {.opening = LargeGet(60'000), .leaves = ClientScript::Leaves::kByReset, .comebacks = 10},
            kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(many_that_end_right_after_their_request) {
  Withstand(Door::kData,
            {.opening = SlowGet() + QuickGet(), .leaves = ClientScript::Leaves::kByEnd, .comebacks = 10},
            kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(many_that_leave_in_the_middle_of_a_body) {
  Withstand(Door::kData,
            {.opening = PostOf(200'000) + std::string(100'000, 'b'),
             .leaves = ClientScript::Leaves::kByReset,
             .comebacks = 10},
            kLargeCrowd);
}

// Behind a slow answer so much may wait that the gateway reads no more, and sees no end: those that have left
// must not keep their descriptors until that answer comes.
BOOST_AUTO_TEST_CASE(many_that_leave_behind_a_slow_answer) {
  const std::string slower = Head("GET", "/read/slow?work_ms=28000");
  Withstand(Door::kData, {.opening = slower, .repeated = std::string(4096, 'x'), .repeats = 100}, kCrowd);
}

// What was held for those that have left is the system's again, and not the allocator's: the next crowd may
// be of another kind.
BOOST_AUTO_TEST_CASE(memory_is_given_back_once_they_have_left) {
  Attack attack;
  std::string behind;
  for (int i = 0; i < 8; ++i) behind += LargeGet(60'000);
  const Address door = AddressOf(attack.world.machines, Door::kData);
  for (const ClientScript& script :
       {ClientScript{.opening = SlowGet(), .repeated = QuickGet(), .repeats = 1500},
        ClientScript{.opening = PostOf(60'000) + std::string(59'999, 'b')},
        ClientScript{.opening = SlowGet() + behind},
        ClientScript{.opening = "", .repeated = LargeGet(20'000), .repeats = 400}}) {
    attack.Add(door, script, kCrowd);
    attack.Play();
    attack.LeaveAll();
    BOOST_TEST(
        (!kMemoryTells || attack.Until([&] { return attack.Now(kAttacked).memory_mb() <= kKeptMb; }, kHangs)),
        "gateway " << kAttacked << " still holds " << attack.Now(kAttacked).memory_mb() << " MB");
  }
  attack.ExpectOrdinaryCalls("after the crowds", kAttacked, 200);
  attack.Judge();
}

// ---- The other doors -------------------------------------------------------------------------------------

// Whoever is cut off there comes again: a time-out alone makes no room.
constexpr int kAlways = 1'000'000;

BOOST_AUTO_TEST_CASE(half_calls_at_control) {
  Withstand(Door::kControl,
            {.opening = "POST /v1/config/replace HTTP/1.1\r\nHost: g\r\nX-Long: " + std::string(12'000, 'h'),
             .reads = true,
             .comebacks = kAlways},
            kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(half_bodies_at_control) {
  Withstand(Door::kControl,
            {.opening = "POST /v1/config/replace HTTP/1.1\r\nHost: g\r\nContent-Length: 60000\r\n\r\n" +
                        std::string(59'999, ' '),
             .reads = true,
             .comebacks = kAlways},
            kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(long_bodies_at_control) {
  Withstand(Door::kControl,
            {.opening = "POST /v1/config/replace HTTP/1.1\r\nHost: g\r\nContent-Length: 3000000\r\n\r\n",
             .repeated = std::string(4096, ' '),
             .repeats = 732,
             .reads = true,
             .comebacks = kAlways},
            kCrowd);
}
BOOST_AUTO_TEST_CASE(calls_at_control_whose_answers_are_not_read) {
  Withstand(Door::kControl,
            {.opening = "", .repeated = "GET /v1/config/read HTTP/1.1\r\nHost: g\r\n\r\n", .repeats = 5000},
            kCrowd);
}
BOOST_AUTO_TEST_CASE(watches_that_wait) {
  Withstand(Door::kControl,
            {.opening = "GET /v1/watch/crowd?after=0&wait_ms=60000 HTTP/1.1\r\nHost: g\r\n\r\n",
             .reads = true,
             .comebacks = kAlways},
            kLargeCrowd, true);
}
BOOST_AUTO_TEST_CASE(half_calls_at_readiness) {
  Withstand(Door::kReadiness,
            {.opening = "GET /v1/readiness HTTP/1.1\r\nX-Long: " + std::string(12'000, 'h'),
             .reads = true,
             .comebacks = kAlways},
            kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(silent_connections_at_readiness) {
  Withstand(Door::kReadiness, {.opening = "", .reads = true, .comebacks = kAlways}, kLargeCrowd);
}
BOOST_AUTO_TEST_CASE(long_frames_from_nobody_at_the_peers_port) {
  Withstand(
      Door::kPeers,
      {.opening = std::string("\x00\x90\x00\x00", 4), .repeated = std::string(4096, 'f'), .repeats = 2300},
      kCrowd);
}
BOOST_AUTO_TEST_CASE(silent_connections_at_the_peers_port) {
  Withstand(Door::kPeers, {.opening = "", .reads = true, .comebacks = kAlways}, kLargeCrowd);
}

// A gateway that starts anew has to be let in by its peers.
BOOST_AUTO_TEST_CASE(a_peer_that_starts_again_beside_silent_connections_at_the_peers_port) {
  Attack attack;
  const ClientScript script{.opening = "", .reads = true, .comebacks = kAlways};
  for (const int machine : attack.world.machines.all())
    attack.Add(
        {attack.world.machines.control(machine).ip, AddressOf(attack.world.machines, Door::kPeers).port},
        script, kCrowd);
  attack.Play();
  attack.world.machines.Kill({kAttacked});
  attack.world.machines.Start(kAttacked, false);
  attack.ExpectOrdinaryCalls("beside the crowds", kAttacked, 200);
  attack.LeaveAll();
  attack.ExpectOrdinaryCallsAtAll("after the crowds");
  attack.Judge({kAttacked});
}

// ---- Moments ---------------------------------------------------------------------------------------------

// Several kinds at once at all doors: some send, some don't read, some leave.
void AddMixedCrowds(Attack& attack) {
  const Machines& machines = attack.world.machines;
  constexpr std::size_t kOfAKind = 60;
  const auto data = AddressOf(machines, Door::kData), control = AddressOf(machines, Door::kControl);
  attack.Add(data, {.opening = SlowGet(), .repeated = QuickGet(), .repeats = 1500, .comebacks = 50},
             kOfAKind);
  attack.Add(data, {.opening = ChunkedPost(), .repeated = "1\r\nb\r\n", .repeats = 60'000, .comebacks = 50},
             kOfAKind);
  attack.Add(data, {.opening = LargeGet(1'000'000), .comebacks = 50}, kOfAKind);
  attack.Add(data, {.opening = HalfHead(15'000), .comebacks = 50}, kOfAKind);
  attack.Add(data, {.opening = LargeGet(60'000), .leaves = ClientScript::Leaves::kByReset, .comebacks = 50},
             kOfAKind);
  attack.Add(control, {.opening = "POST /v1/x HTTP/1.1\r\nX: ", .comebacks = 50}, kOfAKind);
}

BOOST_AUTO_TEST_CASE(a_mixed_crowd_beside_changed_configurations) {
  Attack attack;
  AddMixedCrowds(attack);
  for (std::uint64_t version = 2; version <= 6; ++version) {
    const ConfigOptions changed{.version = version,
                                .moving = version % 2 == 0 ? "second" : "first",
                                .timeout_ms = 30'000,
                                .header_timeout_ms = kLongTimeoutMs};
    attack.world.oper.Replace(version, ConfigText(changed));
    BOOST_TEST(attack.Until([&] { return attack.world.oper.Acknowledged(version); }, kHangs));
  }
  attack.ExpectOrdinaryCalls("beside the crowds", kAttacked, 0);
  attack.LeaveAll();
  attack.ExpectOrdinaryCallsAtAll("after the crowds");
  attack.Judge();
}

BOOST_AUTO_TEST_CASE(a_mixed_crowd_at_a_gateway_that_ends_and_starts_again) {
  Attack attack;
  AddMixedCrowds(attack);
  attack.Play(2);
  attack.world.machines.Signal(kAttacked, SIGTERM);
  BOOST_TEST(attack.Until([&] { return !attack.world.machines.Running(kAttacked); }, kHangs),
             "the process doesn't end");
  BOOST_TEST(attack.world.machines.exit_code(kAttacked) == 0);
  attack.world.machines.Start(kAttacked, false);
  attack.Play(2);
  attack.ExpectOrdinaryCalls("beside the crowds", kAttacked, 0);
  attack.LeaveAll();
  attack.ExpectOrdinaryCallsAtAll("after the crowds");
  attack.Judge({kAttacked});
}

}  // namespace
}  // namespace curlewdoor::systemkit
