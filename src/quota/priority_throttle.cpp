#include "quota/priority_throttle.hpp"

#include <algorithm>
#include <cmath>

namespace curlewdoor::counting {
namespace {

constexpr Duration kTurn = std::chrono::seconds(30);  // what was told is known for one to two of these
constexpr double kStep = 0.25;                        // of the chance that a step before has
constexpr double kEased = 0.5;   // times what is held back, after a window without refusal
constexpr double kFewAsked = 4;  // fewer say little: one refused of one is no rule

// An answer may come in the window after the one in which its request asked.
double Part(double refused, double asked) { return std::min(1.0, refused / std::max(asked, kFewAsked)); }

}  // namespace

Duration Pressure::Spent(TimePoint now, const std::string& route, Duration left) {
  Longest* known = longest_.Find(route);
  if (known == nullptr)
    known = longest_.Insert(route, {left, left, now}, [](const Longest&) { return true; }).first;
  if (now >= known->since + kTurn) {
    known->past = now >= known->since + 2 * kTurn ? left : known->present;
    known->present = left;
    known->since = now;
  }
  known->present = std::max(known->present, left);
  return std::max(known->present, known->past) - left;
}

Pressure::Tenant& Pressure::Roll(TimePoint now, const std::string& name, Duration window) {
  const std::int64_t present = now.time_since_epoch() / std::max(window, Duration(1));
  Tenant* known = tenants_.Find(name);
  if (known == nullptr) known = tenants_.Insert(name, {present}, [](const Tenant&) { return true; }).first;
  if (known->window == present) return *known;
  const double part = Part(known->refused, known->asked);
  known->held_back = part > 0 ? std::min(1.0, known->held_back + part) : known->held_back * kEased;
  // Windows in which nothing was asked ease it as well; after many, nothing is left.
  const std::int64_t idle = std::max<std::int64_t>(0, present - known->window - 1);
  known->held_back *= std::pow(kEased, static_cast<double>(std::min<std::int64_t>(idle, 64)));
  known->window = present;
  known->asked = known->refused = 0;
  return *known;
}

double Pressure::HeldBack(TimePoint now, const std::string& tenant, Duration window) {
  const Tenant& known = Roll(now, tenant, window);
  return std::max(known.held_back, Part(known.refused, known.asked));
}

bool Pressure::MayAsk(TimePoint now, const std::string& tenant, Duration window, int steps, double chance) {
  if (steps > 0) return chance >= HeldBack(now, tenant, window) * (1 - std::pow(kStep, steps));
  Roll(now, tenant, window).asked += 1;
  return true;
}

void Pressure::Refused(TimePoint now, const std::string& tenant, Duration window) {
  Roll(now, tenant, window).refused += 1;
}

}  // namespace curlewdoor::counting
