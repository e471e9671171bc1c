// Applications' calls over HTTP, and a deployment of real gateways that takes them: shared by tests of
// coordination.
#pragma once

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "logs_on_failure.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {

inline constexpr double kSoon = 30;     // seconds that a start may take at most: the machine may be busy
inline constexpr double kAnswered = 3;  // ... until a call that is repeated is answered: PROTOCOL.md
inline constexpr double kSilence = 1;   // ... until its caller turns to another gateway
inline constexpr double kPause = 0.02;  // ... before it does
inline constexpr int kLongHoldMs = 60'000;

inline Machines::Options Of(int core, int others = 0) {
  Machines::Options options;
  options.program = CURLEWDOOR_PROGRAM;
  options.core = core;
  options.others = others;
  options.machine_failures = core >= 5 ? 2 : 1;
  options.coordinates = true;
  return options;
}

struct AppCall {
  std::string method, path, body;
};
inline AppCall Begin(const std::string& lock, const std::string& holder, int hold_ms) {
  return {"POST", "/v1/locks/" + lock + "/begin",
          fmt::format(R"({{"holder":"{}","hold_ms":{}}})", holder, hold_ms)};
}
inline AppCall Renew(const std::string& lock, const std::string& holder, std::uint64_t fence, int hold_ms) {
  return {"POST", "/v1/locks/" + lock + "/heartbeat",
          fmt::format(R"({{"holder":"{}","fence":{},"hold_ms":{}}})", holder, fence, hold_ms)};
}
inline AppCall Finish(const std::string& lock, const std::string& holder, std::uint64_t fence) {
  return {"POST", "/v1/locks/" + lock + "/finish",
          fmt::format(R"({{"holder":"{}","fence":{}}})", holder, fence)};
}
inline AppCall TakeNumber(const std::string& name) { return {"POST", "/v1/numbers/" + name, "{}"}; }
inline AppCall PutOver(const std::string& key, const std::string& value, std::uint64_t expected) {
  return {"POST", "/v1/cells/" + key + "/replace",
          fmt::format(R"({{"value":"{}","enabled":{}}})", value, expected)};
}
inline AppCall Put(const std::string& key, const std::string& value) {
  return {"POST", "/v1/cells/" + key + "/replace", fmt::format(R"({{"value":"{}"}})", value)};
}
inline AppCall ReadKey(const std::string& key) { return {"GET", "/v1/cells/" + key + "/read", ""}; }
inline AppCall Watch(const std::string& group, std::uint64_t after, int wait_ms) {
  return {"GET", fmt::format("/v1/watch/{}?after={}&wait_ms={}", group, after, wait_ms), ""};
}

inline std::uint64_t NumberIn(const Answer& answer, const char* name) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return body.is_object() && body.contains(name) ? body[name].get<std::uint64_t>() : 0;
}

// Machines of a deployment, and applications that call them.
class Deployment {
 public:
  explicit Deployment(const Machines::Options& options)
      : machines(options), pace(owner.loop), calls(owner.loop, pace) {}
  ~Deployment() { machines.Kill(machines.all()); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool Until(const std::function<bool()>& done, double within_s) {
    const double ends = pace.Now() + within_s;
    while (!done()) {
      if (pace.Now() >= ends) return false;
      ev_run(owner.loop, EVRUN_ONCE);
    }
    return true;
  }
  void Send(int machine, const AppCall& call, double within_s, Calls::OnAnswer on_answer) {
    const std::string type = call.body.empty() ? "" : "Content-Type: application/json\r\n";
    calls.Call(machines.control(machine),
               RequestText(call.method, call.path, machines.control(machine).ToText(), type, call.body),
               within_s, true, std::move(on_answer));
  }
  // At this gateway alone, once; the answer may be none.
  Answer At(int machine, const AppCall& call, double within_s = kAnswered) {
    std::optional<Answer> got;
    Send(machine, call, within_s, [&](const Answer& answer) { got = answer; });
    Until([&] { return got.has_value(); }, 2 * within_s);
    return got.value_or(Answer{});
  }
  // As applications do: on a failure, 429, 5xx or a second of silence at another gateway.
  void Repeat(const AppCall& call, double ends, const Calls::OnAnswer& on_answer) {
    const int machine = next_++ % machines.count();
    Send(machine, call, kSilence, [=, this](const Answer& answer) {
      const bool again = !answer.whole() || answer.status == 429 || answer.status >= 500;
      if (!again || pace.Now() >= ends) return on_answer(answer);
      pace.After(kPause, [=, this] { Repeat(call, ends, on_answer); });
    });
  }
  Answer Repeated(const AppCall& call, double within_s = kAnswered) {
    std::optional<Answer> got;
    Repeat(call, pace.Now() + within_s, [&](const Answer& answer) { got = answer; });
    Until([&] { return got.has_value(); }, within_s + 2 * kSilence);
    return got.value_or(Answer{});
  }
  bool Start() {
    for (const int m : machines.all()) machines.Start(m, true);
    return Serves(kSoon);
  }
  // Whether a call is answered 200 in this time.
  bool Serves(double within_s) {
    const double ends = pace.Now() + within_s;
    Answer answer;
    while (!answer.good() && pace.Now() < ends) answer = Repeated(TakeNumber("served"), ends - pace.Now());
    BOOST_TEST(answer.status == 200, "a number is answered " << answer.status << " " << answer.body);
    return answer.good();
  }
  // The machine whose member serves the calls; -1: none.
  int Leader() {
    for (const int m : machines.all()) {
      const Answer answer = At(m, {"GET", "/v1/system/coordination", ""});
      const auto report = nlohmann::json::parse(answer.body, nullptr, false);
      if (report.is_object() && report.value("leads", false)) return m;
    }
    return -1;
  }

  LoopOwner owner;
  Machines machines;
  Pace pace;
  Calls calls;

 private:
  const LogsOnFailure logs_{machines};
  int next_ = 0;
};

}  // namespace curlewdoor::systemkit
