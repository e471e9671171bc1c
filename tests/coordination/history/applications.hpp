// Simulated applications that use the coordination API as its documentation describes, in virtual time or
// against real processes (`Environment`): holders that keep a lock for a short or long time, stop, or pause
// beyond the end of their hold; counters; readers and writers of keys; watchers.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "coordination/call.hpp"
#include "systemkit/coordination_history.hpp"

namespace curlewdoor::coordination::testing {

using Seen = systemkit::CoordinationCallSeen;
using Kind = Seen::Kind;

struct ApplicationOptions {
  std::size_t holders = 4, counters = 2, writers = 3, readers = 2, watchers = 2;
  std::size_t locks = 2, numbers = 2, keys = 3, groups = 2;
};

template <typename Environment>
class Applications {
 public:
  static constexpr double kResendSeconds = 3;  // retries of one call
  static constexpr double kDiesAfterSeconds = 0.02;

  Applications(Environment& environment, const ApplicationOptions& options)
      : environment_(environment), options_(options) {
    for (std::size_t i = 0; i < options.holders; ++i) RunSoon([=, this] { Acquire(fmt::format("a{}", i)); });
    for (std::size_t i = 0; i < options.counters; ++i) RunSoon([this] { TakeNextNumber(); });
    for (std::size_t i = 0; i < options.writers; ++i) RunSoon([this] { Write(); });
    for (std::size_t i = 0; i < options.readers; ++i) RunSoon([this] { Read(); });
    for (std::size_t i = 0; i < options.watchers; ++i)
      RunSoon([=, this] { Watch(static_cast<int>(i), fmt::format("g{}.", i % options_.groups), 0); });
  }
  // Starts nothing new. Running holds and retries are completed.
  void Stop() { stopped_ = true; }

  // Calls each object once more at the end of a run, with retries for `patience` seconds.
  void ProbeAllObjects(double patience) {
    for (std::size_t i = 0; i < options_.locks; ++i) {
      const std::string lock = fmt::format("l{}", i);
      environment_.SendUntilClear(LockSeen(Kind::kBegin, lock, "closing", 1000, 0),
                                  AcquireLock{lock, "closing", 1000}, patience, [](const Seen&) {});
    }
    for (std::size_t i = 0; i < options_.numbers; ++i) {
      Seen seen;
      seen.kind = Kind::kNumber;
      seen.name = fmt::format("n{}", i);
      environment_.SendUntilClear(seen, TakeNumber{seen.name}, patience, [](const Seen&) {});
    }
    for (std::size_t group = 0; group < options_.groups; ++group) {
      for (std::size_t key = 0; key < options_.keys; ++key)
        ReadOneKey(fmt::format("g{}.{}", group, key), patience, [](const Seen&) {});
      const std::string name = fmt::format("g{}.", group);
      Seen seen;
      seen.kind = Kind::kWatch;
      seen.name = name;
      seen.after = resume_revisions_[name];
      environment_.SendUntilClear(seen, WatchGroup{name, seen.after, 0}, patience, [](const Seen&) {});
    }
  }

 private:
  void RunAfter(double min_s, double max_s, std::function<void()> action) {
    environment_.At(environment_.Draw(min_s, max_s), [this, action = std::move(action)] {
      if (!stopped_) action();
    });
  }
  void RunSoon(std::function<void()> action) { RunAfter(0, 0.2, std::move(action)); }

  // ---- Locks
  static Seen LockSeen(Kind kind, const std::string& lock, const std::string& holder, std::uint64_t hold_ms,
                       FencingToken fence) {
    Seen seen;
    seen.kind = kind;
    seen.name = lock;
    seen.holder = holder;
    seen.hold_ms = hold_ms;
    seen.fence = fence;
    return seen;
  }
  static double HoldEnd(const Seen& call) { return call.sent + static_cast<double>(call.hold_ms) / 1000; }

  void Acquire(const std::string& holder) {
    AcquireLockNamed(fmt::format("l{}", environment_.Pick(options_.locks)), holder);
  }
  void AcquireLockNamed(const std::string& lock, const std::string& holder) {
    const std::uint64_t hold_ms = 300 + environment_.Pick(1700);
    environment_.SendUntilClear(
        LockSeen(Kind::kBegin, lock, holder, hold_ms, 0), AcquireLock{lock, holder, hold_ms}, kResendSeconds,
        [=, this](const Seen& seen) {
          const bool still_held = seen.good() && environment_.Seconds() < HoldEnd(seen);
          if (!still_held) return RunAfter(0.01, 0.4, [=, this] { Acquire(holder); });
          Hold(seen, HoldEnd(seen), environment_.Pick(6));
        });
  }
  void Hold(const Seen& begin, double hold_end, std::size_t renewals) {
    if (environment_.Seconds() >= hold_end) return RunAfter(0.01, 0.4, [=, this] { Acquire(begin.holder); });
    switch (renewals == 0 ? environment_.Pick(5) : 5) {
      case 0: {  // stops
        environment_.NoteStopped(begin, environment_.Seconds());
        return RunAfter(0.05, 2, [=, this] { Acquire(begin.holder); });
      }
      case 1:  // pauses beyond the end of the hold and continues as if it still held the lock
        return RunAfter(0.2, 3, [=, this] { Renew(begin, hold_end, 0); });
      case 5:
        return RunAfter(0.02, static_cast<double>(begin.hold_ms) / 2000,
                        [=, this] { Renew(begin, hold_end, renewals); });
      default:
        return RunAfter(0, 0.02, [=, this] { Release(begin); });
    }
  }
  void Renew(const Seen& begin, double hold_end, std::size_t renewals) {
    const Seen seen = LockSeen(Kind::kHeartbeat, begin.name, begin.holder, begin.hold_ms, begin.fence);
    environment_.SendUntilClear(
        seen, RenewLock{seen.name, seen.holder, seen.fence, seen.hold_ms},
        std::max(0.05, hold_end - environment_.Seconds()), [=, this](const Seen& answered) {
          const bool still_held = answered.good() && environment_.Seconds() < hold_end;
          if (!still_held) return RunAfter(0.01, 0.3, [=, this] { Acquire(begin.holder); });
          Hold(begin, std::max(hold_end, HoldEnd(answered)), renewals == 0 ? 0 : renewals - 1);
        });
  }
  void Release(const Seen& begin) {
    const Seen seen = LockSeen(Kind::kFinish, begin.name, begin.holder, 0, begin.fence);
    const ReleaseLock release{seen.name, seen.holder, seen.fence};
    if (environment_.Pick(3) == 0) return DieAfter(seen, release);
    environment_.SendUntilClear(seen, release, kResendSeconds, [=, this](const Seen&) {
      RunAfter(0, 0.3, [=, this] { Acquire(begin.holder); });
    });
  }
  // Dies soon after it has sent the release, starts again and acquires the same lock: the release may arrive
  // after that and must not end the new hold.
  void DieAfter(const Seen& seen, const ReleaseLock& release) {
    environment_.SendUntilClear(seen, release, kDiesAfterSeconds, [=, this](const Seen&) {
      RunAfter(0.01, 0.05, [=, this] { AcquireLockNamed(release.lock, release.holder); });
    });
  }

  // ---- Numbers
  void TakeNextNumber() {
    Seen seen;
    seen.kind = Kind::kNumber;
    seen.name = fmt::format("n{}", environment_.Pick(options_.numbers));
    environment_.SendUntilClear(seen, TakeNumber{seen.name}, kResendSeconds,
                                [this](const Seen&) { RunAfter(0.005, 0.06, [this] { TakeNextNumber(); }); });
  }

  // ---- Keys
  std::string RandomKey() {
    return fmt::format("g{}.{}", environment_.Pick(options_.groups), environment_.Pick(options_.keys));
  }
  void ReadOneKey(const std::string& key, double patience, typename Environment::OnSeen on_seen) {
    Seen seen;
    seen.kind = Kind::kRead;
    seen.name = key;
    environment_.SendUntilClear(seen, ReadKey{key}, patience, std::move(on_seen));
  }
  void Read() {
    ReadOneKey(RandomKey(), 1, [this](const Seen&) { RunAfter(0.005, 0.08, [this] { Read(); }); });
  }
  void Write() {
    const std::string key = RandomKey();
    if (environment_.Chance(0.3)) return Put(key, std::nullopt);
    ReadOneKey(key, 1, [=, this](const Seen& read) {
      if (!Environment::Clear(read)) return RunAfter(0.01, 0.1, [this] { Write(); });
      RunAfter(0, environment_.Chance(0.2) ? 0.5 : 0.01, [=, this] { Put(key, read.revision); });
    });
  }
  void Put(const std::string& key, std::optional<std::uint64_t> enabled) {
    Seen seen;
    seen.kind = Kind::kPut;
    seen.name = key;
    seen.value = fmt::format("v{}", ++last_value_);
    seen.enabled = enabled;
    environment_.SendUntilClear(seen, PutKey{key, seen.value, enabled}, kResendSeconds,
                                [this](const Seen&) { RunAfter(0.005, 0.1, [this] { Write(); }); });
  }

  // ---- Watches
  void Watch(int caller, const std::string& group, std::uint64_t after) {
    Seen seen;
    seen.kind = Kind::kWatch;
    seen.caller = caller;
    seen.name = group;
    seen.after = after;
    const std::uint32_t wait_ms = after == 0 ? 0 : 100 + static_cast<std::uint32_t>(environment_.Pick(1500));
    environment_.SendUntilClear(seen, WatchGroup{group, after, wait_ms}, 1, [=, this](const Seen& answered) {
      std::uint64_t next = after;
      if (answered.good()) next = answered.revision;
      if (answered.status == 410) next = 0;
      if (next > 0 && (resume_revisions_[group] == 0 || environment_.Chance(0.1)))
        resume_revisions_[group] = next;
      RunAfter(0, environment_.Chance(0.1) ? 1 : 0.01, [=, this] { Watch(caller, group, next); });
    });
  }

  Environment& environment_;
  const ApplicationOptions options_;
  bool stopped_ = false;
  std::uint64_t last_value_ = 0;
  std::map<std::string, std::uint64_t> resume_revisions_;  // revisions at which the final watches start
};

}  // namespace curlewdoor::coordination::testing
