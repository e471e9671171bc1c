// Bounds, periods and small conversions that the files of Node share (node.cpp, node_*.cpp).
#pragma once

#include <sys/stat.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

#include "events/events.hpp"
#include "settings/settings.hpp"
#include "system/config_feed.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {

using events::Event;
using events::Say;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kFleetName[] = "curlewdoor";
// What a member of the core says of itself in the fleet view, before its life.
inline const std::string kOnDisk = "core:", kInMemory = "mem:";
inline constexpr milliseconds kConsiderAfter{1200};  // until then a machine with a disk has been seen
inline constexpr std::size_t kMostInMemory = 9;      // members of a core without disks
inline constexpr milliseconds kTick{50};
inline constexpr milliseconds kPauseNoticed{1000};  // from one tick to the next
inline constexpr milliseconds kConfirmAtMost{500};  // after a pause; then it is done without
inline constexpr milliseconds kMajorityTells{150};  // what was chosen meanwhile, to a member
inline constexpr milliseconds kProbe{500};          // of the fleet's view
inline constexpr int kRefreshTicks = 6;             // beats that say nothing new are told together
inline constexpr int kSecondTicks = 20;
inline constexpr int kConfirmed = 200;  // the status of an order's answer
inline constexpr milliseconds kReplicationEnds{700};
inline constexpr milliseconds kReplicateAgain{
    200};                               // then core members that haven't answered are sent it again
inline constexpr int kMostStrayed = 2;  // digests in a row: news may just be on its way
inline constexpr milliseconds kAddEnds{400};
inline constexpr int kCounterSilentAfter = 3;  // failed adds in a row
inline constexpr milliseconds kMostAstray{
    200};  // of a gateway's idea of a holder's clock, its message's way included
inline constexpr std::size_t kMostReplications = 1024, kMostAddings = 4096;
inline constexpr double kSilentBeats = 3.5;  // a host that has missed so many is silent
inline constexpr milliseconds kStopListening{
    2600};  // after SIGTERM: the platform has seen by then that we don't serve
inline constexpr milliseconds kEndMargin{350};    // before the platform's SIGKILL
inline constexpr milliseconds kLastAnswers{200};  // before that: for the last answers to be written and read
// After SIGTERM the platform goes on bringing new connections until it has asked twice in vain for readiness.
inline constexpr milliseconds kStillBrought{2000};
inline constexpr seconds kAwayFor{60};  // a gateway that isn't heard may go on by its share
inline constexpr std::size_t kMostConfig =
    3 * 1024 * 1024;  // storage takes many times that: 64 MB are granted
inline constexpr milliseconds kApplyPause{250};
inline constexpr seconds kContactFresh{3};      // a gateway without proof for so long looks further
inline constexpr double kFeedLinkShare = 0.25;  // of a gateway's link, for configurations
inline constexpr char kHostsKey[] = "hosts", kGatewaysKey[] = "gateways", kLeavesKey[] = "leaves";
inline constexpr seconds kGatherAtMost{10};  // by then a view is as whole as it gets
inline constexpr int kMostGateways = 10'000;
inline constexpr std::uint64_t kHostsWrite = ~std::uint64_t{0};  // never an id of the agreement's writes
inline constexpr std::uint64_t kFoundingWrite = kHostsWrite - 1;
inline constexpr std::uint64_t kLeavesWrite = kHostsWrite - 2;
inline constexpr std::uint64_t kLogWrite = kHostsWrite - 3;
// Whoever calls on `control` turns to another gateway after so long without an answer.
inline constexpr milliseconds kCallerWaits{1000};
// An application gives a call up after a second and may go on: what lay in a socket for a good part of it is
// not passed on.
inline constexpr milliseconds kCallPause{500}, kCallPauseDrained{300};
inline constexpr char kCoordinationContract[] = "coord";
inline constexpr int kHistoryFactor = 2;  // of the history that is asked for: kept
inline constexpr std::size_t kMostOwedVotes = 4096;
inline constexpr int kReserved = 300;  // descriptors: files, the loop's own, what the platform keeps

inline std::int64_t StampOf(const std::string& path) {
  struct stat st {};
  if (::stat(path.c_str(), &st) != 0) return 0;
  return st.st_mtim.tv_sec * 1'000'000'000LL + st.st_mtim.tv_nsec;
}

inline std::uint64_t BootNow() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

// Of members without disks: numbered by the time when they began, so a later one's is higher.
inline constexpr std::uint64_t kLivesAtOnce = 1u << 20;
inline std::uint64_t FirstLife(std::uint64_t boot) { return boot * kLivesAtOnce; }

inline std::string Hex(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

inline std::int64_t Microseconds(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

inline ConfigFeed::Options FeedOptions(const settings::NodeSettings& settings) {
  constexpr double kBytesOfMegabit = 1e6 / 8;
  ConfigFeed::Options options;
  options.bytes_per_s = std::max(1.0, settings.limits.link_mbps) * kBytesOfMegabit * kFeedLinkShare;
  options.salt = StableHash(settings.node_name);
  return options;
}

// Bytes that the process may take.
inline std::size_t MemoryOf(const settings::NodeSettings& settings) {
  constexpr double kMegabyte = 1024.0 * 1024.0;
  return static_cast<std::size_t>(settings.limits.memory_mb * kMegabyte);
}

inline int Descriptors(const settings::NodeSettings& settings) {
  return std::max(256, static_cast<int>(settings.limits.fd_limit) - kReserved);
}

}  // namespace curlewdoor::system
