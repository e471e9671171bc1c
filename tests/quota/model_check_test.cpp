// All interleavings, to a depth, of three gateways with the real `Leases` and two members of the core with
// the real `HeldCounts`, one of which holds a tenant's count: requests at any gateway, adds and their answers
// that come late, in any order of the gateways, or never; a holder that dies and begins anew, a count that
// moves to the other member, a gateway that is cut off, and edges of windows in between.
//
// A state is the steps that led to it: they are played again for each step further. What is looked at: in a
// window through which every gateway was heard, or its share reserved, by one holder that counted all of it,
// no more than the quota is let in; in any other window no more than one count's and the shares of the other
// gateways. Each mutation is one of the model's, around the real parts.
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

namespace curlewdoor::counting {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kGateways = 3;
constexpr int kClaims = 6;        // asked for at once ...
constexpr double kUnits = 2;      // ... each of so many units
constexpr double kQuota = 12;     // of a window
constexpr double kMostShare = 4;  // of it, what a gateway may let in besides while the count fails
constexpr Duration kWindow = seconds(1), kTick = kWindow / 2, kWait = milliseconds(1);

enum class Fault {
  kNone,
  kFromZero,     // a holder that begins counts at once, from nothing
  kKeepBoth,     // a count that moves stays where it was, and begins at once where it goes
  kPastTheEdge,  // a lease whose answer comes after its window's edge is held in the next window
  kAlone,        // a gateway that is cut off takes its own use for all there is
  kNotReserved,  // those that aren't heard are forgotten at once
};

struct Limits {
  int depth = 9;
  std::size_t states = 150'000;  // no deeper beyond so many
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
  kTell,  // gateway
  kTick_,
  kCrash,
  kRestart,
  kMove,
  kKinds
};
constexpr const char* kNames[] = {"flood", "exchange", "arrive", "answer", "give up", "lose", "cut",
                                  "heal",  "tell",     "tick",   "crash",  "restart", "move"};
struct Action {
  Kind kind = kFlood;
  std::uint8_t who = 0;
};
constexpr bool OfGateway(Kind kind) { return kind <= kTell; }

template <typename... Values>
void Put(std::string& key, const Values&... values) {
  (key.append(reinterpret_cast<const char*>(&values), sizeof values), ...);
}

class Model {
 public:
  Model(Fault fault, const Limits& limits) : fault_(fault), limits_(limits) {
    Plan plan;
    plan.name = "anna";
    plan.rate = kQuota / Seconds(kWindow);
    plan.burst = kQuota;
    plan.window = kWindow;
    plan_ = std::make_shared<const Plan>(plan);
    now_ = start_;
    for (std::size_t i = 0; i < kGateways; ++i) gateways_[i] = std::make_unique<Gateway>(*this, i);
    for (auto& holder : holders_) holder.counts.Begin(now_ - seconds(10));
    Look();
    window_.clean = true;
  }

  bool Do(Action action) { return Act(action); }  // false: it can't happen now
  const std::string& wrong() const { return wrong_; }
  double most() const { return most_; }

  // All that the future rests on. Gateways are told apart by what they know and have done only.
  std::string Key() const {
    std::vector<std::string> each;
    for (std::size_t i = 0; i < kGateways; ++i) {
      std::string key;
      const Gateway& g = *gateways_[i];
      if (const Leases::Customer* c = g.found)
        Put(key, c->window, c->held, c->level, c->total, c->own_added, c->owed, c->guessed, c->lease,
            c->own_use, c->all_use, c->own_spent, c->calling, c->given_up, c->call_window, c->call_lease,
            c->call_owed, c->waiting.size(), c->leased_window, c->leased_at, c->use_at, c->refilled,
            c->failed);
      const CountingMemory& known = g.leases.memory();
      Put(key, known.silent, known.call_failures, known.admitted, known.counted, known.next_test, g.cut,
          g.told, g.moved, g.call.has_value());
      if (g.call)
        Put(key, g.call->add.name.value, g.call->add.amount, g.call->at, g.call->arrived,
            g.call->total.value_or(-1), g.call->to);
      for (const Holder& holder : holders_) {
        for (const auto& [who, at, name, amount] : holder.adds)
          if (who == i) Put(key, at, name, amount);
        key += '|';
      }
      each.push_back(std::move(key));
    }
    std::sort(each.begin(), each.end());
    std::string key;
    for (const auto& one : each) key += one;
    for (const Holder& holder : holders_) Put(key, holder.up, holder.counts.begun(), holder.begun);
    Put(key, now_, at_, floods_, ticks_, crashes_, moves_, cuts_, late_, window_.units, window_.clean,
        after_.units, after_.clean);
    return key;
  }

 private:
  struct Call {
    AddCount add;
    TimePoint at;
    bool arrived = false;
    std::optional<double> total{};
    std::size_t to = 0;
  };
  struct Gateway : Leases::Port {
    Gateway(Model& model, std::size_t number)
        : model(model), number(number), rng(number), leases(*this, rng) {
      Set(static_cast<int>(kGateways));
    }
    void Set(int gateways) {
      Leases::Options options = LeaseOptions(gateways, kWait, number + 1, 20);
      options.largest_request = kUnits;
      if (gateways == 1) options.share_prior = options.least_use_tight = 0;
      leases.Configure(model.now_, options);
    }
    bool Waits() const { return found != nullptr && !found->waiting.empty(); }
    void Admit(Leases::Claim&) override { model.LetIn(); }
    void Deny(Leases::Claim&, Duration) override {}
    void Add(const std::string&, const AddCount& add) override {
      call = Call{add, model.now_, false, {}, moved ? model.at_ : from};
    }
    void Start(const SetTimer& timer) override { token = timer.token; }
    void Note(const Log&) override {}
    Model& model;
    const std::size_t number;
    std::mt19937_64 rng;
    Leases leases;
    Leases::Customer* found = nullptr;
    std::deque<Leases::Claim> claims;
    std::optional<Call> call;
    TimerToken token;
    std::size_t from = 0;           // the holder it knows of ...
    bool moved = true;              // ... and whether that is the present one
    bool cut = false, told = true;  // told: the holder knows whether it is cut
  };
  struct Holder {
    HeldCounts counts;
    bool up = true;
    TimePoint begun{};
    std::vector<std::tuple<std::size_t, TimePoint, std::uint64_t, double>> adds;
  };
  struct Window {
    double units = 0;
    bool clean = true;
  };

  void LetIn() {
    window_.units += kUnits;
    most_ = std::max(most_, window_.units);
    if (window_.clean && window_.units > kQuota + 1e-6) wrong_ = "more than the quota of a calm window";
    if (window_.units > kQuota + (kGateways - 1) * kMostShare + 1e-6)
      wrong_ = "more than the quota and the shares of a window";
  }

  std::optional<double> AddAt(std::size_t holder, std::size_t gateway, const AddCount& add) {
    Holder& h = holders_[holder];
    if (holder != at_ && fault_ != Fault::kKeepBoth) return std::nullopt;
    const auto total = h.counts.Add(
        now_, {"anna", "g" + std::to_string(gateway), add.name, add.lifetime, add.amount, kQuota});
    if (total) h.adds.emplace_back(gateway, now_, add.name.value, add.amount);
    return total;
  }

  void Arrive(Gateway& g) {
    g.call->arrived = true;
    g.call->total = AddAt(g.call->to, g.number, g.call->add);
  }
  void Answer(Gateway& g) {
    const Call call = *std::exchange(g.call, std::nullopt);
    const auto window = g.found->call_window;
    const double lease = g.found->call_lease;
    const Outcome outcome = call.total ? Outcome::kOk : Outcome::kConnectFailed;
    g.leases.OnCount(now_, {call.add.name, outcome, call.total.value_or(0), {}});
    if (fault_ == Fault::kPastTheEdge && call.total && g.found->window != window) g.found->held += lease;
  }
  void End(Gateway& g) {
    const Call call = *std::exchange(g.call, std::nullopt);
    g.leases.OnCount(now_, {call.add.name, Outcome::kTimeout, 0, {}});
  }
  bool Waits() const {
    return std::any_of(gateways_.begin(), gateways_.end(), [](const auto& g) { return g->Waits(); });
  }
  bool Reaches(const Gateway& g) const { return !g.cut && holders_[g.call->to].up; }
  void Troubled() { window_.clean = after_.clean = false; }

  void Look() {
    std::set<std::string> away, all;
    for (const auto& g : gateways_) {
      all.insert("g" + std::to_string(g->number));
      if (g->cut && g->told && fault_ != Fault::kNotReserved) away.insert("g" + std::to_string(g->number));
    }
    if (fault_ == Fault::kNotReserved) all.clear();
    for (auto& holder : holders_) holder.counts.SetAway(now_, away, all);
  }
  void Begin(Holder& holder) {
    holder.adds.clear();
    holder.counts = HeldCounts();
    holder.begun = now_;
    const bool at_once = fault_ == Fault::kFromZero || fault_ == Fault::kKeepBoth;
    holder.counts.Begin(at_once ? now_ - seconds(10) : now_);
    Look();
  }

  bool Act(Action action) {
    const Kind kind = action.kind;
    Gateway& g = *gateways_[action.who % kGateways];
    switch (kind) {
      case kFlood:
        if (floods_ == limits_.floods || g.Waits()) return false;
        ++floods_;
        for (int i = 0; i < kClaims; ++i) {
          Leases::Claim& claim = g.claims.emplace_back();
          claim.units = kUnits;
          claim.arrived = now_;
          g.leases.Ask(now_, claim, "anna", plan_);
          g.found = claim.customer;
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
      case kGiveUp:  // the time is up for all that wait
        if (late_ == limits_.late || !Waits()) return false;
        ++late_;
        Troubled();
        now_ += kWait;
        for (auto& each : gateways_)
          if (each->Waits()) each->leases.OnTimer(now_, each->token);
        return true;
      case kLose:
        if (!g.call || Reaches(g)) return false;
        End(g);
        return true;
      case kCut:
        if (cuts_ == limits_.cuts || g.cut) return false;
        ++cuts_;
        g.cut = true;
        g.told = false;
        Troubled();
        if (fault_ == Fault::kAlone) g.Set(1);
        return true;
      case kHeal:
        if (!g.cut) return false;
        g.cut = false;
        g.told = true;
        Troubled();
        g.Set(static_cast<int>(kGateways));
        Look();
        return true;
      case kTell:  // the holder that it is cut off, or it where the count stands
        if (!g.moved) {
          g.moved = true;
          return true;
        }
        if (!g.cut || g.told) return false;
        g.told = true;
        Look();
        return true;
      case kTick_:
        if (ticks_ == limits_.ticks || (Waits() && ticks_ % 2 == 0)) return false;
        now_ = start_ + ++ticks_ * kTick;
        for (auto& each : gateways_) {
          // What waits over an edge came just before it; no call is out for longer than a window.
          if (each->Waits())
            for (Leases::Claim* claim : each->found->waiting) claim->arrived = now_;
          if (each->call && each->call->at + kTick < now_) End(*each);
        }
        if (ticks_ % 2 == 0) NextWindow();
        return true;
      case kCrash:
        if (crashes_ == limits_.crashes || !holders_[at_].up) return false;
        ++crashes_;
        holders_[at_].up = false;
        holders_[at_].counts.Stop();
        Troubled();
        return true;
      case kRestart: {
        Holder& holder = holders_[at_];
        if (holder.up) return false;
        holder.up = true;
        Begin(holder);
        Troubled();
        return true;
      }
      case kMove:
        if (moves_ == limits_.moves || !holders_[at_].up) return false;
        ++moves_;
        for (auto& each : gateways_) {
          each->from = at_;
          each->moved = false;
        }
        if (fault_ != Fault::kKeepBoth) holders_[at_].counts.Stop();
        at_ = 1 - at_;
        Begin(holders_[at_]);
        Troubled();
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
    const Holder& holder = holders_[at_];
    bool heard = holder.up && holder.counts.begun() && now_ - holder.begun >= kWindow;
    for (auto& g : gateways_) {
      heard = heard && (!g->cut || g->told);
      g->moved = true;  // by then it is known where the count stands
    }
    if (!heard) window_.clean = false;
  }

  const Fault fault_;
  const Limits limits_;
  // An edge of its windows.
  const TimePoint start_ =
      TimePoint(seconds(1000)) - Duration(StableHash("anna") % static_cast<std::uint64_t>(kWindow.count()));
  TimePoint now_;
  std::shared_ptr<const Plan> plan_;
  std::array<Holder, 2> holders_;
  std::array<std::unique_ptr<Gateway>, kGateways> gateways_;
  std::size_t at_ = 0;  // which member holds the count
  int floods_ = 0, ticks_ = 0, crashes_ = 0, moves_ = 0, cuts_ = 0, late_ = 0;
  Window window_, after_;
  double most_ = 0;
  std::string wrong_;
};

// By breadth: the first trace that breaks a promise is a shortest one.
struct Found {
  std::string broken;
  std::size_t states = 0;
  int depth = 0;
  double most = 0;
};

Found Walk(Fault fault, const Limits& limits) {
  Found found;
  Seen64 seen;
  std::vector<std::vector<Action>> frontier{{}}, next;
  for (found.depth = 0; found.depth < limits.depth && !frontier.empty(); ++found.depth) {
    if (found.states > limits.states) break;
    next.clear();
    for (const auto& path : frontier) {
      std::unique_ptr<Model> model;  // as long as a step can't happen it stays as it is
      for (int kind = 0; kind < kKinds; ++kind)
        for (std::uint8_t who = 0; who < (OfGateway(Kind(kind)) ? kGateways : 1); ++who) {
          if (model == nullptr) {
            model = std::make_unique<Model>(fault, limits);
            for (const Action step : path) model->Do(step);
          }
          const Action action{Kind(kind), who};
          if (!model->Do(action)) continue;
          const auto after = std::exchange(model, nullptr);
          found.most = std::max(found.most, after->most());
          if (after->wrong().empty() && !seen.Add(StableHash(after->Key()))) continue;
          ++found.states;
          next.push_back(path);
          next.back().push_back(action);
          if (after->wrong().empty()) continue;
          found.broken = after->wrong() + ":";
          for (const Action step : next.back()) {
            found.broken += std::string(" ") + kNames[step.kind];
            if (OfGateway(step.kind)) found.broken += " " + std::to_string(step.who + 1);
            found.broken += ";";
          }
          return found;
        }
    }
    frontier.swap(next);
  }
  return found;
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
    const Found found = Walk(Fault::kNone, limits);
    BOOST_TEST_MESSAGE(name << ": " << found.states << " states to depth " << found.depth << ", at most "
                            << found.most << " of " << kQuota << " in a window");
    BOOST_CHECK_MESSAGE(found.broken.empty(), name << ": " << found.broken);
    BOOST_TEST(found.states >= kStates / 10);
  }
}

BOOST_AUTO_TEST_CASE(every_mutation_is_caught_with_a_trace) {
  struct Case {
    Fault fault;
    const char* name;
    Limits limits;
  };
  std::vector<Case> cases{{Fault::kFromZero, "restarts from zero", {}},
                          {Fault::kKeepBoth, "a move that keeps both", {}},
                          {Fault::kPastTheEdge, "a lease past the window's edge", {}},
                          {Fault::kAlone, "a share without membership", {}},
                          {Fault::kNotReserved, "those away aren't reserved for", {}}};
  for (auto& [fault, name, limits] : cases) {
    limits.depth = 16;
    limits.states = 200'000;
    limits.crashes = fault == Fault::kFromZero ? 2 : 0;
    limits.moves = fault == Fault::kKeepBoth ? 1 : 0;
    limits.cuts = fault == Fault::kAlone || fault == Fault::kNotReserved ? 1 : 0;
    limits.late = 0;
    const Found found = Walk(fault, limits);
    BOOST_TEST_MESSAGE(name << ": " << found.states << " states to depth " << found.depth << ": "
                            << found.broken);
    BOOST_TEST(!found.broken.empty(), name);
  }
}

}  // namespace
}  // namespace curlewdoor::counting
