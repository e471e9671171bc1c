// What applications saw of locks, numbers, keys and watches, judged from outside. Pure.
//
// A history is calls as their callers know them: when they were sent and answered, by one steady clock, and
// with what. Judge() holds them against the rules of the wire; Linearizable() looks for an order in which
// one lock, number or key explains a short history (Wing and Gong's search).
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curlewdoor::systemkit {

inline constexpr double kUnanswered = std::numeric_limits<double>::infinity();

struct CoordinationCallSeen {
  enum class Kind : std::uint8_t { kBegin, kHeartbeat, kFinish, kNumber, kPut, kRead, kWatch };
  struct Event {
    std::string key, value;
    std::uint64_t revision = 0;
  };

  Kind kind = Kind::kRead;
  int caller = 0;
  std::string name;  // of the lock, number or key; of the group, dot included
  double sent = 0, answered = kUnanswered;
  int status = 0;  // 0: no whole answer

  std::string holder;
  std::uint64_t hold_ms = 0;
  std::uint64_t fence = 0;       // sent with, or given by a begin
  double stopped = kUnanswered;  // kBegin: its caller died then, and counts itself holder no more
  std::string value;             // put, or read
  std::optional<std::uint64_t> enabled;
  std::uint64_t revision = 0;  // given; of a 412: that the key has
  std::uint64_t number = 0;    // given
  std::uint64_t after = 0;     // of a watch
  std::vector<Event> events;

  bool good() const { return status == 200; }
};

enum class CoordinationRule : std::uint8_t { kOne, kOrder, kStale, kMixed, kRefused, kLost };
const char* NameOf(CoordinationRule rule);

struct CoordinationViolation {
  CoordinationRule rule;
  std::string text;
};

class CoordinationHistory {
 public:
  using Seen = CoordinationCallSeen;

  void Add(Seen seen) { calls_.push_back(std::move(seen)); }
  const std::vector<Seen>& calls() const { return calls_; }
  // From here on the day has ended: each lock, number, key and watch that is asked for (a lock by a begin)
  // must be answered at least once, and lags behind nothing that was told before.
  void SetClosing(double at) { closing_ = at; }
  void SetHistory(double seconds) { history_s_ = seconds; }

  // Empty: no rule is broken.
  std::vector<CoordinationViolation> Judge() const;
  // Of the one lock, number or key of this name. nullopt: too long to be searched, or it names a
  // revision whose put isn't known.
  std::optional<bool> Linearizable(const std::string& name) const;

  static std::string GroupOf(const std::string& key);

 private:
  std::vector<Seen> calls_;
  double closing_ = kUnanswered;
  double history_s_ = 20;
};

}  // namespace curlewdoor::systemkit
