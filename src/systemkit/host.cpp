#include "systemkit/host.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "util/hash.hpp"
#include "util/number.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kBeatWithin_s = 1;
constexpr double kNextGateway_s = 0.05;
constexpr std::size_t kMostBeatAnswer = 4096;
constexpr std::uint64_t kClosesEvery = 40;  // answers: one of them says that the connection ends

int Milliseconds(std::string_view text) {
  std::uint64_t value = 0;
  return ParseNumber(text, value) ? static_cast<int>(std::min<std::uint64_t>(value, 1'000'000)) : 0;
}

}  // namespace

Host::Host(struct ev_loop* loop, Pace& pace, Calls& calls, Sightings& sightings, Options options)
    : pace_(pace),
      calls_(calls),
      sightings_(sightings),
      options_(std::move(options)),
      random_(StableHash(options_.instance)),
      server_(loop, {[this](playing::HttpServer&, playing::ConnectionId id, const http::Message& message) {
                       OnRequest(id, message);
                     },
                     {},
                     [this](playing::HttpServer&, playing::ConnectionId id) { OnClose(id); }}) {
  std::string error;
  if (!server_.Listen({options_.ip, 0}, error)) throw std::runtime_error(error);
  called_ = random_() % options_.control.size();
  Beat();
}

// ---- Requests -----------------------------------------------------------------------------------------

void Host::Refuse(playing::ConnectionId connection, int status, const std::string& id) {
  server_.Send(connection,
               playing::AnswerText(status, "", fmt::format("X-Not-Executed: 1\r\nX-Attempt-Id: {}\r\n", id)));
}

void Host::OnRequest(playing::ConnectionId connection, const http::Message& message) {
  if (const auto late = surplus_.extract(connection)) server_.Send(connection, late.mapped());
  if (message.target() == "/health")
    return server_.Send(connection, playing::AnswerText(draining_ ? 503 : 200, "",
                                                        "X-Instance-Id: " + options_.instance + "\r\n"));
  const std::string id(message.Find("X-Attempt-Id"));
  if (const auto meant = message.Find("X-Target-Instance"); !meant.empty() && meant != options_.instance)
    return Refuse(connection, 421, id);
  Run run;
  run.id = id;
  run.service = options_.service;
  run.instance = options_.instance;
  run.method = http_method_str(message.method());
  run.target = message.target();
  run.body = message.body();
  run.tenant = message.Find("X-Tenant-Name");
  run.key_seen = message.Has("Authorization");
  run.deadline_ms = Milliseconds(message.Find("X-Deadline-Remaining"));
  run.at = pace_.Now();
  const Work work{connection, sightings_.Add(run), run.at + run.deadline_ms / 1000.0};
  if (id.empty()) return Refuse(connection, 400, id);
  if (static_cast<int>(working_.size()) < options_.slots) return Begin(work);
  if (static_cast<int>(waiting_.size()) >= options_.queue) return Refuse(connection, 503, id);
  waiting_.push_back(work);
}

// In seconds: what the target asks for ("?work_ms=3000"), else drawn.
double Host::WorkTime(const std::string& target) {
  constexpr std::string_view kWork = "?work_ms=";
  if (const auto at = target.find(kWork); at != std::string::npos)
    return std::atof(target.c_str() + at + kWork.size()) / 1000;
  return std::uniform_real_distribution<double>(options_.work_least_s, options_.work_most_s)(random_);
}

// In bytes: what the target asks for ("answer_bytes=60000"), else drawn.
std::size_t Host::AnswerSize(const std::string& target) {
  constexpr std::string_view kSize = "answer_bytes=";
  if (const auto at = target.find(kSize); at != std::string::npos)
    return static_cast<std::size_t>(std::atol(target.c_str() + at + kSize.size()));
  return 20 + random_() % 2000;
}

void Host::Begin(Work work) {
  sightings_.run(work.run).ran = true;
  const std::uint64_t number = next_work_++;
  const double takes =
      std::clamp(work.deadline - pace_.Now(), 0.0, WorkTime(sightings_.run(work.run).target));
  working_[number] = work;
  pace_.After(takes, [this, number] { End(number); });
}

void Host::End(std::uint64_t number) {
  const auto it = working_.find(number);
  if (it == working_.end()) return;
  const Work work = it->second;
  working_.erase(it);
  if (options_.breaks_every > 0 && ++ends_ % options_.breaks_every == 0) {
    ++broken_off_;
    server_.Reset(work.connection);
    return TakeNext();
  }
  Run& run = sightings_.run(work.run);
  run.status = pace_.Now() >= work.deadline ? 504 : 200;
  run.seal = fmt::format("{}.{}.{:08x}", options_.instance, ++seals_, random_() & 0xffffffff);
  run.answer_body.assign(AnswerSize(run.target), ' ');
  for (char& letter : run.answer_body) letter = static_cast<char>('a' + random_() % 26);
  const bool closes = draining_ || seals_ % kClosesEvery == 0;
  const auto connection = work.connection;
  const std::string answer =
      playing::AnswerText(run.status, run.answer_body,
                          fmt::format("X-Attempt-Id: {}\r\nX-Response-Seal: {}\r\n{}", run.id, run.seal,
                                      closes ? "Connection: close\r\n" : ""));
  server_.Send(connection, answer);
  if (!closes && options_.doubles_every > 0 && seals_ % options_.doubles_every == 0)
    surplus_[connection] = answer;
  if (closes) server_.Close(connection);
  TakeNext();
}

void Host::TakeNext() {
  while (!waiting_.empty() && static_cast<int>(working_.size()) < options_.slots) {
    const Work next = waiting_.front();
    waiting_.pop_front();
    if (pace_.Now() < next.deadline) {
      Begin(next);
    } else {
      Refuse(next.connection, 503, sightings_.run(next.run).id);
    }
  }
}

// It drops what nobody waits for any more.
void Host::OnClose(playing::ConnectionId connection) {
  surplus_.erase(connection);
  std::erase_if(waiting_, [&](const Work& work) { return work.connection == connection; });
  std::erase_if(working_, [&](const auto& work) { return work.second.connection == connection; });
  TakeNext();
}

// ---- Calls --------------------------------------------------------------------------------------------

void Host::Post(const std::string& call, const std::string& body, Calls::OnAnswer on_answer) {
  const auto told = ParseAddress(target_);
  const Address to = told ? *told : options_.control[called_ % options_.control.size()];
  calls_.Call(to,
              RequestText("POST", "/v1/instances/" + options_.instance + "/" + call, to.ToText(),
                          "Content-Type: application/json\r\n", body),
              kBeatWithin_s, false, std::move(on_answer));
}

void Host::Drain() {
  draining_ = true;
  if (options_.deregisters_first) {
    deregistered_ = true;
    return Deregister();
  }
  if (!beating_) Beat();
}

void Host::Beat() {
  if (ended_ || beating_ || deregistered_) return;
  beating_ = true;
  const bool draining = draining_;
  const nlohmann::json body = {{"address", server_.address().ToText()},
                               {"details",
                                {{"service", options_.service},
                                 {"config_version", "v1"},
                                 {"zone", "here"},
                                 {"capacity_slots", options_.slots}}},
                               {"status",
                                {{"oper_state", draining ? "draining" : "ready"},
                                 {"call_sequence", ++sequence_},
                                 {"warmup_left_ms", 0}}}};
  const auto post = [this, draining, text = body.dump()] {
    Post("heartbeat", text, [this, draining](const Answer& answer) { OnBeaten(answer, draining); });
  };
  if (options_.beat_late_s <= 0 || draining) return post();
  std::uniform_real_distribution<double> late(0, options_.beat_late_s);
  pace_.After(late(random_), post);
}

void Host::OnBeaten(const Answer& answer, bool draining) {
  beating_ = false;
  const bool good = answer.good() && answer.body.size() <= kMostBeatAnswer;
  const auto again = [this](double in) {
    pace_.After(in, [this, number = ++beat_] {
      if (number == beat_) Beat();
    });
  };
  if (!good) {  // to the next gateway
    target_.clear();
    ++called_;
    return again(kNextGateway_s);
  }
  acknowledged_ = true;
  const auto told = nlohmann::json::parse(answer.body, nullptr, false);
  if (options_.follows_target && told.is_object() && told.contains("heartbeat_target") &&
      told["heartbeat_target"].is_string())
    target_ = told["heartbeat_target"];
  if (draining && !drain_acknowledged_) {
    OnLeaveAcknowledged();
    pace_.After(options_.drain_s + options_.serves_on_s, [this] {
      deregistered_ = true;
      Deregister();
    });
  }
  again(draining_ && !draining ? 0 : options_.heartbeat_s);
}

void Host::OnLeaveAcknowledged() {
  drain_acknowledged_ = true;
  sightings_.DrainAcknowledged(options_.instance, pace_.Now());
}

void Host::End() {
  ended_ = true;
  server_.StopListening();
  server_.ResetAll();
}

void Host::Deregister() {
  Post("deregister", "{}", [this](const Answer& answer) {
    if (!answer.good()) {
      target_.clear();
      ++called_;
      return pace_.After(kNextGateway_s, [this] { Deregister(); });
    }
    if (!options_.deregisters_first) return End();
    OnLeaveAcknowledged();
    pace_.After(options_.drain_s + options_.serves_on_s, [this] { End(); });
  });
}

}  // namespace curlewdoor::systemkit
