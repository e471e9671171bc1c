#include "systemkit/troubles.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

namespace curlewdoor::systemkit {
namespace {

constexpr double kResetLasts_s = 0.05;
constexpr std::chrono::milliseconds kWaits{10};
constexpr double kLooksAgain_s = 0.05;  // whether a process that was told to end has ended

}  // namespace

// ---- Troubles -----------------------------------------------------------------------------------------

void Troubles::Later(double seconds, std::function<void()> end) {
  ends_.emplace(world_.pace.Now() + seconds, std::move(end));
}

void Troubles::Stop(int machine, double seconds) {
  if (!Runs(machine)) return;
  world_.machines.Signal(machine, SIGSTOP);
  stopped_.insert(machine);
  Later(seconds, [this, machine] { Go(machine); });
}

void Troubles::Go(int machine) {
  if (stopped_.erase(machine) > 0) world_.machines.Signal(machine, SIGCONT);
}

void Troubles::Kill(const std::vector<int>& machines, double seconds) {
  std::vector<int> running;
  for (const int machine : machines)
    if (world_.machines.Running(machine)) running.push_back(machine);
  for (const int machine : running) stopped_.erase(machine);
  world_.machines.Kill(running);
  Later(seconds, [this, running] {
    for (const int machine : running)
      if (!world_.machines.Running(machine)) world_.machines.Start(machine, false);
  });
}

void Troubles::LoseDisk(int machine, double seconds) {
  Kill({machine}, seconds);
  world_.machines.WipeDisk(machine);
}

void Troubles::EndInOrder(int machine, double seconds) {
  ending_.insert(machine);
  world_.machines.Signal(machine, SIGTERM);
  Later(seconds, [this, machine, life = world_.machines.life(machine)] { StartOnceEnded(machine, life); });
}

// Unless another trouble has ended that life of it and started it again meanwhile.
void Troubles::StartOnceEnded(int machine, int life) {
  const bool runs = world_.machines.Running(machine);
  if (runs && world_.machines.life(machine) == life)
    return Later(kLooksAgain_s, [this, machine, life] { StartOnceEnded(machine, life); });
  ending_.erase(machine);
  if (!runs) world_.machines.Start(machine, false);
}

void Troubles::Cut(int machine, const std::vector<int>& others, bool one_way, double seconds) {
  std::vector<std::pair<int, int>> ways;
  for (const int other : others) {
    if (other == machine) continue;
    ways.emplace_back(machine, other);
    if (!one_way) ways.emplace_back(other, machine);
  }
  for (const auto& [from, to] : ways) CutWay(from, to);
  Later(seconds, [this, ways] {
    for (const auto& [from, to] : ways) JoinWay(from, to);
  });
}

void Troubles::CutWay(int from, int to) {
  if (++cuts_[{from, to}] == 1) world_.relays->Cut(from, to);
}

void Troubles::JoinWay(int from, int to) {
  if (--cuts_[{from, to}] == 0) world_.relays->Join(from, to);
}

bool Troubles::IsCut(int from, int to) const {
  const auto held = cuts_.find({from, to});
  return held != cuts_.end() && held->second > 0;
}

void Troubles::Reset(int machine) {
  world_.relays->Reset(machine);
  last_reset_ = world_.pace.Now();
}

void Troubles::EndDue() {
  while (!ends_.empty() && ends_.begin()->first <= world_.pace.Now()) {
    const auto end = std::move(ends_.begin()->second);
    ends_.erase(ends_.begin());
    end();
  }
}

void Troubles::EndAll() {
  while (!ends_.empty()) {
    const std::size_t before = ends_.size();
    const auto end = std::move(ends_.begin()->second);
    ends_.erase(ends_.begin());
    end();
    if (ends_.size() >= before) std::this_thread::sleep_for(kWaits);  // a process has not ended yet
  }
}

// ---- Spans --------------------------------------------------------------------------------------------

void Spans::Sample(double now, bool holds) {
  if (holds && !open_) spans_.emplace_back(now, now);
  if (holds) spans_.back().second = now;
  open_ = holds;
}

bool Spans::Touches(double from, double to) const {
  return std::any_of(spans_.begin(), spans_.end(),
                     [&](const auto& span) { return span.first <= to && span.second >= from; });
}

void OutOfReach::Sample(double now, World& world, const Troubles& troubles) {
  const bool reset = now - troubles.last_reset() < kResetLasts_s;
  const auto in_majority = [&](int member) {
    int reached = 0;
    for (int other = 0; other < core_; ++other)
      reached += world.machines.Running(other) && troubles.Reaches(member, other) ? 1 : 0;
    return troubles.Runs(member) && 2 * reached > core_;
  };
  for (std::size_t g = 0; g < spans_.size(); ++g) {
    int answer = 0;
    for (int member = 0; member < core_; ++member)
      answer += in_majority(member) && troubles.Reaches(static_cast<int>(g), member) ? 1 : 0;
    const bool runs = world.machines.Running(static_cast<int>(g));
    spans_[g].Sample(now, !runs || 2 * answer <= core_ || reset);
  }
}

bool OutOfReach::Touches(int gateway, double from, double to) const {
  return spans_.at(static_cast<std::size_t>(gateway)).Touches(from, to);
}

}  // namespace curlewdoor::systemkit
