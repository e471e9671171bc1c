#include "systemkit/clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace curlewdoor::systemkit {
namespace {

constexpr std::chrono::milliseconds kTick{5};
constexpr double kLookEvery_s = 1, kLookAgain_s = 0.1;  // of one that is out: sooner, so that runs are short
constexpr int kMissed = 2;
constexpr double kTryAgain_s = 0.02;

}  // namespace

Clients::Clients(struct ev_loop* loop, Pace& pace, Calls& calls, Sightings& sightings, Machines& machines)
    : pace_(pace),
      calls_(calls),
      sightings_(sightings),
      machines_(machines),
      gateways_(static_cast<std::size_t>(machines.count())),
      timer_(loop, [this](int) { Tick(); }) {
  timer_.StartIn(kTick, kTick);
  for (int g = 0; g < machines_.count(); ++g) Look(g);
}

// ---- The platform -------------------------------------------------------------------------------------

void Clients::Look(int number) {
  const Address to = machines_.readiness(number);
  calls_.Call(to, RequestText("GET", "/v1/readiness", to.ToText(), "", ""), 1, false,
              [this, number](const Answer& answer) {
                Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
                const bool good = answer.whole() && answer.status == 200;
                gateway.missed = good ? 0 : gateway.missed + 1;
                if (good || gateway.missed >= kMissed) gateway.in = good;
                pace_.After(gateway.in ? kLookEvery_s : kLookAgain_s, [this, number] { Look(number); });
              });
}

int Clients::in() const {
  return static_cast<int>(std::count_if(gateways_.begin(), gateways_.end(), [](auto& g) { return g.in; }));
}

int Clients::Choose(int last) {
  const bool all = 2 * in() < static_cast<int>(gateways_.size());
  std::vector<int> choice;
  for (int g = 0; g < static_cast<int>(gateways_.size()); ++g)
    if (all || In(g)) choice.push_back(g);
  if (choice.size() > 1) std::erase(choice, last);
  return choice[random_() % choice.size()];
}

// ---- Requests -----------------------------------------------------------------------------------------

void Clients::Begin(std::vector<Kind> kinds) {
  kinds_ = std::move(kinds);
  due_.assign(kinds_.size(), 0);
  ticked_ = pace_.Now();
}

void Clients::Tick() {
  // After a pause of this process nothing is made up for: that would be a rush that no client asked for.
  const double passed = std::min(pace_.Now() - ticked_, 0.1);
  ticked_ = pace_.Now();
  for (std::size_t k = 0; k < kinds_.size(); ++k)
    for (due_[k] += kinds_[k].rate_per_s * passed; due_[k] >= 1; due_[k] -= 1) Send(kinds_[k], -1);
}

void Clients::Send(const Kind& kind, int gateway) {
  auto asked = std::make_shared<Asked>();
  asked->kind = kind;
  asked->gateway = gateway;
  asked->ends = pace_.Now() + kind.deadline_ms / 1000.0;
  if (!kind.repeatable || random_() % 4 == 0) {
    asked->body.assign(10 + random_() % 300, 'x');
    for (char& letter : asked->body) letter = static_cast<char>('A' + random_() % 26);
    asked->chunked = random_() % 3 == 0;
  }
  ++figures_.asked;
  ++open_;
  TryOnce(asked);
}

void Clients::TryOnce(const std::shared_ptr<Asked>& asked) {
  const Kind& kind = asked->kind;
  Try one;
  one.id = fmt::format("t{:08x}", next_id_++);
  one.method = asked->body.empty() ? "GET" : "POST";
  one.target = fmt::format("{}{}?n={}", kind.prefix, random_() % 100, one.id);
  one.body = asked->body;
  one.tenant = kind.tenant;
  one.repeatable = kind.repeatable;
  one.gateway = asked->last = asked->gateway >= 0 ? asked->gateway : Choose(asked->last);
  one.life = machines_.life(one.gateway);
  one.sent = pace_.Now();
  one.deadline_ms = static_cast<int>((asked->ends - one.sent) * 1000);
  std::string headers =
      fmt::format("X-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n", one.id, one.deadline_ms);
  if (!kind.key.empty()) headers += "Authorization: Bearer " + kind.key + "\r\n";
  if (random_() % 8 == 0) headers += "X-Tenant-Name: somebody-else\r\n";  // to be overridden
  const std::string bytes = RequestText(one.method, one.target, kind.host, headers, one.body, asked->chunked);
  // Further tries come on new connections.
  const bool keep = asked->tries++ == 0 && random_() % 2 == 0;
  const Address to = machines_.data_plane(one.gateway);
  const std::size_t index = sightings_.Add(std::move(one));
  calls_.Call(to, bytes, asked->ends - pace_.Now(), keep,
              [this, asked, index](const Answer& answer) { OnAnswer(asked, index, answer); });
}

void Clients::OnAnswer(const std::shared_ptr<Asked>& asked, std::size_t index, const Answer& answer) {
  Try& one = sightings_.one_try(index);
  one.ended = pace_.Now();
  one.answer = answer;
  if (answer.good()) return End(*asked, true);
  const bool promise = answer.whole() && (answer.status == 429 || answer.status == 503 ||
                                          answer.status == 408 || answer.status == 421);
  bool again = asked->kind.repeatable || promise || answer.how == Answer::How::kNotOpened;
  for (const int last : {400, 401, 404, 413, 431})
    if (answer.whole() && answer.status == last) again = false;
  const double left = asked->ends - pace_.Now();
  if (!again || asked->gateway >= 0 || asked->tries >= asked->kind.most_tries || left < 0.05)
    return End(*asked, false);
  const double told = answer.retry_after.empty() ? 0 : std::strtod(answer.retry_after.c_str(), nullptr);
  pace_.After(std::max(kTryAgain_s, std::min(told, left / 3)), [this, asked] { TryOnce(asked); });
}

void Clients::End(const Asked&, bool served) {
  --open_;
  ++figures_.ended;
  if (served) ++figures_.served;
}

}  // namespace curlewdoor::systemkit
