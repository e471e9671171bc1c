// Model check of the attempts of one request: explores all sequences of events up to a depth. What a host may
// have done with the bytes it received is tracked independently of the code under test. Mutations of the
// rules show that the check can fail: each must be found, and its shortest trace is printed.
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
constexpr std::size_t kMaxAttempts = 3, kDepth = 16;

bool IsNotExecutedStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Answers as hosts give them, to this request and to another one.
const std::vector<HostAnswer>& Answers() {
  static const std::vector<HostAnswer> all = [] {
    std::vector<HostAnswer> made;
    for (const bool matches_request : {true, false}) {
      for (const int status : {200, 404, 408, 421, 429, 500, 503})
        made.push_back({status, matches_request, false, true, true});
      for (const int status : {400, 421, 429, 503})
        made.push_back({status, matches_request, true, false, true});
      made.push_back({200, matches_request, false, false, true});  // a success without its seal
      made.push_back({200, matches_request, false, true, false});  // a truncated answer
    }
    return made;
  }();
  return all;
}

// What is true of an attempt, whether the code under test knows it or not.
struct GroundTruth {
  bool sent = false;  // a byte was sent: from then on a host may execute the request at any time
  bool confirmed_not_executed =
      false;  // its host has stated, for this request and in time, that it did not execute it
  auto operator<=>(const GroundTruth&) const = default;
  bool CanExecute() const { return sent && !confirmed_not_executed; }
};

// A change of the rules under test. An empty member changes nothing.
struct Mutation {
  std::string name;
  std::function<std::optional<AttemptEvent>(const AttemptSequence&, AttemptEvent)>
      filter_event;  // nullopt: the event is dropped
  std::function<AttemptOutcome(AttemptOutcome)> alter_outcome;
  std::string expected_violation;  // the violation that it must lead to; empty: any
};

struct ModelState {
  AttemptSequence sequence;
  std::array<GroundTruth, kMaxAttempts> ground_truth{};
  bool finished = false;
  auto Key() const { return std::tuple(sequence.history(), sequence.state(), ground_truth, finished); }
};

struct SearchResult {
  std::size_t states = 0;
  std::string violation;
  std::vector<std::string> trace;  // the shortest one; empty if no violation was found
};

std::string Describe(const AttemptEvent& event) {
  constexpr const char* kKinds[] = {"bytes-sent", "all-sent", "broken", "answered", "abandoned"};
  std::string text =
      std::string(kKinds[static_cast<int>(event.kind)]) + " of " + std::to_string(event.attempt);
  if (event.kind != Kind::kAnswered) return text;
  const HostAnswer& answer = event.answer;
  return text + " " + std::to_string(answer.status) + (answer.matches_request ? "" : " of-another-request") +
         (answer.not_executed ? " not-executed" : "") + (answer.sealed ? " sealed" : "") +
         (answer.complete ? "" : " truncated");
}

class Search {
 public:
  Search(bool idempotent, int max_attempts, const Mutation& mutation)
      : mutation_(mutation), max_attempts_(max_attempts) {
    ModelState first;
    first.sequence = AttemptSequence(idempotent, max_attempts);
    first.sequence.BeginAttempt();
    Add(first, -1, "begin 0");
  }

  SearchResult Run() {
    while (!queue_.empty() && violation_.empty()) {
      const std::size_t index = queue_.front();
      queue_.pop_front();
      if (reached_[index].depth < kDepth && !reached_[index].model.finished) Expand(index);
    }
    SearchResult result{reached_.size(), violation_, {}};
    for (int index = violation_.empty() ? -1 : last_; index >= 0;
         index = reached_[static_cast<std::size_t>(index)].parent)
      result.trace.insert(result.trace.begin(), reached_[static_cast<std::size_t>(index)].step);
    if (!violation_.empty()) result.trace.push_back(step_);
    return result;
  }

 private:
  struct ReachedState {
    ModelState model;
    int parent;
    std::size_t depth;
    std::string step;
  };

  void Add(const ModelState& model, int parent, const std::string& step) {
    if (!visited_.emplace(model.Key(), true).second) return;
    const std::size_t depth = parent < 0 ? 0 : reached_[static_cast<std::size_t>(parent)].depth + 1;
    queue_.push_back(reached_.size());
    reached_.push_back({model, parent, depth, step});
  }

  // Applies every event that connections can report: of the active attempt, and late ones of earlier
  // attempts.
  void Expand(std::size_t index) {
    const ModelState model = reached_[index].model;
    for (int attempt = 0; attempt <= model.sequence.attempt() && violation_.empty(); ++attempt) {
      const bool in_progress = model.sequence.in_progress() && attempt == model.sequence.attempt();
      const GroundTruth& ground_truth = model.ground_truth[static_cast<std::size_t>(attempt)];
      for (const Kind kind : {Kind::kBytesSent, Kind::kAllSent, Kind::kConnectionLost, Kind::kAbandoned})
        if (in_progress || kind == Kind::kConnectionLost) Apply(index, {kind, attempt, {}});
      for (const HostAnswer& answer : Answers())
        if (ground_truth.sent || !answer.matches_request) Apply(index, {Kind::kAnswered, attempt, answer});
    }
    if (!model.sequence.history().body_released && model.sequence.state() == AttemptState::kPartSent) {
      ModelState released = model;
      released.sequence.MarkBodyReleased();
      Add(released, static_cast<int>(index), "body released");
    }
  }

  void Apply(std::size_t index, const AttemptEvent& event) {
    if (!violation_.empty()) return;
    last_ = static_cast<int>(index);
    step_ = Describe(event);
    ModelState model = reached_[index].model;
    GroundTruth& ground_truth = model.ground_truth[static_cast<std::size_t>(event.attempt)];
    const bool in_progress = model.sequence.in_progress() && event.attempt == model.sequence.attempt();
    const bool may_have_executed = model.sequence.history().may_have_executed;
    if (event.kind == Kind::kBytesSent || event.kind == Kind::kAllSent) ground_truth.sent = true;
    if (event.kind == Kind::kAnswered && event.answer.matches_request && in_progress)
      ground_truth.confirmed_not_executed = event.answer.not_executed || event.answer.status == 421;
    const std::optional<AttemptEvent> filtered =
        mutation_.filter_event ? mutation_.filter_event(model.sequence, event) : std::optional(event);
    auto outcome = filtered ? model.sequence.OnEvent(*filtered) : std::nullopt;
    if (!outcome) return Add(model, static_cast<int>(index), step_);
    if (mutation_.alter_outcome) outcome = mutation_.alter_outcome(*outcome);
    if (event.attempt != model.sequence.attempt()) ReportViolation("ended by an event of another attempt");
    if (event.kind == Kind::kAbandoned)
      return FinishAbandoned(model, index,
                             !may_have_executed && ClassifyExecution(*outcome) == Execution::kNotExecuted);
    for (const bool budget_allows : {true, false})
      for (const bool time_left : {true, false})
        TryDecisions(model, index, event, *outcome, budget_allows, time_left);
  }

  // The attempt was abandoned: the client is answered, or has left.
  void FinishAbandoned(ModelState model, std::size_t index, bool not_executed_promised) {
    if (not_executed_promised) CheckPromise(model);
    if (!mutation_.alter_outcome && not_executed_promised != model.sequence.IsKnownNotExecuted())
      return ReportViolation("IsKnownNotExecuted() disagrees with the outcome");
    model.finished = true;
    Add(model, static_cast<int>(index), step_);
  }

  void TryDecisions(ModelState model, std::size_t index, const AttemptEvent& event,
                    const AttemptOutcome& outcome, bool budget_allows, bool time_left) {
    const bool body_released = model.sequence.history().body_released;
    const int attempts = model.sequence.history().attempts;
    const NextStep next = model.sequence.DecideNextStep(outcome, budget_allows, time_left);
    bool can_execute = false;
    for (const GroundTruth& ground_truth : model.ground_truth)
      can_execute = can_execute || ground_truth.CanExecute();
    if (next == NextStep::kRetry) {
      if (can_execute && !model.sequence.history().idempotent)
        return ReportViolation("retried though it may have been executed");
      if (attempts >= max_attempts_) return ReportViolation("more attempts than max_attempts");
      if (body_released) return ReportViolation("retried without the complete body");
      model.sequence.BeginAttempt();
    } else {
      if (next == NextStep::kForward) CheckForward(model, event);
      if (next == NextStep::kDecline) CheckPromise(model);
      if (next != NextStep::kForward && !can_execute && budget_allows && time_left && !body_released &&
          attempts < max_attempts_)
        return ReportViolation("not retried though certainly not executed");
      if (next == NextStep::kFail && !can_execute)
        return ReportViolation("no promise though certainly not executed");
      model.finished = true;
    }
    Add(model, static_cast<int>(index), step_);
  }

  void CheckForward(const ModelState& model, const AttemptEvent& event) {
    const HostAnswer& answer = event.answer;
    if (event.kind != Kind::kAnswered || event.attempt != model.sequence.attempt())
      return ReportViolation("forwarded what is no answer of this attempt");
    if (!answer.matches_request) return ReportViolation("forwarded an answer to another request");
    if (!answer.complete) return ReportViolation("forwarded a truncated answer");
    if (answer.status < 300 && !answer.sealed) return ReportViolation("forwarded a success without its seal");
    if (IsNotExecutedStatus(answer.status))
      return ReportViolation("forwarded a promise of a host that may have executed the request");
  }

  void CheckPromise(const ModelState& model) {
    for (const GroundTruth& ground_truth : model.ground_truth)
      if (ground_truth.CanExecute()) return ReportViolation("promised though a host may execute the request");
    if (model.sequence.in_progress()) ReportViolation("promised while an attempt is active");
  }

  void ReportViolation(const std::string& what) {
    if (violation_.empty() && (mutation_.expected_violation.empty() || mutation_.expected_violation == what))
      violation_ = what;
  }

  const Mutation& mutation_;
  const int max_attempts_;
  std::vector<ReachedState> reached_;
  std::map<decltype(ModelState().Key()), bool> visited_;
  std::deque<std::size_t> queue_;
  std::string violation_, step_;
  int last_ = -1;
};

BOOST_AUTO_TEST_CASE(NoSequenceOfEventsBreaksARule) {
  const auto begun = std::chrono::steady_clock::now();
  std::size_t states = 0;
  for (const bool idempotent : {false, true})
    for (int max_attempts = 1; max_attempts <= static_cast<int>(kMaxAttempts); ++max_attempts) {
      const SearchResult result = Search(idempotent, max_attempts, {}).Run();
      states += result.states;
      std::string trace;
      for (const std::string& step : result.trace) trace += "\n  " + step;
      BOOST_TEST_CONTEXT("idempotent " << idempotent << " max attempts " << max_attempts << trace)
      BOOST_TEST(result.violation == "");
    }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  BOOST_TEST_MESSAGE("states " << states << ", depth " << kDepth << ", " << took.count() << " s");
  BOOST_TEST(states > 100u);
}

AttemptEvent WithAttempt(AttemptEvent event, int attempt) {
  event.attempt = attempt;
  return event;
}

constexpr const char* kExecutedTwice = "retried though it may have been executed";
constexpr const char* kForeignAnswer = "forwarded an answer to another request";

const std::vector<Mutation>& Mutations() {
  static const std::vector<Mutation> all{
      {"an answer is attributed to the active attempt, whatever its number",
       [](const AttemptSequence& sequence, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.kind == Kind::kAnswered) event.attempt = sequence.attempt();
         return event;
       },
       {},
       "forwarded what is no answer of this attempt"},
      {"the end of an old connection ends the active attempt",
       [](const AttemptSequence& sequence, AttemptEvent event) -> std::optional<AttemptEvent> {
         return event.kind == Kind::kConnectionLost ? WithAttempt(event, sequence.attempt()) : event;
       },
       {},
       "ended by an event of another attempt"},
      {"retried after a reset",
       {},
       [](AttemptOutcome outcome) {
         if (outcome.result == AttemptOutcome::Result::kConnectionLost) outcome.sent = BytesSent::kNothing;
         return outcome;
       },
       kExecutedTwice},
      {"a partly written request counts as not sent",
       [](const AttemptSequence&, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.kind == Kind::kBytesSent) return std::nullopt;
         return event;
       },
       {},
       kExecutedTwice},
      {"a late answer is attributed to the next request on its connection",
       [](const AttemptSequence&, AttemptEvent event) -> std::optional<AttemptEvent> {
         event.answer.matches_request = true;
         return event;
       },
       {},
       kForeignAnswer},
      {"a 421 counts as executed",
       {},
       [](AttemptOutcome outcome) {
         if (outcome.status == 421)
           outcome = {.result = AttemptOutcome::Result::kConnectionLost, .sent = BytesSent::kAll};
         return outcome;
       },
       "not retried though certainly not executed"},
      {"a 421 to another request counts as not executed",
       [](const AttemptSequence&, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.answer.status == 421) event.answer.matches_request = true;
         return event;
       },
       {},
       kExecutedTwice},
      {"a host's own 503 counts as not executed",
       [](const AttemptSequence&, AttemptEvent event) -> std::optional<AttemptEvent> {
         if (event.answer.status == 503) event.answer.not_executed = true;
         return event;
       },
       {},
       kExecutedTwice},
      {"a timeout counts as not executed",
       {},
       [](AttemptOutcome outcome) {
         if (outcome.result == AttemptOutcome::Result::kTimedOut) outcome.sent = BytesSent::kNothing;
         return outcome;
       },
       "promised though a host may execute the request"},
  };
  return all;
}

BOOST_AUTO_TEST_CASE(EveryMutationIsFound) {
  for (const Mutation& mutation : Mutations()) {
    SearchResult shortest;
    for (const bool idempotent : {false, true})
      for (int max_attempts = 1; max_attempts <= static_cast<int>(kMaxAttempts); ++max_attempts) {
        const SearchResult result = Search(idempotent, max_attempts, mutation).Run();
        const bool better = shortest.trace.empty() || result.trace.size() < shortest.trace.size();
        if (!result.trace.empty() && better) shortest = result;
      }
    std::string trace;
    for (const std::string& step : shortest.trace) trace += (trace.empty() ? "" : ", ") + step;
    BOOST_TEST_MESSAGE(mutation.name << ": " << shortest.violation << " (" << trace << ")");
    BOOST_TEST_CONTEXT(mutation.name) BOOST_TEST(shortest.violation != "");
  }
}

}  // namespace
}  // namespace curlewdoor::retry
