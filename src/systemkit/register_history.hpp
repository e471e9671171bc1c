// What operators and clients saw of the configuration, and whether one register explains it: a history of
// orders, reads and of what was in force at the gateways, judged from outside. Pure.
//
// The register holds the highest version that was ever set; an order of a lower one is confirmed and changes
// nothing. Linearizable means: each operation took effect at one moment between its call and its answer; one
// without a clear answer at any later moment, or never.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curlewdoor::systemkit {

// Of a configuration, as it was sent: its number, and what tells its content from others under that number.
struct Sent {
  std::uint64_t version = 0;  // 0: nothing yet
  std::string content;
  auto operator<=>(const Sent&) const = default;
};

// From the call to its answer, in seconds of one clock.
struct Span {
  double called = 0;
  double answered = std::numeric_limits<double>::infinity();
};

enum class OrderOutcome {
  kConfirmed,  // 200
  kConflict,   // 409
  kRefused,    // any other 4xx
  kUnclear,    // 5xx, or no answer
};

struct OrderSeen {
  Sent sent;
  Span span;
  OrderOutcome outcome = OrderOutcome::kUnclear;
  int gateway = -1;
};

struct ReadSeen {  // of those that were answered
  Sent read;
  Span span;
  int gateway = -1;
};

// A route of this configuration, and of no other, was served by the gateway's data plane.
struct ServedSeen {
  Sent served;
  Span span;
  int gateway = -1;
  double started = 0;  // when its process was started
};

enum class Rule {
  kReadOfNothingSent,
  kReadBack,          // below what was confirmed, read or served before its call
  kReadOvertaken,     // of a version that was sent only after a higher one was known
  kTwoContents,       // more than one under one number was confirmed, read or served
  kResendRefused,     // a confirmed order was answered with a 4xx
  kOrderRefused,      // a valid order was refused for another reason than a conflict
  kConflictWithNone,  // 409, though nobody had sent another content under that number
  kServedNothingSent,
  kServedBack,   // below what the same gateway served before
  kServedStale,  // below what was confirmed or read before its process was started
  kServedOvertaken,
};
inline constexpr int kRules = static_cast<int>(Rule::kServedOvertaken) + 1;

struct Violation {
  Rule rule;
  std::string text;
};

class RegisterHistory {
 public:
  void Add(OrderSeen order) { orders_.push_back(std::move(order)); }
  void Add(ReadSeen read) { reads_.push_back(std::move(read)); }
  void Add(ServedSeen served) { served_.push_back(std::move(served)); }

  std::size_t orders() const { return orders_.size(); }
  std::size_t reads() const { return reads_.size(); }
  std::size_t served() const { return served_.size(); }
  std::size_t Count(OrderOutcome outcome) const;

  // Empty: one register explains all that was seen.
  std::vector<Violation> Judge() const;

 private:
  struct Index;

  void JudgeOrders(const Index& index, std::vector<Violation>& found) const;
  void JudgeReads(const Index& index, std::vector<Violation>& found) const;
  void JudgeServed(const Index& index, std::vector<Violation>& found) const;

  std::vector<OrderSeen> orders_;
  std::vector<ReadSeen> reads_;
  std::vector<ServedSeen> served_;
};

}  // namespace curlewdoor::systemkit
