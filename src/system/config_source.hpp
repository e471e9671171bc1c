// A core member's side of the feed of configurations: what is told to gateways that fetch. Pure: fetches and
// the ends of reads go in, answers come out.
//
// Contact is confirmed after the question came: a fetch waits for a read of the core (agreement::Core::Get)
// that begins after it; its end says that a majority has answered a question sent later than the fetch, and
// that the newest held here is not older than what had been acknowledged by then. One read serves all fetches
// that wait when it begins. A member that knows of no contact answers "not now" at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "system/config_id.hpp"
#include "system/message.hpp"

namespace curlewdoor::system {

class ConfigSource {
 public:
  struct Options {
    std::size_t piece = 32 * 1024;       // bytes of one answer
    std::size_t most_kept = 256 * 1024;  // bytes of earlier texts; one at least, if it is no longer
    std::size_t most_one_kept = 4 * 1024 * 1024;
    std::size_t most_deltas = 64 * 1024;  // bytes of differences that were made already
    std::size_t most_waiting = 4096;      // fetches; more are told "not now"
    // For tests of the tests: a source that does something wrong.
    enum class Fault : std::uint8_t { kNone, kFromMinority, kReadBeforeFetch } fault = Fault::kNone;
  };
  struct Answer {
    std::uint64_t stream = 0;  // that the fetch came by
    Fetch fetch;
    Fetched fetched;
  };

  ConfigSource() = default;
  explicit ConfigSource(const Options& options) : options_(options) {}

  // Known to be chosen. Never goes back: an older one changes nothing.
  void SetNewest(ConfigId id, std::string_view text);
  ConfigId newest() const { return texts_.empty() ? ConfigId{} : texts_.back().id; }

  // The answer, where it can be given at once; else it comes by OnRead().
  std::optional<Fetched> OnFetch(std::uint64_t stream, const Fetch& fetch, bool in_contact);
  // Whether a read of the core is to begin now: fetches wait, and none is under way.
  bool BeginRead();
  // It has ended. `confirmed`: by a majority, which knows of `version` as the newest.
  std::vector<Answer> OnRead(bool confirmed, std::uint64_t version);
  void OnDown(std::uint64_t stream);  // nobody waits there any more

  std::size_t kept_bytes() const;  // of texts and differences
  std::size_t waiting() const { return waiting_.size() + reading_.size(); }

 private:
  struct Text {
    ConfigId id;
    std::string text;
  };
  struct Delta {
    ConfigId from, to;
    std::string bytes;  // empty: larger than the text
  };
  using Waiting = std::pair<std::uint64_t, Fetch>;

  Fetched AnswerTo(const Fetch& fetch);
  const Text* Find(ConfigId id) const;
  const std::string& DeltaOf(const Text& from, const Text& to);

  Options options_;
  std::deque<Text> texts_;                  // the newest last
  std::deque<Delta> deltas_;                // the last made last
  std::vector<Waiting> waiting_, reading_;  // for the next read; for the one under way
  bool read_under_way_ = false;
};

}  // namespace curlewdoor::system
