// Open-loop load against a running gateway, or anything that takes the same requests: requests are due at
// times that no answer moves, and the time of each counts from when it was due. How late the generator itself
// was is told beside, so that its own trouble is not taken for the gateway's.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "logic.hpp"
#include "util/address.hpp"

namespace curlewdoor::playing {

struct LoadOptions {
  Address target;
  double rate = 1000;  // requests a second ...
  double ramp_to = 0;  // ... rising evenly to this by the end; 0: it stays
  double seconds = 10;
  double warm_up = 1;    // seconds at the start that are not counted
  int connections = 64;  // at most; beyond, requests wait and their time runs
  int payload = 0;       // bytes of body; above 0 the request is a POST
  int customers = 100;
  std::string request_class = "article-read", plan = "open";
  Duration timeout = std::chrono::seconds(2);
  std::uint64_t seed = 1;
};

struct LoadResult {
  std::uint64_t due = 0, answered = 0, broken = 0, timed_out = 0;
  std::map<int, std::uint64_t> by_status;
  double seconds = 0;
  double p50_ms = 0, p90_ms = 0, p99_ms = 0, p999_ms = 0, most_ms = 0;
  double late_p50_ms = 0, late_p99_ms = 0, late_most_ms = 0;  // the generator's own
  double cpu_s = 0;                                           // of the generator
};

// Throws std::runtime_error where nothing can be sent at all.
LoadResult RunLoad(const LoadOptions& options, const std::function<void(double)>& on_progress);
std::string LoadText(const LoadOptions& options, const LoadResult& result);

}  // namespace curlewdoor::playing
