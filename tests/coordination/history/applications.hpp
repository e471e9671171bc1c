// Applications as the wire page describes them, in virtual time or of real processes (`World`): holders that
// keep a lock for an instant or long, that die and that sleep beyond their time; numbers; keys that are read
// and put; watchers.
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

template <typename World>
class Applications {
 public:
  static constexpr double kResends = 3;  // seconds, of one call

  Applications(World& world, const ApplicationOptions& options) : world_(world), options_(options) {
    for (std::size_t i = 0; i < options.holders; ++i) Soon([=, this] { Acquire(fmt::format("a{}", i)); });
    for (std::size_t i = 0; i < options.counters; ++i) Soon([this] { Count(); });
    for (std::size_t i = 0; i < options.writers; ++i) Soon([this] { Write(); });
    for (std::size_t i = 0; i < options.readers; ++i) Soon([this] { Read(); });
    for (std::size_t i = 0; i < options.watchers; ++i)
      Soon([=, this] { Watch(static_cast<int>(i), fmt::format("g{}.", i % options_.groups), 0); });
  }
  // They begin nothing new; holds and resends come to their end.
  void Stop() { stopped_ = true; }

  // After the end: all is asked for once more, again and again for so long.
  void AskAll(double patience) {
    for (std::size_t i = 0; i < options_.locks; ++i) {
      const std::string lock = fmt::format("l{}", i);
      world_.SendUntilClear(LockSeen(Kind::kBegin, lock, "closing", 1000, 0),
                            AcquireLock{lock, "closing", 1000}, patience, [](const Seen&) {});
    }
    for (std::size_t i = 0; i < options_.numbers; ++i) {
      Seen seen;
      seen.kind = Kind::kNumber;
      seen.name = fmt::format("n{}", i);
      world_.SendUntilClear(seen, TakeNumber{seen.name}, patience, [](const Seen&) {});
    }
    for (std::size_t group = 0; group < options_.groups; ++group) {
      for (std::size_t key = 0; key < options_.keys; ++key)
        AskKey(fmt::format("g{}.{}", group, key), patience, [](const Seen&) {});
      const std::string name = fmt::format("g{}.", group);
      Seen seen;
      seen.kind = Kind::kWatch;
      seen.name = name;
      seen.after = resume_[name];
      world_.SendUntilClear(seen, WatchGroup{name, seen.after, 0}, patience, [](const Seen&) {});
    }
  }

 private:
  void After(double least_s, double most_s, std::function<void()> act) {
    world_.At(world_.Draw(least_s, most_s), [this, act = std::move(act)] {
      if (!stopped_) act();
    });
  }
  void Soon(std::function<void()> act) { After(0, 0.2, std::move(act)); }

  // ---- Locks
  static Seen LockSeen(Kind kind, const std::string& lock, const std::string& holder, std::uint64_t hold_ms,
                       Fence fence) {
    Seen seen;
    seen.kind = kind;
    seen.name = lock;
    seen.holder = holder;
    seen.hold_ms = hold_ms;
    seen.fence = fence;
    return seen;
  }
  static double Ends(const Seen& call) { return call.sent + static_cast<double>(call.hold_ms) / 1000; }

  void Acquire(const std::string& holder) {
    const std::string lock = fmt::format("l{}", world_.Pick(options_.locks));
    const std::uint64_t hold_ms = 300 + world_.Pick(1700);
    world_.SendUntilClear(LockSeen(Kind::kBegin, lock, holder, hold_ms, 0),
                          AcquireLock{lock, holder, hold_ms}, kResends, [=, this](const Seen& seen) {
                            const bool holds = seen.good() && world_.Seconds() < Ends(seen);
                            if (!holds) return After(0.01, 0.4, [=, this] { Acquire(holder); });
                            Hold(seen, Ends(seen), world_.Pick(6));
                          });
  }
  void Hold(const Seen& begin, double ends, std::size_t renewals) {
    if (world_.Seconds() >= ends) return After(0.01, 0.4, [=, this] { Acquire(begin.holder); });
    switch (renewals == 0 ? world_.Pick(5) : 5) {
      case 0: {  // dies
        world_.NoteStopped(begin, world_.Seconds());
        return After(0.05, 2, [=, this] { Acquire(begin.holder); });
      }
      case 1:  // sleeps beyond its time, and goes on as if it held it
        return After(0.2, 3, [=, this] { Renew(begin, ends, 0); });
      case 5:
        return After(0.02, static_cast<double>(begin.hold_ms) / 2000,
                     [=, this] { Renew(begin, ends, renewals); });
      default:
        return After(0, 0.02, [=, this] { Release(begin); });
    }
  }
  void Renew(const Seen& begin, double ends, std::size_t renewals) {
    const Seen seen = LockSeen(Kind::kHeartbeat, begin.name, begin.holder, begin.hold_ms, begin.fence);
    world_.SendUntilClear(seen, RenewLock{seen.name, seen.holder, seen.fence, seen.hold_ms},
                          std::max(0.05, ends - world_.Seconds()), [=, this](const Seen& answered) {
                            const bool holds = answered.good() && world_.Seconds() < ends;
                            if (!holds) return After(0.01, 0.3, [=, this] { Acquire(begin.holder); });
                            Hold(begin, std::max(ends, Ends(answered)), renewals == 0 ? 0 : renewals - 1);
                          });
  }
  void Release(const Seen& begin) {
    const Seen seen = LockSeen(Kind::kFinish, begin.name, begin.holder, 0, begin.fence);
    world_.SendUntilClear(seen, ReleaseLock{seen.name, seen.holder, seen.fence}, kResends,
                          [=, this](const Seen& answered) {
                            // A release without an answer may come late, and would end the next hold with
                            // this fence: it waits until no hold can have it.
                            const double pause = answered.good() ? 0 : 8;
                            After(pause, pause + 0.3, [=, this] { Acquire(begin.holder); });
                          });
  }

  // ---- Numbers
  void Count() {
    Seen seen;
    seen.kind = Kind::kNumber;
    seen.name = fmt::format("n{}", world_.Pick(options_.numbers));
    world_.SendUntilClear(seen, TakeNumber{seen.name}, kResends,
                          [this](const Seen&) { After(0.005, 0.06, [this] { Count(); }); });
  }

  // ---- Keys
  std::string AnyKey() {
    return fmt::format("g{}.{}", world_.Pick(options_.groups), world_.Pick(options_.keys));
  }
  void AskKey(const std::string& key, double patience, typename World::OnSeen on_seen) {
    Seen seen;
    seen.kind = Kind::kRead;
    seen.name = key;
    world_.SendUntilClear(seen, ReadKey{key}, patience, std::move(on_seen));
  }
  void Read() {
    AskKey(AnyKey(), 1, [this](const Seen&) { After(0.005, 0.08, [this] { Read(); }); });
  }
  void Write() {
    const std::string key = AnyKey();
    if (world_.Chance(0.3)) return Put(key, std::nullopt);
    AskKey(key, 1, [=, this](const Seen& read) {
      if (!World::Clear(read)) return After(0.01, 0.1, [this] { Write(); });
      After(0, world_.Chance(0.2) ? 0.5 : 0.01, [=, this] { Put(key, read.revision); });
    });
  }
  void Put(const std::string& key, std::optional<std::uint64_t> enabled) {
    Seen seen;
    seen.kind = Kind::kPut;
    seen.name = key;
    seen.value = fmt::format("v{}", ++last_value_);
    seen.enabled = enabled;
    world_.SendUntilClear(seen, PutKey{key, seen.value, enabled}, kResends,
                          [this](const Seen&) { After(0.005, 0.1, [this] { Write(); }); });
  }

  // ---- Watches
  void Watch(int caller, const std::string& group, std::uint64_t after) {
    Seen seen;
    seen.kind = Kind::kWatch;
    seen.caller = caller;
    seen.name = group;
    seen.after = after;
    const std::uint32_t wait_ms = after == 0 ? 0 : 100 + static_cast<std::uint32_t>(world_.Pick(1500));
    world_.SendUntilClear(seen, WatchGroup{group, after, wait_ms}, 1, [=, this](const Seen& answered) {
      std::uint64_t next = after;
      if (answered.good()) next = answered.revision;
      if (answered.status == 410) next = 0;
      if (next > 0 && (resume_[group] == 0 || world_.Chance(0.1))) resume_[group] = next;
      After(0, world_.Chance(0.1) ? 1 : 0.01, [=, this] { Watch(caller, group, next); });
    });
  }

  World& world_;
  const ApplicationOptions options_;
  bool stopped_ = false;
  std::uint64_t last_value_ = 0;
  std::map<std::string, std::uint64_t> resume_;  // revisions that watches are resumed from at the end
};

}  // namespace curlewdoor::coordination::testing
