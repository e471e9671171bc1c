// How many lines of one kind a log takes. Pure: the time is passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace curlewdoor::events {

// At most 5 lines a kind in a second. A second begins with the first line after the last one's end.
class RateLimit {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr int kLines = 5;
  static constexpr std::chrono::seconds kSpan{1};

  struct Verdict {
    bool say = false;
    std::uint64_t left_out =
        0;  // lines of an earlier second that nobody has been told of; told before this line
    bool operator==(const Verdict&) const = default;
  };
  Verdict Ask(int kind, Time now);

  // The kinds whose second is over, with how many of their lines were left out; each is told once.
  std::vector<std::pair<int, std::uint64_t>> Over(Time now);

 private:
  struct Second {
    explicit Second(Time now) : begin(now) {}
    Time begin;
    int said = 0;
    std::uint64_t left_out = 0;
  };
  std::map<int, Second> seconds_;
};

}  // namespace curlewdoor::events
