#include "systemkit/register_history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace curlewdoor::systemkit {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

std::string Text(const Sent& sent) { return fmt::format("{}/{}", sent.version, sent.content); }
std::string Text(const Span& span) { return fmt::format("[{:.3f}, {:.3f}]", span.called, span.answered); }

// The highest version known by a moment: of (moment, version) in any order.
class Floor {
 public:
  void Add(double at, std::uint64_t version) { steps_.emplace_back(at, version); }
  void Close() {
    std::sort(steps_.begin(), steps_.end());
    for (std::size_t i = 1; i < steps_.size(); ++i)
      steps_[i].second = std::max(steps_[i].second, steps_[i - 1].second);
  }
  // Known strictly before the moment.
  std::uint64_t Before(double moment) const {
    const auto it = std::lower_bound(steps_.begin(), steps_.end(), std::pair{moment, std::uint64_t{0}});
    return it == steps_.begin() ? 0 : std::prev(it)->second;
  }

 private:
  std::vector<std::pair<double, std::uint64_t>> steps_;
};

}  // namespace

// Nothing here weighs who is right: only what was sent when, and what was known by when.
struct RegisterHistory::Index {
  explicit Index(const RegisterHistory& history) {
    for (const OrderSeen& order : history.orders_) {
      auto [it, is_new] = first_sent.try_emplace(order.sent, order.span.called);
      it->second = std::min(it->second, order.span.called);
      if (order.outcome != OrderOutcome::kConfirmed) continue;
      contents[order.sent.version].insert(order.sent.content);
      known.Add(order.span.answered, order.sent.version);
    }
    for (const ReadSeen& read : history.reads_) {
      if (read.read.version == 0) continue;
      contents[read.read.version].insert(read.read.content);
      known.Add(read.span.answered, read.read.version);
    }
    for (const ServedSeen& served : history.served_) {
      contents[served.served.version].insert(served.served.content);
      known.Add(served.span.answered, served.served.version);
    }
    known.Close();
  }
  double FirstSent(const Sent& sent) const {
    const auto it = first_sent.find(sent);
    return it == first_sent.end() ? kNever : it->second;
  }
  // When the version was first sent, a higher one was known: it never was the register's value.
  bool Overtaken(const Sent& sent) const { return known.Before(FirstSent(sent)) > sent.version; }

  std::map<Sent, double> first_sent;
  std::map<std::uint64_t, std::set<std::string>> contents;  // that counted under a number
  Floor known;
};

std::size_t RegisterHistory::Count(OrderOutcome outcome) const {
  return static_cast<std::size_t>(std::count_if(orders_.begin(), orders_.end(),
                                                [&](const OrderSeen& o) { return o.outcome == outcome; }));
}

std::vector<Violation> RegisterHistory::Judge() const {
  const Index index(*this);
  std::vector<Violation> found;
  for (const auto& [version, contents] : index.contents) {
    if (contents.size() < 2) continue;
    std::string names;
    for (const std::string& content : contents) names += " " + content;
    found.push_back(
        {Rule::kTwoContents, fmt::format("version {} counted with the contents{}", version, names)});
  }
  JudgeOrders(index, found);
  JudgeReads(index, found);
  JudgeServed(index, found);
  return found;
}

void RegisterHistory::JudgeOrders(const Index& index, std::vector<Violation>& found) const {
  for (const OrderSeen& order : orders_) {
    if (order.outcome != OrderOutcome::kConflict && order.outcome != OrderOutcome::kRefused) continue;
    const std::string what =
        fmt::format("order {} at gateway {} {}", Text(order.sent), order.gateway, Text(order.span));
    const auto counted = index.contents.find(order.sent.version);
    if (counted != index.contents.end() && counted->second.contains(order.sent.content)) {
      found.push_back({Rule::kResendRefused, what + " was refused, and it counts"});
      continue;
    }
    if (order.outcome == OrderOutcome::kRefused) {
      found.push_back({Rule::kOrderRefused, what + " was refused, and it is valid"});
      continue;
    }
    const bool other = std::any_of(index.first_sent.begin(), index.first_sent.end(), [&](const auto& each) {
      const auto& [sent, at] = each;
      return sent.version == order.sent.version && sent.content != order.sent.content &&
             at < order.span.answered;
    });
    if (!other) found.push_back({Rule::kConflictWithNone, what + " conflicts with nothing that was sent"});
  }
}

void RegisterHistory::JudgeReads(const Index& index, std::vector<Violation>& found) const {
  for (const ReadSeen& read : reads_) {
    const std::string what =
        fmt::format("read of {} at gateway {} {}", Text(read.read), read.gateway, Text(read.span));
    if (const auto floor = index.known.Before(read.span.called); read.read.version < floor)
      found.push_back({Rule::kReadBack, fmt::format("{}: {} was known before", what, floor)});
    if (read.read.version == 0) continue;
    if (index.FirstSent(read.read) > read.span.answered)
      found.push_back({Rule::kReadOfNothingSent, what + ": not sent by then"});
    else if (index.Overtaken(read.read))
      found.push_back({Rule::kReadOvertaken, what + ": a higher one was known before it was first sent"});
  }
}

void RegisterHistory::JudgeServed(const Index& index, std::vector<Violation>& found) const {
  std::map<int, Floor> of_gateway;
  for (const ServedSeen& served : served_)
    of_gateway[served.gateway].Add(served.span.answered, served.served.version);
  for (auto& [gateway, floor] : of_gateway) floor.Close();
  for (const ServedSeen& served : served_) {
    const std::string what =
        fmt::format("{} served by gateway {} {}", Text(served.served), served.gateway, Text(served.span));
    if (index.FirstSent(served.served) > served.span.answered) {
      found.push_back({Rule::kServedNothingSent, what + ": not sent by then"});
      continue;
    }
    if (const auto own = of_gateway[served.gateway].Before(served.span.called); served.served.version < own)
      found.push_back({Rule::kServedBack, fmt::format("{}: it served {} before", what, own)});
    else if (const auto floor = index.known.Before(served.started); served.served.version < floor)
      found.push_back({Rule::kServedStale, fmt::format("{}: {} was known before its start", what, floor)});
    if (index.Overtaken(served.served))
      found.push_back({Rule::kServedOvertaken, what + ": a higher one was known before it was first sent"});
  }
}

}  // namespace curlewdoor::systemkit
