#include "rehearsal/record.hpp"

#include <algorithm>
#include <array>

namespace curlewdoor::rehearsal {
namespace {

std::uint64_t Word(int value) { return static_cast<std::uint64_t>(static_cast<std::int64_t>(value)); }

}  // namespace

bool RunResult::AllHeld() const {
  return crash.empty() &&
         std::all_of(verdicts.begin(), verdicts.end(), [](const RuleVerdict& v) { return v.held(); });
}

Record::Record(const Stage& stage, bool by_second)
    : stage_(stage),
      judge_(stage.scenario, stage.start, stage.crowd.customers()),
      figures_(stage.scenario, stage.start, stage.crowd.customers(), by_second),
      quotas_(stage.scenario, stage.start, stage.crowd.customers()),
      hash_(XXH3_createState()) {
  XXH3_64bits_reset(hash_);
}

Record::~Record() { XXH3_freeState(hash_); }

void Record::Note(std::uint64_t what, TimePoint now, std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  const std::array<std::uint64_t, 5> words{what, static_cast<std::uint64_t>((now - stage_.start).count()), a,
                                           b, c};
  XXH3_64bits_update(hash_, words.data(), sizeof words);
  ++events_;
}

void Record::Asked(const standin::Ask& ask) {
  Note(1, ask.due, ask.id, Word(ask.gateway), Word(ask.customer));
  figures_.Asked(ask);
  quotas_.Asked(ask);
}

void Record::Taken(TimePoint now, const standin::Ask& ask) {
  Note(2, now, ask.id, Word(ask.gateway), 0);
  judge_.Taken(now, ask);
}

void Record::Answered(TimePoint now, const standin::Ask& ask, AnswerKind kind, int status, bool own_body) {
  Note(3, now, ask.id, Word(status), own_body ? 1 : 0);
  judge_.Answered(now, ask, kind, status, own_body);
  figures_.Answered(now, ask, kind, status, own_body);
}

void Record::Unanswered(TimePoint now, const standin::Ask& ask, bool excused) {
  Note(4, now, ask.id, excused ? 1 : 0, 0);
  judge_.Unanswered(now, ask, excused);
  figures_.Unanswered(now, ask, excused);
}

void Record::AttemptBegins(TimePoint now, int node, int gateway, std::uint64_t request) {
  Note(5, now, Word(node), Word(gateway), request);
  judge_.AttemptBegins(now, node, gateway, request);
}

void Record::AttemptWhole(TimePoint now, int node, int gateway, std::uint64_t request) {
  Note(6, now, Word(node), Word(gateway), request);
  judge_.AttemptWhole(now, node, gateway, request);
  figures_.AttemptWhole(now, node, gateway, request);
  quotas_.AttemptWhole(now, node, gateway, request);
}

void Record::Ran(TimePoint now, int node, std::uint64_t request) {
  Note(7, now, Word(node), request, 0);
  judge_.Ran(now, node, request);
}

void Record::Told(TimePoint now, int gateway, int node, HostState state) {
  Note(8, now, Word(gateway), Word(node), static_cast<std::uint64_t>(state));
  judge_.Told(now, gateway, node, state);
}

void Record::NodeStarted(TimePoint now, int node) {
  Note(9, now, Word(node), 0, 0);
  judge_.NodeStarted(now, node);
}

void Record::NodeFell(TimePoint now, int node, const std::vector<double>& work_by_gateway) {
  Note(10, now, Word(node), 0, 0);
  judge_.NodeFell(now, node, work_by_gateway);
}

void Record::GatewayStarted(TimePoint now, int gateway) {
  Note(11, now, Word(gateway), 0, 0);
  judge_.GatewayStarted(now, gateway);
}

void Record::GatewayDied(TimePoint now, int gateway) { Note(12, now, Word(gateway), 0, 0); }

void Record::Called(TimePoint now, int gateway) {
  Note(13, now, Word(gateway), 0, 0);
  figures_.Called(now, gateway);
}

RunResult Record::Finish(Playing playing) {
  judge_.SetNearestFall(stage_.NearestFall());
  RunResult result;
  result.name = stage_.scenario.name;
  result.shows = stage_.scenario.shows;
  result.playing = playing;
  result.seed = stage_.seed;
  result.gateways = stage_.scenario.gateways;
  result.length_s = stage_.scenario.length_s;
  result.verdicts = judge_.Verdicts();
  result.held_up = judge_.held_up();
  result.totals = figures_.Sum();
  result.quota_errors = quotas_.Errors();
  result.seconds = figures_.BySecond();
  result.ceilings = judge_.Ceilings();
  result.faults = stage_.bands();
  result.event_hash = XXH3_64bits_digest(hash_);
  result.events = events_;
  return result;
}

}  // namespace curlewdoor::rehearsal
