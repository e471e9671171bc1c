#include "net/discovery.hpp"

#include <fmt/format.h>

#include "members/members.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;

// How long a watch may wait for news. Short, since one that hangs looks like one without news until then
// (guards against an agent that has gone or was restarted without a word): both cost one more call a second.
constexpr Duration kHold = std::chrono::seconds(1);
constexpr Duration kOverdue = std::chrono::seconds(1);  // an answer this much later will not come
constexpr Duration kAgain = milliseconds(100);          // a watch goes on if asked again within 200 ms

}  // namespace

Discovery::Discovery(struct ev_loop* loop, const Settings& settings, const Address& address, bool keep_watch,
                     std::optional<std::uint64_t> version, Descriptors& descriptors, Inputs& inputs,
                     log::Logger& logger)
    : loop_(loop),
      settings_(settings),
      address_(address),
      keep_watch_(keep_watch),
      version_(version),
      descriptors_(descriptors),
      inputs_(inputs),
      logger_(logger),
      again_timer_(loop, [this](int) { Next(); }),
      overdue_timer_(loop, [this](int) { OnBroken(); }) {}

void Discovery::Watch(bool on) {
  watching_ = on;
  Next();
}

void Discovery::MoveTo(const Address& address) {
  if (address == address_) return;
  address_ = address;
  again_timer_.Stop();
  Retire();
  version_.reset();
  Next();
}

// The list may have been asked for while a watch waits: the watch goes on after it.
void Discovery::Fetch() {
  fetching_ = true;
  if (asked_) Retire();
  Next();
}

void Discovery::Next() {
  if (asked_ || !(watching_ || fetching_)) return;
  again_timer_.Stop();
  if (call_ != nullptr && call_->connection.up()) return Ask();
  if (call_ != nullptr) return;
  auto descriptor = descriptors_.Take(Use::kDiscovery);
  if (!descriptor) return again_timer_.StartIn(kAgain);
  call_ = std::make_unique<Call>(*this, loop_);
  call_->connection.Connect(std::move(*descriptor), address_, settings_.limits.connect_timeout);
}

void Discovery::Ask() {
  asked_ = true;
  std::string target = "/catalog/members";
  if (version_ && !fetching_)
    target += fmt::format("?from={}&hold_ms={}", *version_, kHold / milliseconds(1));
  const std::string text = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, address_.ToText());
  const iovec piece = http::Piece(text);
  overdue_timer_.StartIn(kHold + kOverdue);
  call_->connection.Write({&piece, 1});
}

void Discovery::OnAnswer(const http::Message& answer) {
  overdue_timer_.Stop();
  std::string error;
  auto members = answer.status() == 200 ? ReadMembers(answer.body(), error) : std::nullopt;
  asked_ = false;
  if (!members) return Fail(error.empty() ? fmt::format("answers {}", answer.status()) : error);
  last_failure_.clear();
  fetching_ = false;
  version_ = members->version;
  inputs_.Post(MembersReceived{std::move(*members)});
  // At once, from the loop: the next watch must come within 200 ms of this answer.
  again_timer_.StartIn(Duration::zero());
}

void Discovery::OnBroken() {
  Retire();
  Fail("no answer");
}

void Discovery::Fail(const std::string& why) {
  if (why != last_failure_) logger_.Warning("discovery: {}", why);
  last_failure_ = why;
  fetching_ = false;
  if (keep_watch_) return again_timer_.StartIn(kAgain);
  watching_ = false;
  inputs_.Post(MembersFetchFailed{});
}

void Discovery::Retire() {
  overdue_timer_.Stop();
  asked_ = false;
  if (call_ == nullptr) return;
  call_->connection.Close();
  retired_.push_back(std::move(call_));
}

}  // namespace curlewdoor::net
