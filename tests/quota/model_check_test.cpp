// Model check, to a bounded depth, of all interleavings of three gateways with the real `Leases` and two core
// members with the real `QuotaCounters`, one of which holds a tenant's counter: requests at any gateway; adds
// and replies that are late, reordered between gateways or lost; a holder that crashes and restarts; a
// counter that moves to the other member; a partitioned gateway; and window edges in between.
//
// A state is the sequence of steps that led to it, replayed for each further step. Invariants: in a window in
// which one holder counted throughout, and heard every gateway or reserved its share, at most the quota is
// admitted; in any other window at most one counter's quota plus the shares of the other gateways. The
// mutations change the model around the real classes.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "../seen_states.hpp"
#include "logic/leases.hpp"
#include "quota/quota_counters.hpp"
#include "quota/quota_plan.hpp"
#include "util/hash.hpp"

namespace curlewdoor::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kGateways = 3;
constexpr int kClaims = 6;        // requested at once ...
constexpr double kUnits = 2;      // ... each of this many units
constexpr double kQuota = 12;     // per window
constexpr double kMostShare = 4;  // of kQuota: what a gateway may admit in addition while the counter fails
constexpr Duration kWindow = seconds(1), kTick = kWindow / 2, kWait = milliseconds(1);

enum class Mutation {
  kNone,
  kFromZero,             // a new holder counts at once, from zero
  kKeepBothCounts,       // a moved counter stays active at the old holder and counts at once at the new one
  kLeaseOutlivesWindow,  // a lease that is answered after its window's edge is used in the next window
  kCountsSelfOnly,       // a partitioned gateway takes its own use for the total
  kNotReserved,          // no shares are reserved for unreachable gateways
};

struct Limits {
  int depth = 9;
  std::size_t states = 150'000;  // stops going deeper above this number
  int floods = 6, ticks = 5, crashes = 1, moves = 1, cuts = 1, late = 1;
};

enum Kind : std::uint8_t {
  kFlood,
  kExchange,
  kArrive,
  kAnswer,
  kGiveUp,
  kLose,
  kCut,
  kHeal,
  kNotify,  // gateway
  kAdvanceTime,
  kCrash,
  kRestart,
  kMove,
  kKinds
};
constexpr const char* kNames[] = {"flood", "exchange", "arrive", "answer", "give up", "lose", "cut",
                                  "heal",  "tell",     "tick",   "crash",  "restart", "move"};
struct Action {
  Kind kind = kFlood;
  std::uint8_t target = 0;
};
constexpr bool OfGateway(Kind kind) { return kind <= kNotify; }

template <typename... Values>
void AppendBytes(std::string& key, const Values&... values) {
  (key.append(reinterpret_cast<const char*>(&values), sizeof values), ...);
}

class Model {
 public:
  Model(Mutation mutation, const Limits& limits) : mutation_(mutation), limits_(limits) {
    Plan plan;
    plan.name = "anna";
    plan.rate = kQuota / Seconds(kWindow);
    plan.burst = kQuota;
    plan.window = kWindow;
    plan_ = std::make_shared<const Plan>(plan);
    now_ = start_;
    for (std::size_t i = 0; i < kGateways; ++i) gateways_[i] = std::make_unique<Gateway>(*this, i);
    for (auto& holder : holders_) holder.counts.Begin(now_ - seconds(10));
    UpdateReachability();
    window_.undisturbed = true;
  }

  bool Do(Action action) { return ApplyStep(action); }  // false: not possible in this state
  const std::string& violation() const { return violation_; }
  double most() const { return most_; }

  // Everything that determines future behaviour. Gateways are distinguished only by their state.
  std::string Key() const {
    std::vector<std::string> each;
    for (std::size_t i = 0; i < kGateways; ++i) {
      std::string key;
      const Gateway& g = *gateways_[i];
      if (const Leases::Customer* c = g.customer)
        AppendBytes(key, c->window, c->leased, c->level, c->total, c->local_added, c->unposted,
                    c->assumed_use, c->lease_size, c->local_use, c->total_use, c->own_spent, c->calling,
                    c->given_up, c->call_window, c->call_lease, c->call_unposted, c->waiting.size(),
                    c->lease_window, c->lease_at, c->usage_at, c->refilled_at);
      if (const Leases::Customer* c = g.customer)
        AppendBytes(key, c->allocated.Held(now_, kShareLifetime),
                    c->allocated.failing_since().value_or(TimePoint{}),
                    c->allocated.failed_at().value_or(TimePoint{}));
      const QuotaState& known = g.leases.state();
      AppendBytes(key, known.counter_down, known.failed_calls, known.mean_admitted, known.mean_counted,
                  known.next_probe_at, g.cut, g.cut_known, g.knows_holder, g.call.has_value());
      if (g.call)
        AppendBytes(key, g.call->add.name.value, g.call->add.amount, g.call->at, g.call->arrived,
                    g.call->added.value_or(QuotaCounters::Added{-1, 0}), g.call->to);
      for (const Holder& holder : holders_) {
        for (const auto& [target, at, name, amount, use, held_share, counted] : holder.adds)
          if (target == i) AppendBytes(key, at, name, amount, use, held_share, counted);
        key += '|';
      }
      each.push_back(std::move(key));
    }
    std::sort(each.begin(), each.end());
    std::string key;
    for (const auto& one : each) key += one;
    for (const Holder& holder : holders_)
      AppendBytes(key, holder.up, holder.counts.started(), holder.started);
    AppendBytes(key, now_, holder_index_, floods_, ticks_, crashes_, moves_, cuts_, late_, window_.units,
                window_.undisturbed, after_.units, after_.undisturbed);
    return key;
  }

 private:
  struct Call {
    AddToCounter add;
    TimePoint at;
    bool arrived = false;
    std::optional<QuotaCounters::Added> added{};
    std::size_t to = 0;
  };
  struct Gateway : Leases::Port {
    Gateway(Model& model, std::size_t number)
        : model(model), number(number), rng(number), leases(*this, rng) {
      SetGatewayCount(static_cast<int>(kGateways));
    }
    void SetGatewayCount(int gateways) {
      Leases::Options options = MakeLeaseOptions(gateways, kWait, number + 1);
      options.largest_request = kUnits;
      if (gateways == 1) options.even_share = 1;
      leases.Configure(model.now_, options);
    }
    bool HasWaiting() const { return customer != nullptr && !customer->waiting.empty(); }
    void Admit(Leases::Claim&) override { model.RecordAdmission(); }
    void Deny(Leases::Claim&, Duration) override {}
    void Add(const std::string&, const AddToCounter& add) override {
      call = Call{add, model.now_, false, {}, knows_holder ? model.holder_index_ : from};
    }
    void StartTimer(const SetTimer& timer) override { token = timer.token; }
    void WriteLog(const WriteLogLine&) override {}
    Model& model;
    const std::size_t number;
    std::mt19937_64 rng;
    Leases leases;
    Leases::Customer* customer = nullptr;
    std::deque<Leases::Claim> claims;
    std::optional<Call> call;
    TimerToken token;
    std::size_t from = 0;                // the holder it knows ...
    bool knows_holder = true;            // ... and whether it knows the current one
    bool cut = false, cut_known = true;  // cut_known: the holder knows whether it is partitioned
  };
  struct Holder {
    QuotaCounters counts;
    bool up = true;
    TimePoint started{};
    std::vector<std::tuple<std::size_t, TimePoint, std::uint64_t, double, double, double, bool>> adds;
  };
  struct Window {
    double units = 0;
    bool undisturbed = true;
  };

  void RecordAdmission() {
    window_.units += kUnits;
    most_ = std::max(most_, window_.units);
    if (window_.undisturbed && window_.units > kQuota + 1e-6)
      violation_ = "more than the quota of a calm window";
    if (window_.units > kQuota + (kGateways - 1) * kMostShare + 1e-6)
      violation_ = "more than the quota and the shares of a window";
  }

  std::optional<QuotaCounters::Added> AddAt(std::size_t holder, std::size_t gateway,
                                            const AddToCounter& add) {
    Holder& h = holders_[holder];
    if (holder != holder_index_ && mutation_ != Mutation::kKeepBothCounts) return std::nullopt;
    const auto added = h.counts.Add(now_, {"anna", "g" + std::to_string(gateway), add.name, add.lifetime,
                                           add.amount, kQuota, add.use, add.held_share, add.window_began});
    if (h.counts.started())  // also a refused add tells what its gateway uses and holds
      h.adds.emplace_back(gateway, now_, add.name.value, add.amount, add.use, add.held_share,
                          added.has_value());
    return added;
  }

  void Arrive(Gateway& g) {
    g.call->arrived = true;
    g.call->added = AddAt(g.call->to, g.number, g.call->add);
  }
  void Answer(Gateway& g) {
    const Call call = *std::exchange(g.call, std::nullopt);
    const auto window = g.customer->call_window;
    const double lease = g.customer->call_lease;
    const Outcome outcome = call.added ? Outcome::kOk : Outcome::kConnectFailed;
    const auto added = call.added.value_or(QuotaCounters::Added{});
    g.leases.OnCounterReply(now_, {call.add.name, outcome, added.total, {}, added.share});
    if (mutation_ == Mutation::kLeaseOutlivesWindow && call.added && g.customer->window != window)
      g.customer->leased += lease;
  }
  void TimeOut(Gateway& g) {
    const Call call = *std::exchange(g.call, std::nullopt);
    g.leases.OnCounterReply(now_, {call.add.name, Outcome::kTimeout, 0, {}});
  }
  bool HasWaiting() const {
    return std::any_of(gateways_.begin(), gateways_.end(), [](const auto& g) { return g->HasWaiting(); });
  }
  bool Reaches(const Gateway& g) const { return !g.cut && holders_[g.call->to].up; }
  void MarkDisturbed() { window_.undisturbed = after_.undisturbed = false; }

  void UpdateReachability() {
    std::set<std::string> unreachable, all;
    for (const auto& g : gateways_) {
      all.insert("g" + std::to_string(g->number));
      if (g->cut && g->cut_known && mutation_ != Mutation::kNotReserved)
        unreachable.insert("g" + std::to_string(g->number));
    }
    if (mutation_ == Mutation::kNotReserved) all.clear();
    for (auto& holder : holders_) holder.counts.SetUnreachable(unreachable, all);
  }
  void Begin(Holder& holder) {
    holder.adds.clear();
    holder.counts = QuotaCounters();
    holder.started = now_;
    const bool at_once = mutation_ == Mutation::kFromZero || mutation_ == Mutation::kKeepBothCounts;
    holder.counts.Begin(at_once ? now_ - seconds(10) : now_);
    UpdateReachability();
  }

  bool ApplyStep(Action action) {
    const Kind kind = action.kind;
    Gateway& g = *gateways_[action.target % kGateways];
    switch (kind) {
      case kFlood:
        if (floods_ == limits_.floods || g.HasWaiting()) return false;
        ++floods_;
        for (int i = 0; i < kClaims; ++i) {
          Leases::Claim& claim = g.claims.emplace_back();
          claim.units = kUnits;
          claim.arrived = now_;
          g.leases.Acquire(now_, claim, "anna", plan_);
          g.customer = claim.customer;
        }
        return true;
      case kExchange: {
        if (!g.call || g.call->arrived || !Reaches(g)) return false;
        for (int i = 0; i < 2 * kClaims && g.call; ++i) {
          Arrive(g);
          Answer(g);
        }
        return true;
      }
      case kArrive:
        if (!g.call || g.call->arrived || !Reaches(g)) return false;
        Arrive(g);
        return true;
      case kAnswer:
        if (!g.call || !g.call->arrived || !Reaches(g)) return false;
        Answer(g);
        return true;
      case kGiveUp:  // the wait ends for all waiting claims
        if (late_ == limits_.late || !HasWaiting()) return false;
        ++late_;
        MarkDisturbed();
        now_ += kWait;
        for (auto& each : gateways_)
          if (each->HasWaiting()) each->leases.OnTimer(now_, each->token);
        return true;
      case kLose:
        if (!g.call || Reaches(g)) return false;
        TimeOut(g);
        return true;
      case kCut:
        if (cuts_ == limits_.cuts || g.cut) return false;
        ++cuts_;
        g.cut = true;
        g.cut_known = false;
        MarkDisturbed();
        if (mutation_ == Mutation::kCountsSelfOnly) g.SetGatewayCount(1);
        return true;
      case kHeal:
        if (!g.cut) return false;
        g.cut = false;
        g.cut_known = true;
        MarkDisturbed();
        g.SetGatewayCount(static_cast<int>(kGateways));
        UpdateReachability();
        return true;
      case kNotify:  // the holder detects the partition, or the gateway learns of the new holder
        if (!g.knows_holder) {
          g.knows_holder = true;
          return true;
        }
        if (!g.cut || g.cut_known) return false;
        g.cut_known = true;
        UpdateReachability();
        return true;
      case kAdvanceTime:
        if (ticks_ == limits_.ticks || (HasWaiting() && ticks_ % 2 == 0)) return false;
        now_ = start_ + ++ticks_ * kTick;
        for (auto& each : gateways_) {
          // Claims that wait over an edge arrived just before it; no call is pending for more than a window.
          if (each->HasWaiting())
            for (Leases::Claim* claim : each->customer->waiting) claim->arrived = now_;
          if (each->call && each->call->at + kTick < now_) TimeOut(*each);
        }
        if (ticks_ % 2 == 0) NextWindow();
        return true;
      case kCrash:
        if (crashes_ == limits_.crashes || !holders_[holder_index_].up) return false;
        ++crashes_;
        holders_[holder_index_].up = false;
        holders_[holder_index_].counts.Stop();
        MarkDisturbed();
        return true;
      case kRestart: {
        Holder& holder = holders_[holder_index_];
        if (holder.up) return false;
        holder.up = true;
        Begin(holder);
        MarkDisturbed();
        return true;
      }
      case kMove:
        if (moves_ == limits_.moves || !holders_[holder_index_].up) return false;
        ++moves_;
        for (auto& each : gateways_) {
          each->from = holder_index_;
          each->knows_holder = false;
        }
        if (mutation_ != Mutation::kKeepBothCounts) holders_[holder_index_].counts.Stop();
        holder_index_ = 1 - holder_index_;
        Begin(holders_[holder_index_]);
        MarkDisturbed();
        return true;
      case kKinds:
        break;
    }
    return false;
  }

  void NextWindow() {
    window_ = after_;
    window_.units = 0;
    after_ = Window{};
    const Holder& holder = holders_[holder_index_];
    bool heard = holder.up && holder.counts.started() && now_ - holder.started >= kWindow;
    for (auto& g : gateways_) {
      heard = heard && (!g->cut || g->cut_known);
      g->knows_holder = true;  // by then the gateways know the holder
    }
    if (!heard) window_.undisturbed = false;
  }

  const Mutation mutation_;
  const Limits limits_;
  // An edge of the tenant's windows.
  const TimePoint start_ =
      TimePoint(seconds(1000)) - Duration(StableHash("anna") % static_cast<std::uint64_t>(kWindow.count()));
  TimePoint now_;
  std::shared_ptr<const Plan> plan_;
  std::array<Holder, 2> holders_;
  std::array<std::unique_ptr<Gateway>, kGateways> gateways_;
  std::size_t holder_index_ = 0;  // which member holds the counter
  int floods_ = 0, ticks_ = 0, crashes_ = 0, moves_ = 0, cuts_ = 0, late_ = 0;
  Window window_, after_;
  double most_ = 0;
  std::string violation_;
};

// Breadth-first search: the first trace that violates an invariant is a shortest one.
struct Result {
  std::string violation;
  std::size_t states = 0;
  int depth = 0;
  double most = 0;
};

Result Explore(Mutation mutation, const Limits& limits) {
  Result result;
  Seen64 seen;
  std::vector<std::vector<Action>> frontier{{}}, next;
  for (result.depth = 0; result.depth < limits.depth && !frontier.empty(); ++result.depth) {
    if (result.states > limits.states) break;
    next.clear();
    for (const auto& path : frontier) {
      std::unique_ptr<Model> model;  // reused while steps are not possible
      for (int kind = 0; kind < kKinds; ++kind)
        for (std::uint8_t target = 0; target < (OfGateway(Kind(kind)) ? kGateways : 1); ++target) {
          if (model == nullptr) {
            model = std::make_unique<Model>(mutation, limits);
            for (const Action step : path) model->Do(step);
          }
          const Action action{Kind(kind), target};
          if (!model->Do(action)) continue;
          const auto after = std::exchange(model, nullptr);
          result.most = std::max(result.most, after->most());
          if (after->violation().empty() && !seen.Add(StableHash(after->Key()))) continue;
          ++result.states;
          next.push_back(path);
          next.back().push_back(action);
          if (after->violation().empty()) continue;
          result.violation = after->violation() + ":";
          for (const Action step : next.back()) {
            result.violation += std::string(" ") + kNames[step.kind];
            if (OfGateway(step.kind)) result.violation += " " + std::to_string(step.target + 1);
            result.violation += ";";
          }
          return result;
        }
    }
    frontier.swap(next);
  }
  return result;
}

#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kStates = 5'000;
#else
constexpr std::size_t kStates = 12'000;
#endif

BOOST_AUTO_TEST_CASE(no_interleaving_lets_in_more_than_the_quota) {
  struct Case {
    const char* name;
    Limits limits;
  };
  Limits crash, move, cut, late, all;
  crash.moves = crash.cuts = crash.late = 0;
  move.crashes = move.cuts = move.late = 0;
  cut.crashes = cut.moves = cut.late = 0;
  late.crashes = late.moves = late.cuts = 0;
  late.late = 2;
  for (auto [name, limits] : std::vector<Case>{
           {"a crash", crash}, {"a move", move}, {"a cut", cut}, {"late answers", late}, {"all", all}}) {
    limits.depth = 40;
    limits.states = kStates;
    const Result result = Explore(Mutation::kNone, limits);
    BOOST_TEST_MESSAGE(name << ": " << result.states << " states to depth " << result.depth << ", at most "
                            << result.most << " of " << kQuota << " in a window");
    BOOST_CHECK_MESSAGE(result.violation.empty(), name << ": " << result.violation);
    BOOST_TEST(result.states >= kStates / 10);
  }
}

BOOST_AUTO_TEST_CASE(every_mutation_is_caught_with_a_trace) {
  struct Case {
    Mutation mutation;
    const char* name;
    Limits limits;
  };
  std::vector<Case> cases{{Mutation::kFromZero, "restarts from zero", {}},
                          {Mutation::kKeepBothCounts, "a move that keeps both", {}},
                          {Mutation::kLeaseOutlivesWindow, "a lease past the window's edge", {}},
                          {Mutation::kCountsSelfOnly, "a share without membership", {}},
                          {Mutation::kNotReserved, "those away aren't reserved for", {}}};
  for (auto& [mutation, name, limits] : cases) {
    limits.depth = 16;
    limits.states = 200'000;
    limits.crashes = mutation == Mutation::kFromZero ? 2 : 0;
    limits.moves = mutation == Mutation::kKeepBothCounts ? 1 : 0;
    limits.cuts = mutation == Mutation::kCountsSelfOnly || mutation == Mutation::kNotReserved ? 1 : 0;
    limits.late = 0;
    // Its trace is the longest: a share must first be allocated.
    if (mutation == Mutation::kNotReserved) limits.floods = 3;
    const Result result = Explore(mutation, limits);
    BOOST_TEST_MESSAGE(name << ": " << result.states << " states to depth " << result.depth << ": "
                            << result.violation);
    BOOST_TEST(!result.violation.empty(), name);
  }
}

}  // namespace
}  // namespace curlewdoor::quota
