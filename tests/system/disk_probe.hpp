// The disk that the machines of a test write to, as a writer beside them finds it. Other processes of the
// computer share it, and may keep it busy for seconds.
#pragma once

#include <mutex>
#include <optional>
#include <thread>

#include "playing/process.hpp"

namespace curlewdoor::systemkit {

class DiskProbe {
 public:
  DiskProbe();
  DiskProbe(const DiskProbe&) = delete;
  DiskProbe& operator=(const DiskProbe&) = delete;

  // Seconds since the last call, or the beginning, that passed within syncs of a few bytes of over 50 ms: ten
  // times what the slowest disk of a site takes.
  double TakeStalled();

 private:
  void Write(const std::stop_token& stop);
  void BeginSync();
  void EndSync();

  playing::TemporaryFolder folder_;
  std::mutex mutex_;
  std::optional<double> sync_began_;  // of the one under way; seconds of the steady clock
  double taken_at_ = 0, stalled_ = 0;
  std::jthread writer_;  // last, as it uses the others
};

}  // namespace curlewdoor::systemkit
