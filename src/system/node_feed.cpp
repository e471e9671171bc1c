// Node: how configurations reach gateways. ConfigFeed and ConfigSource decide; here it is carried out.
#include <malloc.h>

#include <algorithm>
#include <utility>

#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {
namespace {

// What reading a large configuration took, many times its size, goes back to the system.
void GiveBackMemory(std::size_t text_size) {
#ifdef __GLIBC__
  constexpr std::size_t kLarge = 256 * 1024;
  if (text_size >= kLarge) ::malloc_trim(0);
#else
  static_cast<void>(text_size);
#endif
}

}  // namespace

// ---- A core member's side -----------------------------------------------------------------------------

void Node::OnCommitted() {
  const agreement::ConfigValue& value = core_->committed();
  source_.SetNewest(IdOf(value.version, value.text), value.text);
  AnnounceConfig();
  ApplyCommitted();
}

void Node::ApplyCommitted() {
  if (!core_ || source_.newest() <= in_force_ || Now() - applied_at_ < kApplyPause) return;
  // A member that has just started hears of chosen versions from one that may be cut off with it: the first
  // one is in force when a majority has been asked.
  if (front_.policy() == nullptr && !core_->learned()) return;
  applied_at_ = Now();
  SetInForce(source_.newest(), core_->committed().text);
}

void Node::AnnounceConfig() {
  if (!had_majority_) return;
  link_.ForEach([&](Link::Stream& stream) {
    if (stream.subscribed) TellConfig(stream);
  });
}

// Whole to versions that don't fetch.
void Node::TellConfig(Link::Stream& stream) {
  const ConfigId newest = source_.newest();
  if (!stream.announcing.Take(Now(), newest)) return;
  if (stream.fetches) return stream.Send(Encode(Announce{epoch_, newest.version, newest.digest}));
  stream.Send(Encode(Config{newest.version, core_->committed().text}));
}

void Node::Handle(Link::Stream& stream, Fetch& message) {
  stream.announcing.OnFetch(Now());
  const auto answer = source_.OnFetch(stream.number, message, had_majority_);
  if (answer) return stream.Send(Encode(*answer));
  ReadForFeed();
}

void Node::ReadForFeed() {
  if (!source_.BeginRead()) return;
  feed_read_ = next_number_++;
  agreement::CoreOutput out;
  core_->Get(Now(), feed_read_, out);
  ExecuteCore(std::move(out));
}

void Node::OnFeedRead(const agreement::CallResult& done) {
  feed_read_ = 0;
  const bool confirmed =
      done.outcome == agreement::CallOutcome::kInForce || done.outcome == agreement::CallOutcome::kSuperseded;
  const auto answers = source_.OnRead(confirmed, done.value.version);
  link_.ForEach([&](Link::Stream& stream) {
    for (const ConfigSource::Answer& answer : answers) {
      if (answer.stream != stream.number) continue;
      if (confirmed && answer.fetch.epoch < epoch_) stream.Send(Encode(MembersNow()));
      stream.Send(Encode(answer.fetched));
    }
  });
  ReadForFeed();
}

// ---- A gateway's side ---------------------------------------------------------------------------------

void Node::Handle(Link::Stream& stream, Announce& message) {
  if (!stream.dialled()) return;
  feed_.OnAnnounce(Now(), stream.name, {message.version, message.digest});
  FetchConfig();
}

void Node::Handle(Link::Stream& stream, Fetched& message) {
  if (!stream.dialled()) return;
  const auto& policy = front_.policy();
  const std::string_view base = policy != nullptr ? std::string_view(policy->text()) : std::string_view();
  auto taken = feed_.OnFetched(Now(), stream.name, message, base);
  if (taken) SetInForce(taken->id, std::move(taken->text));
  FetchConfig();
}

void Node::FetchConfig() {
  if (had_majority_) return;  // what is chosen is known here
  const auto question = feed_.Next(Now(), FeedCandidates());
  if (!question) return;
  link_.ForEach([&](Link::Stream& stream) {
    if (!stream.dialled() || stream.name != question->to) return;
    Fetch fetch = question->fetch;
    fetch.epoch = epoch_;
    stream.Send(Encode(fetch));
  });
}

// Members of the core; whoever says that it may be one, where none is known or none has been in contact.
std::vector<ConfigFeed::Candidate> Node::FeedCandidates() {
  const bool any = members_.empty() || !InContact();
  std::vector<ConfigFeed::Candidate> candidates;
  link_.ForEach([&](Link::Stream& stream) {
    if (!stream.dialled() || !stream.counted || !stream.fetches) return;
    const bool member = std::any_of(members_.begin(), members_.end(),
                                    [&](const CoreMember& each) { return each.address == stream.to(); });
    if (!any && !member) return;
    const auto known = offsets_.find(stream.name);
    const Duration time = known != offsets_.end() ? known->second.round_trip : Duration(milliseconds(100));
    candidates.push_back({stream.name, time, stream.receiving()});
  });
  return candidates;
}

std::optional<Duration> Node::ContactAge() const {
  if (had_majority_) return Duration::zero();
  if (!feed_.contact()) return std::nullopt;
  return Now() - *feed_.contact();
}

bool Node::InContact() const {
  const auto age = ContactAge();
  return age && *age <= kContactFresh;
}

// ---- Both ---------------------------------------------------------------------------------------------

void Node::SetInForce(ConfigId id, std::string text) {
  if (id <= in_force_) return;
  const std::size_t size = text.size();
  try {
    const bool read = checked_ != nullptr && checked_->version() == id.version && checked_->text() == text;
    front_.SetPolicy(read ? std::move(checked_) : policy::Policy::Read(std::move(text)));
    GiveBackMemory(size);
    in_force_ = id;
    if (checked_ != nullptr && checked_->version() <= id.version) checked_.reset();
    in_force_at_ = std::chrono::system_clock::now();
    feed_.OnInForce(Now(), id);
    Say(Event::kConfigInForce, "version " + std::to_string(id.version) + ", " +
                                   std::to_string(front_.policy()->text().size()) + " bytes");
  } catch (const policy::PolicyError& error) {
    feed_.OnRefused(id);
    Say(Event::kConfigRefused, std::string("kept by the core: ") + error.what());
  }
  SetReady();
}

}  // namespace curlewdoor::system
