#include "system/config_source.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "util/text_delta.hpp"

namespace curlewdoor::system {
namespace {

Fetched NotNow(const Fetch& fetch) {
  Fetched fetched;
  fetched.number = fetch.number;
  fetched.outcome = static_cast<std::uint8_t>(FetchOutcome::kNotNow);
  return fetched;
}

}  // namespace

void ConfigSource::SetNewest(ConfigId id, std::string_view text) {
  if (id <= newest()) return;
  texts_.push_back({id, std::string(text)});
  std::size_t bytes = text.size();
  auto oldest = std::prev(texts_.end());
  while (oldest != texts_.begin()) {
    const std::size_t size = std::prev(oldest)->text.size();
    const bool only_one = std::next(oldest) == texts_.end() && size <= options_.most_one_kept;
    if (bytes + size > options_.most_kept + text.size() && !only_one) break;
    bytes += size;
    --oldest;
  }
  texts_.erase(texts_.begin(), oldest);
  std::erase_if(deltas_, [this](const Delta& delta) { return Find(delta.to) == nullptr; });
}

std::optional<Fetched> ConfigSource::OnFetch(std::uint64_t stream, const Fetch& fetch, bool in_contact) {
  if (options_.fault == Options::Fault::kFromMinority) return AnswerTo(fetch);
  if (!in_contact || waiting() >= options_.most_waiting) return NotNow(fetch);
  const bool join = options_.fault == Options::Fault::kReadBeforeFetch && read_under_way_;
  (join ? reading_ : waiting_).emplace_back(stream, fetch);
  return std::nullopt;
}

bool ConfigSource::BeginRead() {
  if (read_under_way_ || waiting_.empty()) return false;
  read_under_way_ = true;
  reading_.swap(waiting_);
  return true;
}

std::vector<ConfigSource::Answer> ConfigSource::OnRead(bool confirmed, std::uint64_t version) {
  read_under_way_ = false;
  const bool known = confirmed && newest().version >= version;
  std::vector<Answer> answers;
  for (const auto& [stream, fetch] : std::exchange(reading_, {}))
    answers.push_back({stream, fetch, known ? AnswerTo(fetch) : NotNow(fetch)});
  return answers;
}

void ConfigSource::OnDown(std::uint64_t stream) {
  const auto of_it = [stream](const Waiting& each) { return each.first == stream; };
  std::erase_if(waiting_, of_it);
  std::erase_if(reading_, of_it);
}

Fetched ConfigSource::AnswerTo(const Fetch& fetch) {
  const ConfigId base{fetch.base_version, fetch.base_digest}, wanted{fetch.version, fetch.digest};
  const Text* text = wanted.version > 0 ? Find(wanted) : nullptr;
  std::uint64_t offset = fetch.offset;
  if (text == nullptr) {  // the pieces of a text that is gone are of no use: the newest from its beginning
    offset = 0;
    if (!texts_.empty()) text = &texts_.back();
  }
  Fetched fetched;
  fetched.number = fetch.number;
  fetched.outcome = static_cast<std::uint8_t>(FetchOutcome::kCurrent);
  if (text == nullptr || text->id <= base) {
    fetched.version = newest().version;
    fetched.digest = newest().digest;
    return fetched;
  }
  fetched.version = text->id.version;
  fetched.digest = text->id.digest;
  const Text* from = base.version > 0 ? Find(base) : nullptr;
  const std::string* bytes = from != nullptr ? &DeltaOf(*from, *text) : nullptr;
  const bool whole = bytes == nullptr || bytes->empty();
  if (whole) bytes = &text->text;
  fetched.outcome = static_cast<std::uint8_t>(whole ? FetchOutcome::kWhole : FetchOutcome::kDelta);
  fetched.size = bytes->size();
  fetched.offset = std::min<std::uint64_t>(offset, bytes->size());
  fetched.bytes = bytes->substr(fetched.offset, options_.piece);
  return fetched;
}

const ConfigSource::Text* ConfigSource::Find(ConfigId id) const {
  const auto found =
      std::find_if(texts_.begin(), texts_.end(), [&](const Text& text) { return text.id == id; });
  return found != texts_.end() ? &*found : nullptr;
}

const std::string& ConfigSource::DeltaOf(const Text& from, const Text& to) {
  const auto found = std::find_if(deltas_.begin(), deltas_.end(), [&](const Delta& delta) {
    return delta.from == from.id && delta.to == to.id;
  });
  if (found != deltas_.end()) return found->bytes;
  deltas_.push_back({from.id, to.id, MakeDelta(from.text, to.text, to.text.size()).value_or("")});
  std::size_t bytes = 0;
  for (const Delta& delta : deltas_) bytes += sizeof delta + delta.bytes.size();
  while (bytes > options_.most_deltas && deltas_.size() > 1) {
    bytes -= sizeof(Delta) + deltas_.front().bytes.size();
    deltas_.pop_front();
  }
  return deltas_.back().bytes;
}

std::size_t ConfigSource::kept_bytes() const {
  std::size_t bytes = 0;
  for (const Text& text : texts_) bytes += text.text.size();
  for (const Delta& delta : deltas_) bytes += delta.bytes.size();
  return bytes;
}

}  // namespace curlewdoor::system
