#include "system/config_feed.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "util/hash.hpp"
#include "util/text_delta.hpp"

namespace curlewdoor::system {

using std::chrono::duration;

void ConfigFeed::OnInForce(Time now, ConfigId id) {
  if (id <= in_force_) return;
  in_force_ = id;
  settled_ = std::max(settled_, id);
  in_force_at_ = now;
}

void ConfigFeed::OnRefused(ConfigId id) { settled_ = std::max(settled_, id); }

// Whoever announces is in contact again; a gateway that has nothing in force asks it at once.
void ConfigFeed::OnAnnounce(Time now, const std::string& from, ConfigId id) {
  avoided_.erase(from);
  announced_ = std::max(announced_, id);
  if (!in_force_at_) not_before_ = now;
}

void ConfigFeed::OnMember(Time now) { confirm_at_ = now; }

bool ConfigFeed::Due(Time now) const {
  if (now < not_before_) return false;
  if (partial_) return tokens_ >= 0 || !in_force_at_;
  const bool rested = !in_force_at_ || now - *in_force_at_ >= options_.gap;
  if (announced_ > settled_) return rested && (tokens_ >= 0 || !in_force_at_);
  return !confirm_at_ || now >= *confirm_at_;
}

std::optional<ConfigFeed::Question> ConfigFeed::Next(Time now, const std::vector<Candidate>& candidates) {
  Refill(now);
  if (asked_) {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const Candidate& each) { return each.name == asked_->member; });
    const bool sending = found != candidates.end() && found->sending;
    if (now - asked_->at < (sending ? options_.longest : options_.silence)) return std::nullopt;
    ++figures_.silent;
    GiveUp(now);
    not_before_ = now;
  }
  if (!Due(now)) return std::nullopt;
  const Candidate* to = Choose(now, candidates);
  if (to == nullptr) return std::nullopt;
  // Where nobody has contact they are asked in turn, and not without a pause.
  if (AvoidedUntil(now, to->name) && questioned_ && now - *questioned_ < options_.silence)
    return std::nullopt;
  Question question{to->name, {}};
  Fetch& fetch = question.fetch;
  fetch.number = next_number_++;
  const ConfigId base = whole_next_ ? ConfigId{} : in_force_;
  fetch.base_version = base.version;
  fetch.base_digest = base.digest;
  if (partial_) {
    fetch.version = partial_->id.version;
    fetch.digest = partial_->id.digest;
    fetch.offset = partial_->bytes.size();
  }
  questioned_ = now;
  asked_ = Asked{to->name, fetch.number, now, base};
  confirm_at_ = now + options_.confirm;
  ++figures_.questions;
  return question;
}

std::optional<ConfigFeed::Taken> ConfigFeed::OnFetched(Time now, const std::string& from,
                                                       const Fetched& fetched, std::string_view base) {
  if (!asked_ || asked_->member != from || asked_->number != fetched.number) return std::nullopt;
  const Asked asked = *std::exchange(asked_, std::nullopt);
  const ConfigId id{fetched.version, fetched.digest};
  switch (static_cast<FetchOutcome>(fetched.outcome)) {
    case FetchOutcome::kCurrent:
      partial_.reset();
      OnContact(asked, from);
      // Chosen at no member that is in contact: not before another announcement.
      announced_ = std::min(announced_, std::max(settled_, id));
      whole_next_ = false;
      return std::nullopt;
    case FetchOutcome::kDelta:
    case FetchOutcome::kWhole:
      OnContact(asked, from);
      return TakePiece(now, from, fetched, asked.base, base);
    case FetchOutcome::kNotNow:
      ++figures_.not_now;
      break;
    default:
      ++figures_.unusable;
      partial_.reset();
      break;
  }
  Fail(now, from);
  return std::nullopt;
}

void ConfigFeed::OnContact(const Asked& asked, const std::string& member) {
  contact_ = asked.at;
  ++figures_.confirmed;
  avoided_.erase(member);
}

std::optional<ConfigFeed::Taken> ConfigFeed::TakePiece(Time now, const std::string& from,
                                                       const Fetched& fetched, ConfigId base,
                                                       std::string_view text) {
  const ConfigId id{fetched.version, fetched.digest};
  const auto outcome = static_cast<FetchOutcome>(fetched.outcome);
  figures_.bytes += fetched.bytes.size();
  tokens_ -= static_cast<double>(fetched.bytes.size());
  announced_ = std::max(announced_, id);
  if (id <= settled_) {  // overtaken on its way
    partial_.reset();
    return std::nullopt;
  }
  const bool first = fetched.offset == 0;
  const bool follows = partial_ && partial_->id == id && partial_->base == base &&
                       partial_->outcome == outcome && partial_->size == fetched.size &&
                       partial_->bytes.size() == fetched.offset;
  const bool sound = (first || follows) && fetched.size <= options_.most_text &&
                     fetched.bytes.size() <= fetched.size - fetched.offset &&
                     (!fetched.bytes.empty() || fetched.size == 0);
  if (!sound) {
    ++figures_.unusable;
    partial_.reset();
    Fail(now, from);
    return std::nullopt;
  }
  if (first) partial_ = Partial{from, outcome, id, base, fetched.size, {}};
  partial_->member = from;
  partial_->bytes += fetched.bytes;
  if (partial_->bytes.size() < partial_->size) return std::nullopt;
  return Finish(now, text);
}

std::optional<ConfigFeed::Taken> ConfigFeed::Finish(Time now, std::string_view text) {
  Partial partial = *std::exchange(partial_, std::nullopt);
  const bool delta = partial.outcome == FetchOutcome::kDelta;
  std::optional<std::string> made;
  // Another one may have come into force since it was asked for.
  if (!delta) {
    made = std::move(partial.bytes);
  } else if (partial.base == in_force_) {
    made = ApplyDelta(text, partial.bytes, options_.most_text);
  }
  if (!made || StableHash(*made) != partial.id.digest) {
    ++figures_.unusable;
    whole_next_ = true;
    if (!delta) Fail(now, partial.member);
    return std::nullopt;
  }
  whole_next_ = false;
  ++(delta ? figures_.deltas : figures_.wholes);
  return Taken{partial.id, std::move(*made)};
}

void ConfigFeed::OnDown(Time now, const std::string& member) {
  if (asked_ && asked_->member == member) GiveUp(now);
}

void ConfigFeed::GiveUp(Time now) {
  const Asked asked = *std::exchange(asked_, std::nullopt);
  Fail(now, asked.member);
}

// The pieces that have come stay: another member goes on with them, as their digest is looked at when all are
// there.
void ConfigFeed::Fail(Time now, const std::string& member) {
  avoided_[member] = now + options_.avoid;
  std::erase_if(avoided_, [now](const auto& each) { return each.second <= now; });
  not_before_ = now + options_.again;
  confirm_at_ = now;  // of another one
}

// nullopt: it isn't, or not any more.
std::optional<ConfigFeed::Time> ConfigFeed::AvoidedUntil(Time now, const std::string& member) const {
  const auto avoided = avoided_.find(member);
  if (avoided == avoided_.end() || avoided->second <= now) return std::nullopt;
  return avoided->second;
}

// The nearest that isn't avoided; where all are, the one that has been for the longest.
const ConfigFeed::Candidate* ConfigFeed::Choose(Time now, const std::vector<Candidate>& candidates) const {
  const Candidate* best = nullptr;
  const auto key = [&](const Candidate& each) {
    const Time until = AvoidedUntil(now, each.name).value_or(Time{});
    const bool begun = partial_ && partial_->member == each.name;
    return std::tuple(until, !begun, each.round_trip / options_.near, Rank(each.name));
  };
  for (const Candidate& each : candidates)
    if (best == nullptr || key(each) < key(*best)) best = &each;
  return best;
}

std::uint64_t ConfigFeed::Rank(const std::string& member) const { return StableHash(member, options_.salt); }

// One that is larger than a second's share has twice the share: it is to be in force in a bounded time too.
void ConfigFeed::Refill(Time now) {
  const double passed = refilled_ == Time{} ? 0 : duration<double>(now - refilled_).count();
  const bool large = partial_ && static_cast<double>(partial_->size) > options_.bytes_per_s;
  const double rate = options_.bytes_per_s * (large ? 2 : 1);
  if (refilled_ == Time{}) tokens_ = static_cast<double>(options_.burst);
  tokens_ = std::min(tokens_ + passed * rate, static_cast<double>(options_.burst));
  refilled_ = now;
}

}  // namespace curlewdoor::system
