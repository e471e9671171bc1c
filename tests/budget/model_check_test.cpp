// Model check, to a bounded depth, of all interleavings of three gateways and a divider that may move, with a
// budget of 4: lost, repeated and late requests and grants, stalls, restarts, and clocks that differ by the
// bound. Invariant: allocations in force plus the safe allocations never exceed the whole. Six mutants must
// each be found with a trace.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <unordered_map>

#include "budget/allocation.hpp"

namespace curlewdoor::budget {
namespace {

using std::chrono::seconds;

constexpr std::size_t kGateways = 3;
constexpr std::size_t kMaxMessages = 3;

enum class Mutant {
  kNone,
  kGrantsBeforeRelease,
  kNewDividerDoesNotWait,
  kRestartKeepsSpending,
  kNoReserve,
  kGrantOfOtherIncarnation,
  kStaleRequestRenews
};

// With a clock bound of 1/3 a fast clock runs twice as fast as a slow one, which is the bound in whole steps.
BudgetTerms TermsOf(Units whole, Units reserve) {
  BudgetTerms terms{whole, reserve, kGateways, {}};
  terms.lease.lease = seconds(4);
  terms.lease.clock_bound = 1.0 / 3;
  return terms;
}

struct Message {
  bool sequence = true;
  std::size_t gateway = 0;
  AllocationRequest want;
  AllocationGrant grant;
};

struct State {
  std::vector<Allocation> parts;
  std::vector<Divider> divider;  // one
  std::vector<Message> messages;
  std::vector<std::pair<Units, Time>>
      kept_spending;  // for kRestartKeepsSpending: units kept by the new incarnation
  std::vector<Incarnation> incarnations;
  std::uint64_t token = 1;
  int true_time = 100, restarts = 0, moves = 0;
};

class Check {
 public:
  // `granted`: starts after gateway 0 has been granted the whole.
  Check(Mutant mutant, Units reserve, std::vector<int> rates, int depth, bool granted)
      : mutant_(mutant),
        terms_(TermsOf(4 + reserve, reserve)),
        rates_(std::move(rates)),
        depth_(depth),
        granted_(granted) {}

  std::string Run() {
    State state;
    for (std::size_t g = 0; g < kGateways; ++g) {
      state.incarnations.push_back(g + 1);
      state.parts.emplace_back(terms_, g + 1);
    }
    state.kept_spending.resize(kGateways);
    state.divider.emplace_back(DividersTerms(), 1, Time{} - seconds(1000));
    if (granted_) {
      state.parts[0].ObserveDivider(state.token);
      const AllocationRequest want = state.parts[0].Ask(Clock(state, 0), terms_.whole);
      state.parts[0].OnGrant(Clock(state, 0), state.divider[0].OnRequest(DividerClock(state), want));
      CheckInvariant(state);
    }
    Visit(state, 0);
    return violation_;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  BudgetTerms DividersTerms() const {
    BudgetTerms terms = terms_;
    if (mutant_ == Mutant::kNoReserve) terms.reserve = 0;
    return terms;
  }
  Time Clock(const State& state, std::size_t g) const {
    return Time{} + seconds(state.true_time * rates_[g]);
  }
  Time DividerClock(const State& state) const { return Clock(state, kGateways); }

  Units InForce(const State& state, std::size_t g) const {
    const Time now = Clock(state, g);
    const auto& [spent, until] = state.kept_spending[g];
    return state.parts[g].Allowed(now) + (now < until ? spent : 0);
  }
  bool CheckInvariant(const State& state) {
    Units sum = 0;
    for (std::size_t g = 0; g < kGateways; ++g) sum += InForce(state, g);
    if (sum <= terms_.whole) return true;
    violation_ = "parts of " + std::to_string(sum) + " in force:";
    for (const std::string& step : trace_) violation_ += " " + step + ";";
    return false;
  }

  std::string Key(const State& state) const {
    std::string key;
    const auto add = [&](std::int64_t value) { key.append(reinterpret_cast<const char*>(&value), 3); };
    const auto left = [&](Time until, Time now) {
      add(std::max<std::int64_t>(0, (until - now) / seconds(1)));
    };
    for (std::size_t g = 0; g < kGateways; ++g) {
      const Allocation& part = state.parts[g];
      const Time now = Clock(state, g);
      left(part.until(), now);
      add(part.Granted(now));
      add(std::min<std::int64_t>(20, (now - part.asked_at()) / seconds(1)));
      add(static_cast<std::int64_t>(part.sequence() * 64 + part.token() * 8 + part.divider()));
      left(state.kept_spending[g].second, now);
    }
    left(state.divider[0].grants_from(), DividerClock(state));
    for (const auto& [incarnation, account] : state.divider[0].accounts()) {
      add(static_cast<std::int64_t>(incarnation));
      add(account.reported * 64 + account.granted);
      add(static_cast<std::int64_t>(account.sequence));
      left(account.ends, DividerClock(state));
    }
    std::vector<std::string> encoded;
    for (const Message& messages : state.messages) {
      std::string message;
      message += static_cast<char>(messages.sequence);
      message += static_cast<char>(messages.gateway);
      message += static_cast<char>(messages.sequence ? messages.want.sequence : messages.grant.sequence);
      message += static_cast<char>(messages.want.token * 2 + (messages.grant.accepted ? 1 : 0));
      message += static_cast<char>(messages.sequence ? messages.want.part : messages.grant.part);
      message += static_cast<char>(messages.sequence ? messages.want.requester
                                                     : messages.grant.token * 32 + messages.grant.requester);
      encoded.push_back(message);
    }
    std::sort(encoded.begin(), encoded.end());
    for (const std::string& message : encoded) key += message;
    add(state.restarts * 8 + state.moves);
    return key;
  }

  void Step(State next, int depth, std::string name) {
    trace_.push_back(std::move(name));
    if (violation_.empty() && CheckInvariant(next)) Visit(next, depth + 1);
    trace_.pop_back();
  }

  void Visit(const State& state, int depth) {
    if (depth >= depth_ || !violation_.empty()) return;
    const auto [visited, is_new] = seen_.try_emplace(Key(state), depth);
    if (!is_new && visited->second <= depth) return;
    visited->second = depth;
    for (std::size_t i = 0; i < state.messages.size(); ++i) {
      for (const bool repeated : {false, true}) {
        if (repeated && state.messages.size() >= kMaxMessages) continue;
        State next = state;
        const Message messages = state.messages[i];
        if (!repeated) next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(i));
        const std::string requester = "gateway " + std::to_string(messages.gateway);
        if (messages.sequence) {
          AllocationRequest want = messages.want;
          if (mutant_ == Mutant::kGrantsBeforeRelease) want.part = 0;
          if (mutant_ == Mutant::kStaleRequestRenews) want.token = next.token;
          const AllocationGrant grant = next.divider[0].OnRequest(DividerClock(next), want);
          next.messages.push_back({false, messages.gateway, {}, grant});
          Step(std::move(next), depth, requester + " is granted " + std::to_string(grant.part));
        } else {
          AllocationGrant grant = messages.grant;
          if (mutant_ == Mutant::kGrantOfOtherIncarnation)
            grant.requester = next.incarnations[messages.gateway];
          next.parts[messages.gateway].OnGrant(Clock(next, messages.gateway), grant);
          Step(std::move(next), depth, requester + " hears of " + std::to_string(messages.grant.part));
        }
        if (!violation_.empty()) return;
      }
    }
    for (std::size_t g = 0; g < kGateways && state.messages.size() < kMaxMessages; ++g) {
      if (state.parts[g].sequence() >= 3) continue;
      State next = state;
      next.parts[g].ObserveDivider(
          next.token);  // a new divider is known at once; a late request still names the old one
      // All gateways want the whole; gateway 2 claims to want a million.
      next.messages.push_back(
          {true, g, next.parts[g].Ask(Clock(next, g), g == 2 ? 1'000'000 : terms_.whole), {}});
      Step(std::move(next), depth, "gateway " + std::to_string(g) + " asks");
      if (!violation_.empty()) return;
    }
    if (!state.messages.empty()) {  // the oldest is lost, so that it blocks no other
      State next = state;
      next.messages.erase(next.messages.begin());
      Step(std::move(next), depth, "a message is lost");
      if (!violation_.empty()) return;
    }
    State ticked = state;
    ++ticked.true_time;
    Step(std::move(ticked), depth, "tick");
    if (state.moves < 2 && violation_.empty()) {
      State next = state;
      ++next.moves;
      const Duration before = mutant_ == Mutant::kNewDividerDoesNotWait ? seconds(1000) : seconds(0);
      next.divider[0] = Divider(DividersTerms(), ++next.token, DividerClock(next) - before);
      Step(std::move(next), depth, "another divides");
    }
    for (std::size_t g = 0; g < kGateways && state.restarts < 1 && violation_.empty(); ++g) {
      State next = state;
      ++next.restarts;
      if (mutant_ == Mutant::kRestartKeepsSpending)
        next.kept_spending[g] = {next.parts[g].Granted(Clock(next, g)),
                                 Clock(next, g) + terms_.lease.hold_time()};
      next.incarnations[g] = g + 11;
      next.parts[g] = Allocation(terms_, g + 11);
      Step(std::move(next), depth, "gateway " + std::to_string(g) + " restarts");
    }
  }

  const Mutant mutant_;
  const BudgetTerms terms_;
  const std::vector<int> rates_;  // clock rates of the gateways, then of the divider
  const int depth_;
  const bool granted_;
  std::unordered_map<std::string, int> seen_;
  std::vector<std::string> trace_;
  std::string violation_;
};

// Search depth; CURLEWDOOR_MODEL_DEPTH overrides it.
int Depth() {
  const char* given = std::getenv("CURLEWDOOR_MODEL_DEPTH");
  return given != nullptr ? std::atoi(given) : 8;
}

TEST(BudgetModel, PartsNeverSumToMoreThanTheWhole) {
  std::size_t states = 0;
  for (const std::vector<int>& rates :
       {std::vector<int>{1, 1, 1, 2}, {2, 2, 2, 1}, {1, 2, 1, 2}, {1, 1, 1, 1}}) {
    for (const bool granted : {false, true}) {
      Check check(Mutant::kNone, granted ? 3 : 0, rates, Depth(), granted);
      EXPECT_EQ(check.Run(), "");
      states += check.states();
    }
  }
  std::printf("model check: %zu states to depth %d, four settings of clocks\n", states, Depth());
  EXPECT_GT(states, 10'000u);
}

TEST(BudgetModel, MutantsAreFound) {
  const std::pair<Mutant, const char*> mutants[] = {
      {Mutant::kGrantsBeforeRelease, "granting before the shrink is acknowledged"},
      {Mutant::kNewDividerDoesNotWait, "a new divider without its wait"},
      {Mutant::kRestartKeepsSpending, "a restart that keeps spending"},
      {Mutant::kNoReserve, "safe parts not set aside"},
      {Mutant::kStaleRequestRenews, "a question of before the holding renewed by it"},
      {Mutant::kGrantOfOtherIncarnation, "a grant to an earlier life taken by the next one"}};
  for (const auto& [mutant, name] : mutants) {
    std::string trace;
    for (int depth = 4; depth <= 12 && trace.empty(); ++depth)
      trace = Check(mutant, mutant == Mutant::kNoReserve ? 3 : 0, {1, 1, 1, 2}, depth, true).Run();
    EXPECT_NE(trace, "") << name;
    std::printf("%s: %s\n", name, trace.c_str());
  }
}

TEST(DivideFairly, IsMaxMinFairAndNeverAboveTheWhole) {
  EXPECT_EQ(DivideFairly(9, {1, 10, 10}), (std::vector<Units>{1, 4, 4}));
  EXPECT_EQ(DivideFairly(4, {1'000'000, 1, 1}), (std::vector<Units>{2, 1, 1}));
  EXPECT_EQ(DivideFairly(2, {5, 5, 5}), (std::vector<Units>{1, 1, 0}));
  EXPECT_EQ(DivideFairly(100, {3, 4}), (std::vector<Units>{3, 4}));
  EXPECT_EQ(DivideFairly(0, {3, 4}), (std::vector<Units>{0, 0}));
  EXPECT_EQ(DivideFairly(-5, {3, -4}), (std::vector<Units>{0, 0}));
  EXPECT_TRUE(DivideFairly(5, {}).empty());
  std::mt19937_64 random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<Units> wants(1 + random() % 9);
    for (Units& want : wants) want = static_cast<Units>(random() % 50);
    const auto whole = static_cast<Units>(random() % 120);
    const auto parts = DivideFairly(whole, wants);
    Units sum = 0, wanted = 0, least = whole + 1;
    for (std::size_t g = 0; g < wants.size(); ++g) {
      sum += parts[g];
      wanted += wants[g];
      EXPECT_LE(parts[g], wants[g]);
      if (parts[g] < wants[g]) least = std::min(least, parts[g]);
    }
    EXPECT_EQ(sum, std::min(whole, wanted));
    for (Units part : parts) EXPECT_LE(part, least + 1) << "nobody has more than one above who lacks some";
  }
}

// Randomly lost, repeated and late messages of a hundred gateways, changing dividers, restarts and clocks at
// the bound. Sums what each gateway considers in force, in true time.
TEST(Budgets, TheWholeIsKeptOverManySeeds) {
  for (const std::size_t gateways : {std::size_t{12}, std::size_t{100}}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      std::mt19937_64 random(seed);
      const auto below = [&](std::uint64_t n) { return random() % n; };
      BudgetTerms terms{200, 50, gateways, {}};
      terms.lease.lease = std::chrono::milliseconds(1500);
      terms.lease.clock_bound = 0.01;
      std::vector<Allocation> parts;
      std::vector<double> rates;
      for (std::size_t g = 0; g < gateways; ++g) {
        parts.emplace_back(terms, g + 1);
        rates.push_back(0.99 + 0.02 * static_cast<double>(below(1000)) / 1000);
      }
      const auto at = [&](double now, double rate) {
        return Time{} +
               std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000 + now * rate));
      };
      double rate_of_divider = 0.99, now = 0;
      Divider divider(terms, 1, at(0, rate_of_divider) - seconds(100));
      std::uint64_t token = 1, incarnation = 1000;
      std::vector<std::pair<double, Message>> messages;
      Units nearest = 0;
      for (int step = 0; step < 4000; ++step) {
        now += 0.005;
        const std::size_t g = below(gateways);
        if (below(2) == 0)
          messages.push_back(
              {now, {true, g, parts[g].Ask(at(now, rates[g]), static_cast<Units>(below(60))), {}}});
        if (below(500) == 0) parts[g] = Allocation(terms, ++incarnation);
        if (below(800) == 0) {
          rate_of_divider = 0.99 + 0.02 * static_cast<double>(below(2));
          divider = Divider(terms, ++token, at(now, rate_of_divider));
        }
        for (int i = 0; i < 3 && !messages.empty(); ++i) {
          const std::size_t which = below(3) == 0 ? below(messages.size()) : 0;
          const Message message = messages[which].second;
          if (below(10) != 0)
            messages.erase(messages.begin() +
                           static_cast<std::ptrdiff_t>(which));  // else it is delivered again
          if (below(10) == 0) continue;
          if (message.sequence) {
            messages.push_back(
                {now,
                 {false, message.gateway, {}, divider.OnRequest(at(now, rate_of_divider), message.want)}});
          } else {
            parts[message.gateway].OnGrant(at(now, rates[message.gateway]), message.grant);
          }
        }
        if (messages.size() > 400) messages.erase(messages.begin());
        Units sum = 0;
        for (std::size_t each = 0; each < gateways; ++each) sum += parts[each].Allowed(at(now, rates[each]));
        nearest = std::max(nearest, sum);
        ASSERT_LE(sum, terms.whole) << "seed " << seed << ", " << gateways << " gateways, " << now << " s";
      }
      EXPECT_GT(nearest, terms.whole / 2) << "nothing was divided: seed " << seed;
    }
  }
}

}  // namespace
}  // namespace curlewdoor::budget
