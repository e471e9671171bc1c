// Calls of applications and their answers over HTTP, by the wire page's text, and what is refused.
#include "system/coordination_http.hpp"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace curlewdoor::system {
namespace {

using namespace coordination;
using End = CoordinationCalls::End;

Call Decoded(std::string_view method, std::string_view target, std::string_view body = {}) {
  const auto call = DecodeCoordinationCall(method, target, body);
  BOOST_REQUIRE(call.has_value());
  return *call;
}

struct Refused {
  int status = 0;
  std::string text;
};
Refused RefusalOf(std::string_view method, std::string_view target, std::string_view body = {}) {
  try {
    DecodeCoordinationCall(method, target, body);
  } catch (const service_registry::CallError& error) {
    return {error.status, error.text};
  }
  return {};
}

void CheckRefused(int status, const std::string& text, std::string_view method, std::string_view target,
                  std::string_view body = {}) {
  BOOST_TEST_CONTEXT(method << " " << target << " " << body) {
    const Refused refused = RefusalOf(method, target, body);
    BOOST_TEST(refused.status == status);
    BOOST_TEST(refused.text == text);
  }
}

HttpAnswer Encoded(Reply reply) { return EncodeAnswer({End::kReply, std::move(reply)}); }
HttpAnswer EncodedResult(CommandResult result) { return Encoded(Reply(std::move(result))); }

void CheckAnswer(const HttpAnswer& answer, int status, const std::string& body) {
  BOOST_TEST(answer.status == status);
  // What cJSON prints ends with a line's end.
  const bool line = answer.body.ends_with('\n');
  BOOST_TEST((line ? answer.body.substr(0, answer.body.size() - 1) : answer.body) == body);
}

// ---- Calls ------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(locks_by_the_page) {
  BOOST_TEST((Decoded("POST", "/v1/locks/l1f/begin", R"({"holder":"a3.7","hold_ms":3000})") ==
              Call(AcquireLock{"l1f", "a3.7", 3000})));
  BOOST_TEST((Decoded("POST", "/v1/locks/l1f/heartbeat", R"({"holder":"a3.7","fence":41,"hold_ms":3000})") ==
              Call(RenewLock{"l1f", "a3.7", 41, 3000})));
  BOOST_TEST((Decoded("POST", "/v1/locks/l1f/finish", R"({"holder":"a3.7","fence":41})") ==
              Call(ReleaseLock{"l1f", "a3.7", 41})));
}

BOOST_AUTO_TEST_CASE(numbers_by_the_page) {
  BOOST_TEST((Decoded("POST", "/v1/numbers/n2", "{}") == Call(TakeNumber{"n2"})));
  BOOST_TEST((Decoded("POST", "/v1/numbers/n2") == Call(TakeNumber{"n2"})));
}

BOOST_AUTO_TEST_CASE(keys_by_the_page) {
  const std::string path = "/v1/cells/g1.2d/replace";
  BOOST_TEST((Decoded("POST", path, R"({"value":"5c0e7a21d94b36f8","enabled":907})") ==
              Call(PutKey{"g1.2d", "5c0e7a21d94b36f8", 907})));
  // 0: the key must not be there. Missing: whatever it has.
  BOOST_TEST((Decoded("POST", path, R"({"value":"x","enabled":0})") == Call(PutKey{"g1.2d", "x", 0})));
  BOOST_TEST((Decoded("POST", path, R"({"value":"x"})") == Call(PutKey{"g1.2d", "x", std::nullopt})));
  BOOST_TEST((Decoded("GET", "/v1/cells/g1.2d/read") == Call(ReadKey{"g1.2d"})));
}

BOOST_AUTO_TEST_CASE(watches_by_the_page) {
  BOOST_TEST((Decoded("GET", "/v1/watch/g1.?after=930&wait_ms=2000") == Call(WatchGroup{"g1.", 930, 2000})));
  BOOST_TEST((Decoded("GET", "/v1/watch/g1.?wait_ms=2000&after=930") == Call(WatchGroup{"g1.", 930, 2000})));
  BOOST_TEST((Decoded("GET", "/v1/watch/g1.?after=930") == Call(WatchGroup{"g1.", 930, 0})));
  BOOST_TEST((Decoded("GET", "/v1/watch/g1.?afterwards=3&after=4&x") == Call(WatchGroup{"g1.", 4, 0})));
  BOOST_TEST((Decoded("GET", "/v1/watch/g1.") == Call(WatchGroup{"g1.", 0, 0})));
  BOOST_TEST((Decoded("GET", "/v1/watch/g1.?") == Call(WatchGroup{"g1.", 0, 0})));
  // At most a minute, however long is asked for.
  BOOST_TEST(
      (Decoded("GET", "/v1/watch/g1.?after=1&wait_ms=4294967297") == Call(WatchGroup{"g1.", 1, 60'000})));
}

BOOST_AUTO_TEST_CASE(other_paths_are_left_to_others) {
  for (const char* path : {"/", "/v1/locks", "/v1/lock/a/begin", "/v1/watches/g.", "/v1/hosts/h/heartbeat",
                           "/V1/locks/a/begin", "/v1/config/replace"})
    BOOST_TEST(!DecodeCoordinationCall("POST", path, "{}").has_value(), path);
}

BOOST_AUTO_TEST_CASE(unknown_verbs_are_404_and_other_methods_405) {
  for (const char* path : {"/v1/locks/a", "/v1/locks/a/", "/v1/locks/a/take", "/v1/locks/a/beginning",
                           "/v1/cells/g.a", "/v1/cells/g.a/put", "/v1/cells/g.a/"})
    CheckRefused(404, "path: no such call", "POST", path, "{}");
  for (const char* path : {"/v1/locks/a/begin", "/v1/locks/a/heartbeat", "/v1/locks/a/finish",
                           "/v1/numbers/n", "/v1/cells/g.a/replace"})
    for (const char* method : {"GET", "PUT", "DELETE"})
      CheckRefused(405, "method: not POST", method, path, "{}");
  for (const char* path : {"/v1/cells/g.a/read", "/v1/watch/g."})
    CheckRefused(405, "method: not GET", "POST", path, "{}");
}

BOOST_AUTO_TEST_CASE(errors_name_the_field) {
  const struct {
    const char *path, *body, *text;
  } cases[] = {
      {"/v1/locks/a/begin", R"({"hold_ms":1})", "holder: missing"},
      {"/v1/locks/a/begin", R"({"holder":"","hold_ms":1})", "holder: empty"},
      {"/v1/locks/a/begin", R"({"holder":7,"hold_ms":1})", "holder: not a string"},
      {"/v1/locks/a/begin", R"({"holder":"h"})", "hold_ms: missing"},
      {"/v1/locks/a/begin", R"({"holder":"h","hold_ms":"1"})", "hold_ms: not a number"},
      {"/v1/locks/a/begin", R"({"holder":"h","hold_ms":-1})", "hold_ms: negative"},
      {"/v1/locks/a/begin", R"({"holder":"h","hold_ms":1.5})", "hold_ms: not a whole number"},
      {"/v1/locks/a/begin", R"({"holder":"h","hold_ms":86400001})", "hold_ms: too large"},
      {"/v1/locks/a/heartbeat", R"({"holder":"h","hold_ms":1})", "fence: missing"},
      {"/v1/locks/a/heartbeat", R"({"holder":"h","fence":1})", "hold_ms: missing"},
      {"/v1/locks/a/heartbeat", R"({"holder":"h","fence":9007199254740993,"hold_ms":1})", "fence: too large"},
      {"/v1/locks/a/finish", R"({"holder":"h","fence":9007199254740993})", "fence: too large"},
      {"/v1/locks/a/finish", R"({"holder":"h","fence":1e999})", "fence: too large"},
      {"/v1/cells/g.a/replace", R"({"enabled":1})", "value: missing"},
      {"/v1/cells/g.a/replace", R"({"value":"v","enabled":null})", "enabled: not a number"},
      {"/v1/cells/g.a/replace", R"({"value":"v","enabled":-1})", "enabled: negative"},
      {"/v1/cells/g.a/replace", R"({"value":"v","enabled":9007199254740993})", "enabled: too large"},
      {"/v1/cells/g.a/replace", "", "body: not JSON"},
      {"/v1/cells/g.a/replace", "[]", "body: not an object"},
      {"/v1/cells/g.a/replace", "{} {}", "body: more than one value"},
  };
  for (const auto& each : cases) CheckRefused(400, each.text, "POST", each.path, each.body);
}

BOOST_AUTO_TEST_CASE(the_largest_numbers_are_read_exactly) {
  BOOST_TEST((Decoded("POST", "/v1/locks/a/finish", R"({"holder":"h","fence":9007199254740991})") ==
              Call(ReleaseLock{"a", "h", 9'007'199'254'740'991u})));
  BOOST_TEST((Decoded("POST", "/v1/cells/g.a/replace", R"({"value":"v","enabled":9007199254740991})") ==
              Call(PutKey{"g.a", "v", 9'007'199'254'740'991u})));
}

BOOST_AUTO_TEST_CASE(the_query_is_refused_by_name) {
  for (const char* text : {"", "x", "-1", "1.5", "+1", "1x", "%31", "18446744073709551616"}) {
    CheckRefused(400, "after: not a whole number", "GET", std::string("/v1/watch/g.?after=") + text);
    CheckRefused(400, "wait_ms: not a whole number", "GET", std::string("/v1/watch/g.?wait_ms=") + text);
  }
  // A JSON number beyond could be another one's.
  CheckRefused(400, "after: too large", "GET", "/v1/watch/g.?after=9007199254740992");
  BOOST_TEST((Decoded("GET", "/v1/watch/g.?after=9007199254740991") ==
              Call(WatchGroup{"g.", 9'007'199'254'740'991u, 0})));
}

BOOST_AUTO_TEST_CASE(names_have_their_bounds) {
  const std::string longest(kMaxNameBytes, 'n'), longer(kMaxNameBytes + 1, 'n');
  BOOST_TEST((Decoded("POST", "/v1/numbers/" + longest) == Call(TakeNumber{longest})));
  const std::string body = R"({"holder":"h","hold_ms":1})";
  CheckRefused(413, "name: too long", "POST", "/v1/numbers/" + longer);
  CheckRefused(413, "name: too long", "POST", "/v1/locks/" + longer + "/begin", body);
  CheckRefused(413, "name: too long", "GET", "/v1/cells/" + longer + "/read");
  CheckRefused(413, "name: too long", "GET", "/v1/watch/" + longer);
  CheckRefused(400, "holder: too long", "POST", "/v1/locks/a/begin",
               R"({"hold_ms":1,"holder":")" + longer + "\"}");
  CheckRefused(400, "name: missing", "POST", "/v1/numbers/");
  CheckRefused(400, "name: missing", "POST", "/v1/locks//begin", body);
  CheckRefused(400, "name: missing", "GET", "/v1/watch/?after=1");
  // A percent sign would stand for another character: two names for one lock.
  for (const char* name : {"a%2Fb", "%61", "a b", "a\x01", "a\x7f", "\xc3\xa4"})
    CheckRefused(400, "name: characters that no name has", "POST", std::string("/v1/numbers/") + name);
}

BOOST_AUTO_TEST_CASE(bodies_and_values_have_their_bounds) {
  const std::string longest(kMaxValueBytes, 'v');
  BOOST_TEST((Decoded("POST", "/v1/cells/g.a/replace", R"({"value":")" + longest + "\"}") ==
              Call(PutKey{"g.a", longest, std::nullopt})));
  CheckRefused(400, "value: too long", "POST", "/v1/cells/g.a/replace", R"({"value":")" + longest + "v\"}");
  const std::string body = R"({"value":"v"})", blanks((16u << 10) - body.size(), ' ');
  BOOST_TEST(
      (Decoded("POST", "/v1/cells/g.a/replace", body + blanks) == Call(PutKey{"g.a", "v", std::nullopt})));
  CheckRefused(413, "body: too large", "POST", "/v1/cells/g.a/replace", body + blanks + " ");
  CheckRefused(413, "body: too large", "POST", "/v1/numbers/n", body + blanks + " ");
}

// ---- Answers ----------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(answers_by_the_page) {
  CheckAnswer(EncodedResult(LockGranted{41}), 200, R"({"fence":41})");
  CheckAnswer(EncodedResult(LockRefused{}), 409, "{}");
  CheckAnswer(EncodedResult(coordination::Done{}), 200, "{}");
  CheckAnswer(EncodedResult(NumberTaken{5120}), 200, R"({"value":5120})");
  CheckAnswer(EncodedResult(KeyPut{931}), 200, R"({"revision":931})");
  CheckAnswer(EncodedResult(KeyConflict{922}), 412, R"({"revision":922})");
  CheckAnswer(EncodedResult(KeyConflict{0}), 412, R"({"revision":0})");
  CheckAnswer(EncodedResult(LimitReached{}), 429, "{}");
  CheckAnswer(Encoded(ReadResult{"5c0e7a21d94b36f8", 931}), 200,
              R"({"value":"5c0e7a21d94b36f8","revision":931})");
  CheckAnswer(Encoded(ReadResult{}), 404, "{}");
  CheckAnswer(Encoded(WatchResult{{{"g1.2d", "5c0e7a21d94b36f8", 931}}, 934}), 200,
              R"({"events":[{"name":"g1.2d","value":"5c0e7a21d94b36f8","revision":931}],"revision":934})");
  CheckAnswer(Encoded(WatchResult{{}, 934}), 200, R"({"events":[],"revision":934})");
  CheckAnswer(Encoded(HistoryExpired{}), 410, "{}");
}

// Neither 412, 429 nor 503, which promise something.
BOOST_AUTO_TEST_CASE(what_is_unclear_promises_nothing) {
  CheckAnswer(EncodedResult(OutcomeExpired{}), 504, "{}");
  CheckAnswer(Encoded(OutcomeUnknown{}), 504, "{}");
  CheckAnswer(EncodeAnswer({End::kUnclear, std::nullopt}), 504, "{}");
  CheckAnswer(EncodeAnswer({End::kNothingDone, std::nullopt}), 503, "{}");
  CheckAnswer(EncodeAnswer({End::kNoRoom, std::nullopt}), 429, "{}");
  CheckAnswer(EncodeAnswer({End::kReply, std::nullopt}), 504, "{}");
}

BOOST_AUTO_TEST_CASE(numbers_and_texts_are_told_exactly) {
  for (const std::uint64_t value :
       {999'999'999'999'999u, 1'000'000'000'000'001u, 9'007'199'254'740'991u, 18'446'744'073'709'551'615u})
    CheckAnswer(EncodedResult(NumberTaken{value}), 200, "{\"value\":" + std::to_string(value) + "}");
  CheckAnswer(Encoded(ReadResult{"a\"b\\c/\xc3\xa4", 1}), 200,
              "{\"value\":\"a\\\"b\\\\c/\xc3\xa4\",\"revision\":1}");
}

}  // namespace
}  // namespace curlewdoor::system
