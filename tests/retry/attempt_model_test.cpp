// All sequences of events of a client's try, to a depth: what a real host may do with what it was given is
// kept apart from the code under test. Each mutation of the rules must be found, by its shortest trace.
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "retry/attempt.hpp"

namespace curlewdoor::retry {
namespace {

using Kind = AttemptEvent::Kind;
constexpr std::size_t kMostAttempts = 3, kDepth = 16;

bool IsPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// Answers as hosts give them; bound and not.
const std::vector<HostAnswer>& Answers() {
  static const std::vector<HostAnswer> all = [] {
    std::vector<HostAnswer> made;
    for (const bool bound : {true, false}) {
      for (const int status : {200, 404, 408, 421, 429, 500, 503})
        made.push_back({status, bound, false, true, true});
      for (const int status : {400, 421, 429, 503}) made.push_back({status, bound, true, false, true});
      made.push_back({200, bound, false, false, true});  // no seal
      made.push_back({200, bound, false, true, false});  // cut
    }
    return made;
  }();
  return all;
}

// What the world knows of an attempt.
struct Truth {
  bool sent = false;     // a byte has gone: from then on a host may work on it, now or later
  bool refused = false;  // its host has said, for this request and in time, that it has not run it
  auto operator<=>(const Truth&) const = default;
  bool CanRun() const { return sent && !refused; }
};

// How the rules are changed; what is empty is as it should be.
struct Mutation {
  std::string name;
  std::function<std::optional<AttemptEvent>(const Course&, AttemptEvent)> hear;  // nullopt: it isn't heard
  std::function<Ending(Ending)> end;
  std::string sought;  // the fault that it is to lead to; empty: any
};

struct Node {
  Course course;
  std::array<Truth, kMostAttempts> truth{};
  bool over = false;
  auto Key() const { return std::tuple(course.record(), course.state(), truth, over); }
};

struct Found {
  std::size_t states = 0;
  std::string fault;
  std::vector<std::string> trace;  // shortest; empty where none was found
};

std::string Text(const AttemptEvent& event) {
  constexpr const char* kKinds[] = {"bytes-sent", "all-sent", "broken", "answered", "given-up"};
  std::string text =
      std::string(kKinds[static_cast<int>(event.kind)]) + " of " + std::to_string(event.attempt);
  if (event.kind != Kind::kAnswered) return text;
  const HostAnswer& answer = event.answer;
  return text + " " + std::to_string(answer.status) + (answer.bound ? "" : " of-another") +
         (answer.not_run ? " not-run" : "") + (answer.sealed ? " sealed" : "") + (answer.whole ? "" : " cut");
}

class Search {
 public:
  Search(bool repeatable, int most, const Mutation& mutation) : mutation_(mutation), most_(most) {
    Node first;
    first.course = Course(repeatable, most);
    first.course.Begin();
    Add(first, -1, "begin 0");
  }

  Found Run() {
    while (!queue_.empty() && fault_.empty()) {
      const std::size_t at = queue_.front();
      queue_.pop_front();
      if (nodes_[at].depth < kDepth && !nodes_[at].node.over) Expand(at);
    }
    Found found{nodes_.size(), fault_, {}};
    for (int at = fault_.empty() ? -1 : last_; at >= 0; at = nodes_[static_cast<std::size_t>(at)].before)
      found.trace.insert(found.trace.begin(), nodes_[static_cast<std::size_t>(at)].step);
    if (!fault_.empty()) found.trace.push_back(step_);
    return found;
  }

 private:
  struct Reached {
    Node node;
    int before;
    std::size_t depth;
    std::string step;
  };

  void Add(const Node& node, int before, const std::string& step) {
    if (!known_.emplace(node.Key(), true).second) return;
    const std::size_t depth = before < 0 ? 0 : nodes_[static_cast<std::size_t>(before)].depth + 1;
    queue_.push_back(nodes_.size());
    nodes_.push_back({node, before, depth, step});
  }

  // Every event that its connections may tell: of the attempt that is out, and late ones of those before it.
  void Expand(std::size_t at) {
    const Node node = nodes_[at].node;
    for (int attempt = 0; attempt <= node.course.attempt() && fault_.empty(); ++attempt) {
      const bool out = node.course.out() && attempt == node.course.attempt();
      const Truth& truth = node.truth[static_cast<std::size_t>(attempt)];
      for (const Kind kind : {Kind::kBytesSent, Kind::kAllSent, Kind::kBroken, Kind::kGivenUp})
        if (out || kind == Kind::kBroken) Play(at, {kind, attempt, {}});
      for (const HostAnswer& answer : Answers())
        if (truth.sent || !answer.bound) Play(at, {Kind::kAnswered, attempt, answer});
    }
    if (!node.course.record().bound && node.course.state() == AttemptState::kPartSent) {
      Node bound = node;
      bound.course.Bind();
      Add(bound, static_cast<int>(at), "bound");
    }
  }

  void Play(std::size_t at, const AttemptEvent& event) {
    if (!fault_.empty()) return;
    last_ = static_cast<int>(at);
    step_ = Text(event);
    Node node = nodes_[at].node;
    Truth& truth = node.truth[static_cast<std::size_t>(event.attempt)];
    const bool out = node.course.out() && event.attempt == node.course.attempt();
    const bool may_have_run = node.course.record().may_have_run;
    if (event.kind == Kind::kBytesSent || event.kind == Kind::kAllSent) truth.sent = true;
    if (event.kind == Kind::kAnswered && event.answer.bound && out)
      truth.refused = event.answer.not_run || event.answer.status == 421;
    const std::optional<AttemptEvent> heard =
        mutation_.hear ? mutation_.hear(node.course, event) : std::optional(event);
    auto ending = heard ? node.course.Take(*heard) : std::nullopt;
    if (!ending) return Add(node, static_cast<int>(at), step_);
    if (mutation_.end) ending = mutation_.end(*ending);
    if (event.attempt != node.course.attempt()) Fault("ended by an event of another attempt");
    if (event.kind == Kind::kGivenUp)
      return Conclude(node, at, !may_have_run && Judge(*ending) == Verdict::kNotRun);
    for (const bool budget : {true, false})
      for (const bool time : {true, false}) Follow(node, at, event, *ending, budget, time);
  }

  // Given up: its client is told, or has gone.
  void Conclude(Node node, std::size_t at, bool promise) {
    if (promise) CheckPromise(node);
    if (!mutation_.end && promise != node.course.MayPromise()) return Fault("another promise than judged");
    node.over = true;
    Add(node, static_cast<int>(at), step_);
  }

  void Follow(Node node, std::size_t at, const AttemptEvent& event, const Ending& ending, bool budget,
              bool time) {
    const bool bound = node.course.record().bound;
    const int attempts = node.course.record().attempts;
    const Next next = node.course.Follow(ending, budget, time);
    bool can_run = false;
    for (const Truth& truth : node.truth) can_run = can_run || truth.CanRun();
    if (next == Next::kAgain) {
      if (can_run && !node.course.record().repeatable) return Fault("sent again though it may have run");
      if (attempts >= most_) return Fault("more hosts than max_attempts");
      if (bound) return Fault("sent again without its whole body");
      node.course.Begin();
    } else {
      if (next == Next::kPass) CheckPass(node, event);
      if (next == Next::kDecline) CheckPromise(node);
      if (next != Next::kPass && !can_run && budget && time && !bound && attempts < most_)
        return Fault("given up though it has surely not run");
      if (next == Next::kFail && !can_run) return Fault("no promise though it has surely not run");
      node.over = true;
    }
    Add(node, static_cast<int>(at), step_);
  }

  void CheckPass(const Node& node, const AttemptEvent& event) {
    const HostAnswer& answer = event.answer;
    if (event.kind != Kind::kAnswered || event.attempt != node.course.attempt())
      return Fault("passed on what is no answer of this attempt");
    if (!answer.bound) return Fault("passed on an answer to another request");
    if (!answer.whole) return Fault("passed on a cut answer");
    if (answer.status < 300 && !answer.sealed) return Fault("passed on a success without its seal");
    if (IsPromise(answer.status)) return Fault("passed on a promise of a host that may have run it");
  }

  void CheckPromise(const Node& node) {
    for (const Truth& truth : node.truth)
      if (truth.CanRun()) return Fault("promised though a host may run it");
    if (node.course.out()) Fault("promised while an attempt is out");
  }

  void Fault(const std::string& what) {
    if (fault_.empty() && (mutation_.sought.empty() || mutation_.sought == what)) fault_ = what;
  }

  const Mutation& mutation_;
  const int most_;
  std::vector<Reached> nodes_;
  std::map<decltype(Node().Key()), bool> known_;
  std::deque<std::size_t> queue_;
  std::string fault_, step_;
  int last_ = -1;
};

BOOST_AUTO_TEST_CASE(NoSequenceOfEventsBreaksARule) {
  const auto begun = std::chrono::steady_clock::now();
  std::size_t states = 0;
  for (const bool repeatable : {false, true})
    for (int most = 1; most <= static_cast<int>(kMostAttempts); ++most) {
      const Found found = Search(repeatable, most, {}).Run();
      states += found.states;
      std::string trace;
      for (const std::string& step : found.trace) trace += "\n  " + step;
      BOOST_TEST_CONTEXT("repeatable " << repeatable << " most " << most << trace)
      BOOST_TEST(found.fault == "");
    }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  BOOST_TEST_MESSAGE("states " << states << ", depth " << kDepth << ", " << took.count() << " s");
  BOOST_TEST(states > 100u);
}

AttemptEvent As(AttemptEvent event, int attempt) {
  event.attempt = attempt;
  return event;
}

constexpr const char* kTwice = "sent again though it may have run";
constexpr const char* kStranger = "passed on an answer to another request";

const std::vector<Mutation>& Mutations() {
  static const std::vector<Mutation> all{
      {"an answer belongs to whoever waits, by number alone",
       [](const Course& course, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.kind == Kind::kAnswered) event.attempt = course.attempt();
         return event;
       },
       {},
       "passed on what is no answer of this attempt"},
      {"an end of an old connection ends the attempt that is out",
       [](const Course& course, AttemptEvent event) -> std::optional<AttemptEvent> {
         return event.kind == Kind::kBroken ? As(event, course.attempt()) : event;
       },
       {},
       "ended by an event of another attempt"},
      {"sent again after a reset",
       {},
       [](Ending ending) {
         if (ending.how == Ending::How::kBroken) ending.sent = Sent::kNothing;
         return ending;
       },
       kTwice},
      {"what is half written counts as not sent",
       [](const Course&, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.kind == Kind::kBytesSent) return std::nullopt;
         return event;
       },
       {},
       kTwice},
      {"a late answer is given to the next request on its connection",
       [](const Course&, AttemptEvent event) -> std::optional<AttemptEvent> {
         event.answer.bound = true;
         return event;
       },
       {},
       kStranger},
      {"a 421 counts as run",
       {},
       [](Ending ending) {
         if (ending.status == 421) ending = {.how = Ending::How::kBroken, .sent = Sent::kAll};
         return ending;
       },
       "given up though it has surely not run"},
      {"a 421 to another request counts as not run",
       [](const Course&, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.answer.status == 421) event.answer.bound = true;
         return event;
       },
       {},
       kTwice},
      {"a host's own 503 counts as not run",
       [](const Course&, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.answer.status == 503) event.answer.not_run = true;
         return event;
       },
       {},
       kTwice},
      {"silence counts as not run",
       {},
       [](Ending ending) {
         if (ending.how == Ending::How::kTimedOut) ending.sent = Sent::kNothing;
         return ending;
       },
       "promised though a host may run it"},
  };
  return all;
}

BOOST_AUTO_TEST_CASE(EveryMutationIsFound) {
  for (const Mutation& mutation : Mutations()) {
    Found shortest;
    for (const bool repeatable : {false, true})
      for (int most = 1; most <= static_cast<int>(kMostAttempts); ++most) {
        const Found found = Search(repeatable, most, mutation).Run();
        const bool better = shortest.trace.empty() || found.trace.size() < shortest.trace.size();
        if (!found.trace.empty() && better) shortest = found;
      }
    std::string trace;
    for (const std::string& step : shortest.trace) trace += (trace.empty() ? "" : ", ") + step;
    BOOST_TEST_MESSAGE(mutation.name << ": " << shortest.fault << " (" << trace << ")");
    BOOST_TEST_CONTEXT(mutation.name) BOOST_TEST(shortest.fault != "");
  }
}

}  // namespace
}  // namespace curlewdoor::retry
