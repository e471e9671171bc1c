// Calls, the merging of what is heard of hosts, the journal and its view, and the bytes of the link.
#include "service_registry/service_registry.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <numeric>
#include <random>
#include <sstream>
#include <variant>

#include "service_registry/by_service.hpp"
#include "service_registry/codec.hpp"
#include "service_registry/command.hpp"

using namespace curlewdoor::service_registry;
using namespace std::chrono_literals;

namespace {

const Time kStart = Time{} + 1000h;

Beat MakeBeat(const std::string& id, std::uint64_t sequence, bool draining = false,
              const std::string& address = "10.0.0.1:80", const std::string& service = "s") {
  Beat beat;
  beat.id = id;
  beat.service = service;
  beat.address = address;
  beat.zone = "z";
  beat.slots = 2;
  beat.draining = draining;
  beat.sequence = sequence;
  return beat;
}

Entry SilentAt(const std::string& id, std::uint64_t sequence, const std::string& address = "10.0.0.1:80") {
  Directory other;
  other.Apply(kStart, MakeBeat(id, sequence, false, address));
  other.Silence(kStart + 10s, 5s);
  return *other.Find(id);
}

// All that merging decides, times left out.
std::string Text(const Directory& directory) {
  auto all = directory.All();
  std::sort(all.begin(), all.end(), [](const Entry& a, const Entry& b) { return a.id < b.id; });
  std::ostringstream out;
  for (const Entry& e : all) {
    out << e.id << ' ' << e.service << ' ' << e.address << ' ' << e.slots << ' ' << static_cast<int>(e.state)
        << e.draining << e.left << e.silent << ' ' << e.sequence << ' ' << e.said_at << '\n';
  }
  return out.str();
}

std::string Text(const ByService& view) {
  std::ostringstream out;
  for (const auto& [service, entries] : view.all()) {
    out << service << ':';
    for (const Entry& e : entries) {
      out << ' ' << e.id << static_cast<int>(e.state) << e.silent << e.address;
    }
    out << '\n';
  }
  return out.str();
}

int StatusOf(const std::string& method, const std::string& path, const std::string& body,
             const std::string& field = "") {
  try {
    Decode(method, path, body);
    return 200;
  } catch (const CallError& error) {
    BOOST_TEST(error.text.find(field) != std::string::npos, error.text << " doesn't name " << field);
    return error.status;
  }
}

const std::string kBeatPath = "/v1/instances/i-7f3a91c2/heartbeat";
const std::string kBeatBody =
    R"({"address":"10.128.0.9:8080","details":{"service":"huvo11a","config_version":"v1",)"
    R"("zone":"muenchen-nord","capacity_slots":2},"status":{"oper_state":"ready","call_sequence":4,)"
    R"("warmup_left_ms":1500}})";

std::string With(std::string body, const std::string& from, const std::string& to) {
  const auto at = body.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return body.replace(at, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(a_beat_is_read) {
  const auto beat = std::get<Beat>(Decode("POST", kBeatPath, kBeatBody));
  BOOST_TEST(beat.id == "i-7f3a91c2");
  BOOST_TEST(beat.service == "huvo11a");
  BOOST_TEST(beat.address == "10.128.0.9:8080");
  BOOST_TEST(beat.zone == "muenchen-nord");
  BOOST_TEST(beat.version == "v1");
  BOOST_TEST(beat.slots == 2);
  BOOST_TEST(!beat.draining);
  BOOST_TEST(beat.sequence == 4u);
  BOOST_TEST(beat.warmup_left.count() == 1500);
}

BOOST_AUTO_TEST_CASE(what_may_be_missing) {
  const std::string body = R"({"x":[1,{"y":null}],"address":"1.2.3.4:5","details":{"service":"s","x":1},)"
                           R"("status":{"oper_state":"draining","call_sequence":0}} )";
  const auto beat = std::get<Beat>(Decode("POST", kBeatPath + "?a=b", body));
  BOOST_TEST(beat.draining);
  BOOST_TEST(beat.slots == 1);
  BOOST_TEST(beat.warmup_left.count() == 0);
  const auto huge = With(kBeatBody, ":1500", ":1e300");
  BOOST_TEST((std::get<Beat>(Decode("POST", kBeatPath, huge)).warmup_left == kMostWarmup));
}

BOOST_AUTO_TEST_CASE(other_calls) {
  BOOST_TEST(std::get<Leave>(Decode("POST", "/v1/instances/a/deregister", "")).id == "a");
  BOOST_TEST(std::get<Leave>(Decode("POST", "/v1/instances/a/deregister", "{}")).id == "a");
  BOOST_TEST(std::get<PutConfig>(Decode("POST", "/v1/config/replace", "text")).text == "text");
  BOOST_TEST(std::holds_alternative<ReadConfig>(Decode("GET", "/v1/config/read", "")));
  BOOST_TEST(StatusOf("GET", "/v1/config/replace", "") == 405);
  BOOST_TEST(StatusOf("POST", "/v1/config/read", "") == 405);
  BOOST_TEST(StatusOf("PUT", kBeatPath, kBeatBody) == 405);
  for (const char* path : {"", "/", "/v1/config", "/v1/config/read/", "/v1/instances/", "/v1/instances/a",
                           "/v1/instances/a/b/heartbeat", "/v1/instances/a/heartbeat/"}) {
    BOOST_TEST(StatusOf("POST", path, kBeatBody) == 404, path);
  }
}

BOOST_AUTO_TEST_CASE(fields_that_are_wrong_are_named) {
  const auto wrong = [](const std::string& from, const std::string& to, const std::string& field) {
    BOOST_TEST(StatusOf("POST", kBeatPath, With(kBeatBody, from, to), field) == 400, to);
  };
  wrong(R"("address":"10.128.0.9:8080",)", "", "address");
  wrong("10.128.0.9:8080", "10.128.0.9", "address");
  wrong("10.128.0.9:8080", "10.128.0.9:0", "address");
  wrong("10.128.0.9:8080", "10.128.0.9:70000", "address");
  wrong("10.128.0.9:8080", "host:80", "address");
  wrong(R"("service":"huvo11a",)", "", "details.service");
  wrong(R"("huvo11a")", R"("")", "details.service");
  wrong(R"("huvo11a")", "7", "details.service");
  wrong(R"("huvo11a")", R"("a\nb")", "details.service");
  wrong("huvo11a", std::string(kMostName + 1, 'a'), "details.service");
  wrong(R"("muenchen-nord")", "null", "details.zone");
  wrong(R"("v1")", "{}", "details.config_version");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":"2")", "details.capacity_slots");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":-2)", "details.capacity_slots");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":2.5)", "details.capacity_slots");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":1e9)", "details.capacity_slots");
  wrong("ready", "gone", "status.oper_state");
  wrong(R"("oper_state":"ready",)", "", "status.oper_state");
  wrong(R"("call_sequence":4,)", "", "status.call_sequence");
  wrong(R"("call_sequence":4)", R"("call_sequence":-1)", "status.call_sequence");
  wrong(R"("call_sequence":4)", R"("call_sequence":1e17)", "status.call_sequence");
  wrong(R"("call_sequence":4)", R"("call_sequence":1e999)", "status.call_sequence");
  wrong(":1500", ":-1", "status.warmup_left_ms");
  wrong(":1500", ":true", "status.warmup_left_ms");
  wrong(R"("status":{)", R"("status":[],"x":{)", "status");
  wrong(R"("details":{)", R"("other":{)", "details");
  BOOST_TEST(StatusOf("POST", "/v1/instances//heartbeat", kBeatBody, "instance_id") == 400);
  BOOST_TEST(StatusOf("POST", "/v1/instances/a%0d/heartbeat", kBeatBody, "instance_id") == 400);
  BOOST_TEST(StatusOf("POST", "/v1/instances/a\r\n/heartbeat", kBeatBody, "instance_id") == 400);
  const std::string longest(kMostName + 1, 'i');
  BOOST_TEST(StatusOf("POST", "/v1/instances/" + longest + "/heartbeat", kBeatBody, "instance_id") == 400);
}

BOOST_AUTO_TEST_CASE(bodies_that_are_no_beat) {
  for (std::size_t size = 0; size < kBeatBody.size(); ++size) {
    BOOST_TEST(StatusOf("POST", kBeatPath, kBeatBody.substr(0, size)) == 400, size);
  }
  BOOST_TEST(StatusOf("POST", kBeatPath, kBeatBody + "}") == 400);
  BOOST_TEST(StatusOf("POST", kBeatPath, std::string(1, '\0') + kBeatBody) == 400);
  for (const char* body : {"[]", "null", "1", "\"a\"", "{", "\xff\xfe"}) {
    BOOST_TEST(StatusOf("POST", kBeatPath, body) == 400, body);
  }
  const auto padded = [](std::size_t size) { return kBeatBody + std::string(size - kBeatBody.size(), ' '); };
  BOOST_TEST(StatusOf("POST", kBeatPath, padded(kMostBeat)) == 200);
  BOOST_TEST(StatusOf("POST", kBeatPath, padded(kMostBeat + 1)) == 413);
  BOOST_TEST(StatusOf("POST", kBeatPath, padded(1024 * 1024)) == 413);
  BOOST_TEST(StatusOf("POST", "/v1/instances/a/deregister", std::string(1024 * 1024, 'a')) == 413);
}

BOOST_AUTO_TEST_CASE(nesting) {
  const auto nested = [](int depth) {
    return With(kBeatBody, R"({"address")",
                R"({"x":)" + std::string(depth, '[') + std::string(depth, ']') + R"(,"address")");
  };
  BOOST_TEST(StatusOf("POST", kBeatPath, nested(kMostDepth - 1)) == 200);
  BOOST_TEST(StatusOf("POST", kBeatPath, nested(kMostDepth)) == 400);
  BOOST_TEST(StatusOf("POST", kBeatPath, nested(8000)) == 400);
  BOOST_TEST(StatusOf("POST", kBeatPath, std::string(10'000, '[')) == 400);
  BOOST_TEST(StatusOf("POST", kBeatPath, std::string(10'000, '[') + std::string(10'000, ']')) == 413);
  const auto quoted =
      With(kBeatBody, R"({"address")", R"({"x":"\")" + std::string(50, '[') + R"(","address")");
  BOOST_TEST(StatusOf("POST", kBeatPath, quoted) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(merging)

// Whatever the order, and with each heard twice, all end with the same view; the folded one agrees.
BOOST_AUTO_TEST_CASE(all_orders_give_the_same) {
  using Step = std::function<void(Directory&, Time)>;
  const auto beat = [](const std::string& id, std::uint64_t sequence, bool draining, const char* address) {
    return Step([=](Directory& d, Time now) { d.Apply(now, MakeBeat(id, sequence, draining, address)); });
  };
  const auto silence = [](const std::string& id, std::uint64_t sequence) {
    return Step([=](Directory& d, Time now) { d.Merge(now, SilentAt(id, sequence)); });
  };
  const auto leave = [](const std::string& id) {
    return Step([=](Directory& d, Time now) { d.Apply(now, Leave{id}); });
  };
  const std::vector<std::vector<Step>> sets = {
      {beat("a", 1, false, "10.0.0.1:80"), beat("a", 2, true, "10.0.0.1:80"),
       beat("a", 2, false, "10.0.0.1:80"), silence("a", 1), silence("a", 2)},
      {beat("a", 1, false, "10.0.0.1:80"), beat("a", 3, false, "10.0.0.1:80"), silence("a", 2),
       silence("a", 1), beat("a", 2, true, "10.0.0.1:80")},
      {beat("a", 1, false, "10.0.0.1:80"), leave("a"), beat("a", 3, false, "10.0.0.1:80"), silence("a", 2),
       beat("a", 2, true, "10.0.0.1:80")},
      {beat("a", 5, false, "10.0.0.1:80"), beat("a", 5, false, "10.0.0.9:80"),
       beat("a", 0, true, "10.0.0.3:80"), silence("a", 5), leave("b")},
      {beat("a", 1, true, "10.0.0.1:80"), beat("b", 1, false, "10.0.0.2:80"), leave("b"), silence("a", 1),
       beat("a", 4, false, "10.0.0.1:80"), beat("b", 2, true, "10.0.0.2:80")},
  };
  for (std::size_t s = 0; s < sets.size(); ++s) {
    std::vector<int> order(sets[s].size());
    std::iota(order.begin(), order.end(), 0);
    std::string first;
    do {
      Directory directory;
      ByService folded, late;
      for (int i : order) {
        sets[s][i](directory, kStart);
        folded.Fold(directory);
      }
      const std::string once = Text(directory);
      if (first.empty()) first = once;
      BOOST_REQUIRE_MESSAGE(once == first, "set " << s << ":\n" << once << "instead of\n" << first);
      late.Fold(directory);
      BOOST_REQUIRE_EQUAL(Text(folded), Text(late));
      const auto version = directory.version();
      for (int i : order) sets[s][i](directory, kStart);
      BOOST_REQUIRE_EQUAL(Text(directory), first);
      BOOST_REQUIRE_EQUAL(directory.version(), version);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

// Two that heard different things and then tell each other everything.
BOOST_AUTO_TEST_CASE(two_sides_come_together) {
  std::mt19937 random(7);
  for (int round = 0; round < 2000; ++round) {
    Directory sides[2];
    for (int step = 0; step < 12; ++step) {
      Directory& side = sides[random() % 2];
      const std::string id(1, static_cast<char>('a' + random() % 3));
      const std::string address = "10.0.0." + std::to_string(id[0] - 'a' + 1) + ":80";
      const std::uint64_t sequence = random() % 6;
      switch (random() % 6) {
        case 0:
          if (random() % 3 == 0) side.Apply(kStart, Leave{id});
          break;
        case 1:
          side.Merge(kStart, SilentAt(id, sequence, address));
          break;
        case 2:
          side.Refresh(kStart, id, sequence);
          break;
        default:
          side.Apply(kStart, MakeBeat(id, sequence, random() % 4 == 0, address));
      }
    }
    const auto left = sides[0].All(), right = sides[1].All();
    for (const Entry& entry : right) sides[0].Merge(kStart, entry);
    for (const Entry& entry : left) sides[1].Merge(kStart, entry);
    BOOST_REQUIRE_EQUAL(Text(sides[0]), Text(sides[1]));
  }
}

BOOST_AUTO_TEST_CASE(what_others_must_know) {
  Directory directory;
  BOOST_TEST(directory.Apply(kStart, MakeBeat("a", 1)));
  BOOST_TEST(!directory.Apply(kStart, MakeBeat("a", 1)));
  BOOST_TEST(!directory.Apply(kStart + 1s, MakeBeat("a", 2)));
  BOOST_TEST((directory.Find("a")->heard == kStart + 1s));
  BOOST_TEST(directory.version() == 1u);
  BOOST_TEST(directory.Apply(kStart, MakeBeat("a", 3, true)));
  BOOST_TEST(!directory.Apply(kStart, MakeBeat("a", 2)));  // late
  BOOST_TEST(!directory.Apply(kStart, MakeBeat("a", 3)));
  BOOST_TEST((directory.Find("a")->state == HostState::kDraining));
  BOOST_TEST(directory.Apply(kStart, MakeBeat("a", 4)));  // it says so
  BOOST_TEST((directory.Find("a")->state == HostState::kReady));
  BOOST_TEST(directory.Apply(kStart, MakeBeat("a", 5, false, "10.0.0.2:80")));
  BOOST_TEST(directory.Apply(kStart, MakeBeat("a", 6, false, "10.0.0.2:80", "t")));
  BOOST_TEST(directory.Apply(kStart, Leave{"a"}));
  BOOST_TEST(!directory.Apply(kStart, Leave{"a"}));
  BOOST_TEST(!directory.Apply(kStart, MakeBeat("a", 99)));
  BOOST_TEST(directory.Find("a")->gone());
  int listed = 0;
  directory.ForEachOf("s", [&](const Entry&) { ++listed; });
  BOOST_TEST(listed == 0);
}

BOOST_AUTO_TEST_CASE(gone_without_a_word_is_forgotten_after_a_while) {
  Directory directory;
  directory.Apply(kStart, MakeBeat("a", 7));
  directory.Silence(kStart + 5s, 5s);
  directory.Forget(kStart + 5s + kKeepSilent);
  BOOST_REQUIRE(directory.Find("a")->gone());
  const Time gone = kStart + 5s + kKeepSilent;
  directory.Forget(gone + 59s);
  BOOST_REQUIRE(directory.Find("a"));
  Entry told = *directory.Find("a");
  directory.Forget(gone + 60s);
  BOOST_TEST(!directory.Find("a"));
  BOOST_TEST(!directory.Merge(gone + 61s, told));  // another one still lists it
  BOOST_TEST(!directory.Find("a"));
}

// The issue's case: a process that stood still while a host left and was forgotten brings it back.
BOOST_AUTO_TEST_CASE(a_leave_is_kept_until_every_claim_is_too_old) {
  Directory directory, returner;
  directory.Apply(kStart, MakeBeat("a", 7));
  returner.Merge(kStart, *directory.Find("a"));
  directory.Apply(kStart, Leave{"a"});
  directory.Apply(kStart, Leave{"unheard"});  // before any of its beats
  BOOST_TEST(!directory.Apply(kStart + 59s, MakeBeat("unheard", 7, false, "10.0.0.5:80")));
  const Entry claim = *returner.Find("a");
  for (const auto later : {75s, 600s}) {  // however long: time alone forgets nothing
    directory.Forget(kStart + later);
    BOOST_TEST(!directory.Merge(kStart + later, claim));
    BOOST_TEST(directory.Find("a")->left);
    BOOST_TEST(directory.Find("unheard")->left);
  }
  directory.ConfirmLeaves(kStart + kMostCallDelay - 1s);
  BOOST_TEST(directory.Find("a")->leave_watermark == 0U);  // a beat may be under way still
  directory.Raise(3);
  directory.ConfirmLeaves(kStart + kMostCallDelay);
  BOOST_TEST(directory.Find("a")->leave_watermark == 3U);
  directory.Raise(3 + kForgetPeriods - 1);
  directory.Forget(kStart + 700s);
  BOOST_TEST(directory.Find("a"));
  const Entry kept = *directory.Find("a");
  directory.Raise(3 + kForgetPeriods);
  directory.Forget(kStart + 700s);
  BOOST_TEST(!directory.Find("a"));
  Entry latest = claim;
  latest.stamp = 3 + 1;  // the highest that a claim can bear
  for (const Entry& old : {claim, latest}) {
    BOOST_TEST(!directory.Merge(kStart + 701s, old));
    BOOST_TEST(!directory.Find("a"));
  }
  BOOST_TEST(!directory.Merge(kStart + 701s, kept));  // nor does the leave come round for ever
  BOOST_TEST(!directory.Find("a"));
  latest.stamp = 3 + kForgetPeriods - kValidPeriods;  // read since
  latest.id = "b";
  BOOST_TEST(directory.Merge(kStart + 701s, latest));
}

// What the returner itself lists goes as soon as it hears how far the watermark has come.
BOOST_AUTO_TEST_CASE(entries_that_no_beat_was_heard_of_for_long_are_dropped) {
  Directory directory;
  ByService view;
  directory.Apply(kStart, MakeBeat("old", 1));
  directory.Apply(kStart, MakeBeat("beats", 1, false, "10.0.0.2:80"));
  directory.Apply(kStart, MakeBeat("draining", 1, true, "10.0.0.3:80"));
  directory.Apply(kStart, Leave{"left"});
  view.Fold(directory);
  directory.Raise(1 + kValidPeriods);
  BOOST_TEST(directory.size() == 4U);
  directory.Apply(kStart, MakeBeat("beats", 2, false, "10.0.0.2:80"));
  BOOST_TEST(directory.Find("beats")->stamp == 1 + kValidPeriods);
  directory.Raise(2 + kValidPeriods);
  BOOST_TEST(!directory.Find("old"));
  BOOST_TEST(directory.Find("beats"));
  BOOST_TEST(directory.Find("draining"));
  BOOST_TEST(directory.Find("left"));
  view.Fold(directory);
  BOOST_TEST(view.Of("s").size() == 2U);
  directory.Raise(1);  // it only rises
  BOOST_TEST(directory.watermark() == 2 + kValidPeriods);
}

// A gateway hears of no beat that says nothing new; its list is proved again and again.
BOOST_AUTO_TEST_CASE(entries_of_a_proved_list_are_as_good_as_heard) {
  Directory directory;
  directory.Apply(kStart, MakeBeat("a", 1));
  directory.Raise(1 + kValidPeriods);
  directory.ConfirmHosts(1 + kValidPeriods);
  BOOST_TEST(directory.All().at(0).stamp == 1 + kValidPeriods);
  directory.Raise(1 + 2 * kValidPeriods);
  BOOST_TEST(directory.Find("a"));
  directory.ConfirmHosts(1000);  // beyond what is known here: no more than that
  BOOST_TEST(directory.All().at(0).stamp == 1 + 2 * kValidPeriods);
  directory.Raise(2 + 3 * kValidPeriods);
  BOOST_TEST(!directory.Find("a"));
}

BOOST_AUTO_TEST_CASE(a_draining_host_that_falls_silent_is_forgotten_like_one_that_left) {
  Directory directory;
  directory.Apply(kStart, MakeBeat("a", 1, true));
  directory.Silence(kStart + 6s, 5s);
  directory.Forget(kStart + 6s + kKeepSilent);
  BOOST_REQUIRE(directory.Find("a")->gone());
  directory.Forget(kStart + 900s);
  BOOST_TEST(directory.Find("a"));
  directory.ConfirmLeaves(kStart + 900s);
  directory.Raise(1 + kForgetPeriods);
  directory.Forget(kStart + 901s);
  BOOST_TEST(!directory.Find("a"));
}

BOOST_AUTO_TEST_CASE(silence) {
  Directory directory;
  directory.Apply(kStart, MakeBeat("a", 1));
  directory.Apply(kStart + 3s, MakeBeat("b", 1, false, "10.0.0.2:80"));
  BOOST_TEST(directory.Silence(kStart + 4s, 5s).empty());
  const auto fallen = directory.Silence(kStart + 5s, 5s);
  BOOST_REQUIRE_EQUAL(fallen.size(), 1u);
  BOOST_TEST(fallen[0].id == "a");
  BOOST_TEST(fallen[0].silent);
  BOOST_TEST(directory.Silence(kStart + 5s, 5s).empty());
  BOOST_TEST(!directory.Apply(kStart + 6s, MakeBeat("a", 1)));  // repeated
  BOOST_TEST(directory.Find("a")->silent);
  BOOST_TEST(directory.Apply(kStart + 6s, MakeBeat("a", 2)));
  BOOST_TEST(!directory.Find("a")->silent);
  BOOST_TEST(!directory.Merge(kStart + 6s, fallen[0]));  // told late
  BOOST_TEST(!directory.Find("a")->silent);
  directory.Silence(kStart + 20s, 5s);
  BOOST_TEST((directory.Refresh(kStart + 21s, "a", 3) == Directory::Refreshed::kChanged));
  BOOST_TEST((directory.Refresh(kStart + 21s, "a", 4) == Directory::Refreshed::kSame));
  BOOST_TEST((directory.Refresh(kStart + 21s, "c", 4) == Directory::Refreshed::kUnknown));
  directory.Forget(kStart + 139s);
  BOOST_TEST(!directory.Find("b")->gone());
  directory.Forget(kStart + 140s);
  BOOST_TEST(directory.Find("b")->gone());
  BOOST_TEST(directory.Apply(kStart + 150s, MakeBeat("b", 2, false, "10.0.0.2:80")));  // it was cut off only
  BOOST_TEST(!directory.Find("b")->gone());
}

// Who refreshes knew of the draining; this one hears of it later.
BOOST_AUTO_TEST_CASE(a_refresh_does_not_overtake_what_was_said) {
  Directory directory;
  directory.Apply(kStart, MakeBeat("a", 4));
  directory.Refresh(kStart, "a", 6);
  BOOST_TEST(directory.Apply(kStart, MakeBeat("a", 5, true)));
  BOOST_TEST((directory.Find("a")->state == HostState::kDraining));
  BOOST_TEST(directory.Find("a")->sequence == 6u);
}

BOOST_AUTO_TEST_CASE(an_address_goes_to_another_service) {
  Directory directory;
  ByService view;
  directory.Apply(kStart, MakeBeat("a", 9));
  view.Fold(directory);
  BOOST_TEST(view.Of("s").size() == 1u);
  BOOST_TEST(directory.Apply(kStart + 5s, MakeBeat("b", 1, false, "10.0.0.1:80", "t")));
  BOOST_TEST(directory.Find("a")->gone());
  BOOST_TEST(directory.At("10.0.0.1:80")->id == "b");
  view.Fold(directory);
  BOOST_TEST(view.Of("s").empty());
  BOOST_TEST(view.Of("t").size() == 1u);
  BOOST_TEST(!directory.Apply(kStart + 6s, MakeBeat("a", 9)));  // late
  BOOST_TEST(!directory.Apply(kStart + 6s, MakeBeat("a", 8)));
  BOOST_TEST(directory.Find("a")->gone());
  // A told life that is silent takes nothing over.
  BOOST_TEST(directory.Merge(kStart + 7s, SilentAt("c", 3)));
  BOOST_TEST(directory.Find("c")->gone());
  BOOST_TEST(directory.At("10.0.0.1:80")->id == "b");
  // One that was told out of order does, until the next beat of who is really there.
  Directory old;
  old.Apply(kStart, MakeBeat("d", 3));
  BOOST_TEST(directory.Merge(kStart + 7s, *old.Find("d")));
  BOOST_TEST(directory.Find("b")->gone());
  BOOST_TEST(directory.Apply(kStart + 8s, MakeBeat("b", 2, false, "10.0.0.1:80", "t")));
  BOOST_TEST(directory.At("10.0.0.1:80")->id == "b");
  BOOST_TEST(directory.Find("d")->gone());
}

BOOST_AUTO_TEST_CASE(warm_up) {
  Directory directory;
  Beat beat = MakeBeat("a", 1);
  beat.warmup_left = 3s;
  directory.Apply(kStart, beat);
  BOOST_TEST((directory.Find("a")->warm_at == kStart + 3s));
  beat.warmup_left = 9s;  // late
  beat.sequence = 0;
  directory.Apply(kStart + 1s, beat);
  BOOST_TEST((directory.Find("a")->warm_at == kStart + 3s));
}

BOOST_AUTO_TEST_CASE(bounds) {
  Directory directory;
  ByService view;
  const auto nth = [](std::size_t i) {
    return MakeBeat("i" + std::to_string(i), 1, false,
                    "10." + std::to_string(i / 60000) + ".0.1:" + std::to_string(1 + i % 60000));
  };
  for (std::size_t i = 0; i < kMostEntries; ++i) directory.Apply(kStart + 1s * i, nth(i));
  BOOST_TEST(directory.size() == kMostEntries);
  BOOST_TEST(!directory.Apply(kStart, nth(kMostEntries)));
  BOOST_TEST(!directory.Apply(kStart, Leave{"x"}));
  BOOST_TEST(directory.refused() == 2u);
  view.Fold(directory);  // the journal no longer has it all
  BOOST_TEST(view.Of("s").size() == kMostEntries);

  const Time later = kStart + 1s * kMostEntries;
  directory.Silence(later, 1s * (kMostEntries - 3));  // the first four
  directory.Apply(later, Leave{"i7"});
  const auto first_four = [&] {
    int known = 0;
    for (const char* id : {"i0", "i1", "i2", "i3"}) known += directory.Find(id) != nullptr ? 1 : 0;
    return known;
  };
  BOOST_TEST(!directory.Apply(later, Leave{"x"}));  // doesn't push out what may come back
  BOOST_TEST(directory.Apply(later, nth(kMostEntries)));
  BOOST_TEST(directory.Apply(later, nth(kMostEntries + 1)));
  BOOST_TEST(first_four() == 2);          // ready ones push out silent ones
  directory.Forget(later + kKeepSilent);  // the other two are gone without a word
  BOOST_TEST(directory.Apply(later, Leave{"y"}));
  BOOST_TEST(first_four() == 1);
  BOOST_TEST(directory.Apply(later, nth(kMostEntries + 2)));
  BOOST_TEST(first_four() == 0);
  BOOST_TEST(!directory.Apply(later, nth(kMostEntries + 3)));
  BOOST_TEST(!directory.Apply(later, Leave{"x"}));
  BOOST_TEST(directory.Find("i7")->left);  // no leave is pushed out: it would come back
  BOOST_TEST(directory.Find("y")->left);
  BOOST_TEST(directory.size() == kMostEntries);
  view.Fold(directory);
  ByService fresh;
  fresh.Fold(directory);
  BOOST_TEST((Text(view) == Text(fresh)));
}

BOOST_AUTO_TEST_CASE(journal) {
  Journal<int> journal(3);
  BOOST_TEST(journal.Since(0)->empty());
  BOOST_TEST(!journal.Since(1));
  for (int i = 1; i <= 5; ++i) BOOST_TEST(journal.Append(i) == static_cast<std::uint64_t>(i));
  BOOST_TEST(!journal.Since(1));
  BOOST_TEST(journal.Since(2)->size() == 3u);
  BOOST_TEST(journal.Since(2)->front() == 3);
  BOOST_TEST(journal.Since(5)->empty());
  BOOST_TEST(!journal.Since(6));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(codec)

namespace {

void Sample(Directory& directory) {
  directory.Raise(5);
  Beat beat = MakeBeat("a", 700, false, "10.0.0.1:8080");
  beat.warmup_left = 2500ms;
  directory.Apply(kStart, beat);
  directory.Apply(kStart, MakeBeat("b", 3, true, "10.0.0.2:8080", "t"));
  directory.Apply(kStart, MakeBeat("c", kMostSequence, false, "10.0.0.3:8080"));
  directory.Merge(kStart, SilentAt("d", 5));
  directory.Apply(kStart, Leave{"c"});
  directory.Apply(kStart, Leave{"e"});
  directory.Refresh(kStart, "b", 8);
  directory.ConfirmLeaves(kStart + 1h);
}

}  // namespace

BOOST_AUTO_TEST_CASE(round_trip) {
  Directory directory;
  Sample(directory);
  const Time there = Time{} + 7h;  // another machine's clock
  const auto entries = Decode(Encode(directory.All(), kStart + 1s), there);
  BOOST_REQUIRE(entries);
  Directory copy;
  for (const Entry& entry : *entries) BOOST_TEST(copy.Merge(there, entry));
  BOOST_TEST(Text(copy) == Text(directory));
  BOOST_TEST(copy.Find("a")->stamp == 5U);
  BOOST_TEST(copy.Find("e")->leave_watermark == 5U);
  BOOST_TEST(copy.Find("c")->leave_watermark == 5U);
  BOOST_TEST((copy.Find("a")->warm_at == there + 1500ms));
  BOOST_TEST((copy.Find("a")->heard == there));
  BOOST_TEST((copy.Find("e")->since == there - 1s));
  BOOST_TEST(Decode(Encode({}, kStart), kStart)->empty());
}

BOOST_AUTO_TEST_CASE(the_largest_batch) {
  std::vector<Entry> entries(kMostEntries + 1);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    Entry& entry = entries[i];
    entry.id = std::to_string(i);
    entry.id.resize(kMostName, 'i');
    entry.service = entry.zone = std::string(kMostName, 's');
    entry.address = "255.255.255.255:65535";
    entry.slots = kMostSlots;
    entry.sequence = entry.said_at = kMostSequence;
    entry.warm_at = kStart + 24h;
  }
  const std::string bytes = Encode(entries, kStart);
  BOOST_TEST(bytes.size() <= kMostBatch);
  const auto decoded = Decode(bytes, kStart);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->size() == kMostEntries);
}

BOOST_AUTO_TEST_CASE(cut_or_foreign) {
  Directory directory;
  Sample(directory);
  const std::string bytes = Encode(directory.All(), kStart);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!Decode(std::string_view(bytes).substr(0, size), kStart), size);
  }
  BOOST_TEST(!Decode(bytes + "x", kStart));
  BOOST_TEST(!Decode(std::string(kMostBatch + 1, '\x91'), kStart));
  BOOST_TEST(!Decode(std::string(1024 * 1024, '\x91'), kStart));  // arrays within arrays
  using namespace std::string_literals;
  for (const std::string& foreign :
       {"\xdd\xff\xff\xff\xff"s, "\x92\x01\xdd\xff\xff\xff\xff"s, "\x92\x01\xdb\xff\xff\xff\xff"s,
        "\x92\x02\x90"s, "\x92\x01\xc0"s, "\x81\x01\x90"s, "\xc1"s, "GET / HTTP/1.1\r\n\r\n"s,
        "\x92\x01\x91\x90"s, "\x92\xa1\x31\x90"s}) {
    BOOST_TEST(!Decode(foreign, kStart));
  }
  // Changed bytes: nothing thrown, and what is taken keeps the bounds.
  std::mt19937 random(3);
  for (int i = 0; i < 50'000; ++i) {
    std::string changed = bytes;
    for (int k = 0; k < 3; ++k) changed[random() % changed.size()] = static_cast<char>(random());
    const auto entries = Decode(changed, kStart);
    if (!entries) continue;
    for (const Entry& entry : *entries) {
      BOOST_REQUIRE(!entry.id.empty());
      BOOST_REQUIRE(entry.said_at <= entry.sequence && entry.sequence <= kMostSequence);
      BOOST_REQUIRE(entry.slots >= 0 && entry.slots <= kMostSlots);
      BOOST_REQUIRE(!entry.silent || !entry.gone());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
