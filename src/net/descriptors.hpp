// The one budget for descriptors, and the owner of each: a slot is taken before a descriptor is opened and
// given back when it is closed. It leads to the accounts that the memory of its connections is counted in.
#pragma once

#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "memory/budget.hpp"

namespace curlewdoor::net {

enum class Use { kClient, kHost, kCounter, kDiscovery, kAdmin, kFleet, kControl, kReadiness };
inline constexpr int kUses = 8;
inline constexpr int kMostCounterConnections = 8;  // four carry calls, the others owe answers; it allows 32
inline constexpr int kMostCallers = 24;            // operators' connections at once ...
inline constexpr int kCallersPart = 16;            // ... and at most this part of all descriptors
inline constexpr int kMostExchanges = 12;          // with other gateways at once

class Descriptors;

// A descriptor with its slot. Move-only.
class Descriptor {
 public:
  Descriptor() = default;
  Descriptor(Descriptors& budget, Use use) : budget_(&budget), use_(use) {}
  Descriptor(Descriptor&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), use_(other.use_), fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    Close();
    budget_ = std::exchange(other.budget_, nullptr);
    use_ = other.use_;
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Descriptor() { Close(); }

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void Set(int fd) { fd_ = fd; }
  inline void Close();

 private:
  Descriptors* budget_ = nullptr;
  Use use_ = Use::kClient;
  int fd_ = -1;
};

class Descriptors {
 public:
  // `total` is all that the process may hold, standard streams and the loop's own included. Clients get at
  // most half of what is left, so that what they ask for can always be sent on.
  // Where upgrades are possible, what a next process needs before it takes over is left free too.
  // `memory`: where connections count what they hold; it must outlive this. nullptr: without limits.
  explicit Descriptors(int total, bool with_admin = false, bool with_upgrades = false,
                       bool with_fleet = false, memory::Budget* memory = nullptr)
      : memory_(memory != nullptr ? *memory : unlimited_) {
    constexpr int kOwn = 16;  // standard streams, epoll, wake-up and signal descriptors, listeners, list file
    const int callers = with_admin ? std::min(kMostCallers, total / kCallersPart) : 0;
    const int own = with_upgrades ? 2 * kOwn : kOwn;
    const int fleet = with_fleet ? kFleetSockets + kMostExchanges : 0;
    const int rest = total - own - kMostCounterConnections - kDiscoveryConnections - callers - fleet;
    most_ = {rest / 2,
             rest - rest / 2,
             kMostCounterConnections,
             kDiscoveryConnections,
             callers,
             with_fleet ? kMostExchanges : 0,
             0,
             0};
  }
  // The same for a process that serves calls and is linked to others: control and readiness have parts of
  // their own. Of connections to peers, more are taken in than made: most of them are with a few members of
  // the core.
  struct WithCalls {};
  Descriptors(int total, WithCalls, memory::Budget& memory)
      : Descriptors(total, false, false, true, &memory) {
    const int rest = most(Use::kClient) + most(Use::kHost);
    const int made = std::max(kLeastPeers, rest / 8), readiness = std::clamp(rest / 16, 2, kMostReadiness);
    const int control = rest / 4;
    const auto grant = [this](Use use, int count) { most_[static_cast<std::size_t>(use)] = count; };
    grant(Use::kHost, made);
    grant(Use::kReadiness, readiness);
    grant(Use::kControl, control);
    grant(Use::kClient, rest - made - readiness - control);
  }
  Descriptors(const Descriptors&) = delete;
  Descriptors& operator=(const Descriptors&) = delete;

  std::optional<Descriptor> Take(Use use) {
    if (held(use) >= most(use)) return std::nullopt;
    ++held_[static_cast<std::size_t>(use)];
    return Descriptor(*this, use);
  }
  // Descriptors that another process of this gateway still holds: left to it, from clients and hosts alike,
  // until they are given back by the same call with 0.
  void SetAside(int count) {
    const auto change = [&](Use use, int by) { most_[static_cast<std::size_t>(use)] += by; };
    change(Use::kClient, aside_ - aside_ / 2);
    change(Use::kHost, aside_ / 2);
    aside_ = std::clamp(count, 0, 2 * (std::min(most(Use::kClient), most(Use::kHost)) - kLeastOfEach));
    change(Use::kClient, -(aside_ - aside_ / 2));
    change(Use::kHost, -(aside_ / 2));
  }
  memory::Budget& memory() const { return memory_; }

  int held(Use use) const { return held_[static_cast<std::size_t>(use)]; }
  int most(Use use) const { return most_[static_cast<std::size_t>(use)]; }

 private:
  friend class Descriptor;
  static constexpr int kDiscoveryConnections = 2;
  static constexpr int kFleetSockets = 2;  // for datagrams, and the one that listens
  static constexpr int kLeastOfEach = 8;   // however much is set aside
  static constexpr int kLeastPeers = 10;   // members of a core, and one more
  static constexpr int kMostReadiness = 16;

  std::array<int, kUses> held_{};
  std::array<int, kUses> most_{};
  int aside_ = 0;
  memory::Budget unlimited_;
  memory::Budget& memory_;
};

void Descriptor::Close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  if (budget_ != nullptr) --std::exchange(budget_, nullptr)->held_[static_cast<std::size_t>(use_)];
}

}  // namespace curlewdoor::net
