#include "duty/duty_manager.hpp"

#include <algorithm>
#include <cmath>

#include "util/bytes.hpp"
#include "util/hash.hpp"

namespace curlewdoor::duty {
namespace {

// Fractions of the lease duration. docs/duties.md, "Times", derives them.
constexpr double kRenewAfter = 1.0 / 3;      // leaves time for two more attempts before the lease expires
constexpr double kRetryInterval = 1.0 / 12;  // until voters that have not replied are asked again
constexpr int kRequestRounds = 2;
// Longest wait of a gateway without duties before it requests one, in a small fleet.
constexpr double kMaxWait = 1.0 / 4;
// In larger fleets each gateway waits longer in proportion, so that the rate over all gateways stays the
// same.
constexpr double kFewGateways = 8;
constexpr std::size_t kEntriesPerMessage = 6;  // 6 entries of up to 130 bytes fit into a payload
constexpr int kMaxBackoffFailures = 4;         // consecutive failures that still lengthen the wait
constexpr int kTransferRounds = 6;

std::uint64_t ListFingerprint(const std::vector<std::string>& list) {
  std::vector<std::string> sorted = list;
  std::sort(sorted.begin(), sorted.end());
  std::uint64_t fingerprint = sorted.empty() ? 0 : 1;
  for (const std::string& name : sorted) fingerprint = StableHash(name, fingerprint);
  return fingerprint;
}

VoterLists VoterListsOf(const DutyOptions& options) {
  return {ListFingerprint(options.voters), ListFingerprint(options.voters_before)};
}

bool SameList(const std::vector<std::string>& a, const std::vector<std::string>& b) {
  return ListFingerprint(a) == ListFingerprint(b);
}

}  // namespace

Incarnation IncarnationOf(std::string_view name, std::uint64_t boot) {
  const Incarnation incarnation = StableHash(name, boot);
  return incarnation == 0 ? 1 : incarnation;  // 0 means no gateway
}

DutyManager::DutyManager(DutyOptions options, std::uint64_t floor, std::uint64_t seed)
    : options_(std::move(options)), floor_(floor), random_(seed) {
  UpdateVoters();
}

// ---- Helpers -------------------------------------------------------------------------------------------

void DutyManager::UpdateVoters() {
  voters_ = options_.voters;
  for (const std::string& name : options_.voters_before)
    if (!VoterIndex(name)) voters_.push_back(name);
}

LeaseTerms DutyManager::CurrentTerms() const {
  LeaseTerms terms;
  terms.lease = options_.lease;
  terms.clock_bound = options_.clock_bound;
  terms.voters = voters_.size();
  for (const auto* list : {&options_.voters, &options_.voters_before}) {
    std::vector<std::size_t> indices;
    for (const std::string& name : *list) indices.push_back(*VoterIndex(name));
    if (!indices.empty()) terms.voter_lists.push_back(std::move(indices));
  }
  return terms;
}

std::optional<std::size_t> DutyManager::VoterIndex(std::string_view voter) const {
  const auto it = std::find(voters_.begin(), voters_.end(), voter);
  if (it == voters_.end()) return std::nullopt;
  return static_cast<std::size_t>(it - voters_.begin());
}

bool DutyManager::votes() const { return VoterIndex(options_.name).has_value(); }

bool DutyManager::MajorityPresent() const {
  std::set<std::size_t> present;
  for (std::size_t v = 0; v < voters_.size(); ++v)
    if (voters_[v] == options_.name || view_.others.contains(voters_[v])) present.insert(v);
  return CurrentTerms().IsMajority(present);
}

std::size_t DutyManager::held_count() const {
  return static_cast<std::size_t>(std::count_if(
      duties_.begin(), duties_.end(), [](const auto& d) { return d.second.state == State::kHolding; }));
}

Duration DutyManager::LeaseFraction(double of_lease) const {
  return Duration(static_cast<Duration::rep>(static_cast<double>(options_.lease.count()) * of_lease));
}

// Random wait before a request. It grows with the number of gateways, so that a large fleet is as quick as a
// small one and has no more concurrent requests; with the number of duties held here, so that duties spread;
// and with consecutive failures, so that competing candidates separate.
Duration DutyManager::RandomWait(int failed_requests) {
  const double candidates = 1 + static_cast<double>(view_.others.size());
  const double longest = kMaxWait * std::max(1.0, candidates / kFewGateways) *
                         static_cast<double>(1 + held_count()) *
                         static_cast<double>(1 + std::min(failed_requests, kMaxBackoffFailures));
  return LeaseFraction(longest * Fraction(random_()));
}

void DutyManager::EnterState(Duty& duty, State state, Time now) {
  duty.state = state;
  duty.since = now;
  duty.replied.clear();
}

Duration DutyManager::abstains_for(Time now) const {
  Duration most{};
  for (const auto& [name, duty] : duties_) most = std::max(most, duty.voter.votes_from() - now);
  return most;
}

// ---- Start and time -----------------------------------------------------------------------------------

void DutyManager::Start(Time now) {
  if (std::exchange(started_, true)) return;
  for (const std::string& name : options_.duties) {
    if (duties_.contains(name)) continue;  // imported during an upgrade
    Duty duty{Voter(CurrentTerms(), now, floor_), {}, Candidate(CurrentTerms(), view_.incarnation)};
    duty.since = now;
    duty.due = now + CurrentTerms().restart_wait() + RandomWait();
    duties_.emplace(name, std::move(duty));
  }
}

std::optional<Time> DutyManager::NextDue() const {
  if (!started_ || exported_) return std::nullopt;
  std::optional<Time> due;
  const auto consider = [&](Time at) { due = due ? std::min(*due, at) : at; };
  for (const auto& [name, duty] : duties_) {
    if (duty.state == State::kWaiting) {
      if (!leaving_ && !survey_) consider(duty.due);
      continue;
    }
    consider(duty.due);
    if (duty.state == State::kHolding) consider(duty.candidate.held_until());
  }
  if (survey_) consider(survey_->deadline);
  return due;
}

void DutyManager::Tick(Time now, DutyOutput& out) {
  if (!started_ || exported_) return;
  for (auto& [name, duty] : duties_) TickDuty(now, name, duty, out);
  if (survey_ && now >= survey_->deadline) EndSurvey(now, out);
  const auto is_due = [&](const auto& each) {
    return each.second.state == State::kWaiting && now >= each.second.due;
  };
  if (!survey_ && !leaving_ && std::any_of(duties_.begin(), duties_.end(), is_due)) StartSurvey(now, out);
  DeliverToSelf(now, out);
}

// Checks the lease first: a process that was stopped learns here that its lease has expired.
void DutyManager::TickDuty(Time now, const std::string& name, Duty& duty, DutyOutput& out) {
  if (duty.state == State::kHolding && !duty.candidate.IsHolding(now)) return LoseLease(now, name, duty, out);
  if (duty.state == State::kWaiting || now < duty.due) return;
  if (duty.state == State::kHolding) {
    const bool renews = now >= duty.candidate.requested_at() + LeaseFraction(kRenewAfter);
    if (renews) {
      RequestLease(now, name, duty, out);
    } else if (!duty.pending.entries.empty()) {  // resend to voters that have not replied
      SendToVoters(duty.pending, duty.replied, out);
    }
    const Time renewal = duty.candidate.requested_at() + LeaseFraction(kRenewAfter);
    duty.due = std::min(renewal, now + LeaseFraction(kRetryInterval));
    if (duty.replied.size() == voters_.size()) duty.due = renewal;
    return;
  }
  if (now >= duty.deadline) {
    if (duty.state == State::kRequesting) return AbandonRequest(now, name, duty, out);
    return EndTransfer(now, duty, out);
  }
  SendToVoters(duty.pending, duty.replied, out);
  duty.due = std::min(duty.deadline, now + LeaseFraction(kRetryInterval));
}

void DutyManager::OnView(Time now, FleetView view, DutyOutput& out) {
  const bool new_incarnation = view.incarnation != view_.incarnation;
  view_ = std::move(view);
  if (!new_incarnation) return;
  // A lease requested by the earlier incarnation is not held by this one.
  for (auto& [name, duty] : duties_) {
    if (duty.state == State::kHolding) LoseLease(now, name, duty, out);
    const Candidate previous = duty.candidate;
    duty.candidate = Candidate(CurrentTerms(), view_.incarnation);
    duty.candidate.ObserveToken(previous.highest_token());
    duty.candidate.ImportState({previous.request_id(), 0, previous.highest_token(), 0, {}, {}});
    if (duty.state == State::kRequesting) EnterState(duty, State::kWaiting, now);
  }
}

// ---- Messages -----------------------------------------------------------------------------------------

DutyMessage DutyManager::NewMessage(MessageKind kind) const {
  DutyMessage message;
  message.kind = kind;
  message.lists = VoterListsOf(options_);
  message.lease = options_.lease;
  return message;
}

void DutyManager::Send(const std::string& to, const DutyMessage& message, DutyOutput& out) {
  if (to == options_.name) return to_self_.push_back(message);
  DutyMessage batch = message;  // split to fit into a datagram
  for (std::size_t from = 0; from < message.entries.size(); from += kEntriesPerMessage) {
    const auto begin = message.entries.begin() + static_cast<std::ptrdiff_t>(from);
    const auto left = std::min(kEntriesPerMessage, message.entries.size() - from);
    batch.entries.assign(begin, begin + static_cast<std::ptrdiff_t>(left));
    out.messages.push_back({to, Encode(batch)});
  }
}

void DutyManager::SendToVoters(const DutyMessage& message, const std::set<std::size_t>& except,
                               DutyOutput& out) {
  for (std::size_t v = 0; v < voters_.size(); ++v)
    if (!except.contains(v) && (voters_[v] == options_.name || view_.others.contains(voters_[v])))
      Send(voters_[v], message, out);
}

// Messages of this gateway to itself, as voter and as candidate, take the same path as all others.
void DutyManager::DeliverToSelf(Time now, DutyOutput& out) {
  if (std::exchange(delivering_, true)) return;
  for (std::size_t i = 0; i < to_self_.size(); ++i) {
    const DutyMessage message = to_self_[i];
    HandleMessage(now, options_.name, view_.incarnation, message, out);
  }
  to_self_.clear();
  delivering_ = false;
}

void DutyManager::OnMessage(Time now, const std::string& from, Incarnation incarnation,
                            const DutyMessage& message, DutyOutput& out) {
  if (!started_ || exported_) return;
  // A process that was stopped must learn that its lease expired before it handles the message.
  for (auto& [name, duty] : duties_)
    if (duty.state == State::kHolding && !duty.candidate.IsHolding(now)) LoseLease(now, name, duty, out);
  HandleMessage(now, from, incarnation, message, out);
  DeliverToSelf(now, out);
}

// A voter grants only requests that need a majority of the voter list it applies itself, with a lease no
// longer than its own promise.
bool DutyManager::AcceptsListsOf(const DutyMessage& message) const {
  const std::uint64_t own = VoterListsOf(options_).voters;
  return votes() && (message.lists.voters == own || message.lists.previous == own) &&
         message.lease <= options_.lease;
}

void DutyManager::HandleMessage(Time now, const std::string& from, Incarnation incarnation,
                                const DutyMessage& message, DutyOutput& out) {
  const auto voter_index = VoterIndex(from);
  if (voter_index) {
    ReportedLists& reported = reported_lists_[from];
    if (reported.lists != message.lists) reported = {message.lists, now};
  }
  DutyMessage reply = NewMessage(message.kind == MessageKind::kQuery     ? MessageKind::kQueryReply
                                 : message.kind == MessageKind::kRequest ? MessageKind::kReply
                                                                         : MessageKind::kTransferReply);
  reply.round = message.round;
  for (const DutyEntry& entry : message.entries) {
    const auto it = duties_.find(entry.duty);
    if (it == duties_.end()) continue;
    Duty& duty = it->second;
    DutyEntry reply_entry = EntryFor(entry.duty);
    reply_entry.request_id = entry.request_id;
    switch (message.kind) {
      case MessageKind::kQuery:
      case MessageKind::kRequest: {
        if (!votes()) continue;
        const bool accepted = AcceptsListsOf(message);
        if (message.kind == MessageKind::kRequest && accepted) {
          const LeaseReply vote = duty.voter.OnRequest(now, {entry.request_id, incarnation, entry.token});
          reply_entry.granted = vote.granted;
          if (vote.granted) duty.promised_to = from;
        }
        reply_entry.token = duty.voter.highest_token();
        reply_entry.remaining = accepted ? duty.voter.RemainingPromise(now) : options_.lease;
        reply_entry.incarnation = now < duty.voter.promised_until() ? duty.voter.promised_to() : 0;
        if (reply_entry.incarnation != 0) reply_entry.holder = duty.promised_to;
        reply.entries.push_back(std::move(reply_entry));
        break;
      }
      case MessageKind::kQueryReply:
        if (survey_ && voter_index && message.round == survey_->round)
          survey_->reports[*voter_index].by_duty[entry.duty] = entry;
        break;
      case MessageKind::kReply: {
        if (!voter_index || entry.request_id != duty.candidate.request_id()) break;
        duty.replied.insert(*voter_index);
        duty.candidate.OnReply(*voter_index, {entry.request_id, entry.granted, entry.token});
        if (!entry.granted) duty.refused_by.insert(*voter_index);
        if (duty.state == State::kRequesting && MajorityUnreachable(duty)) {
          AbandonRequest(now, entry.duty, duty, out);
          break;
        }
        if (duty.state != State::kRequesting || !duty.candidate.IsHolding(now)) break;
        EnterState(duty, State::kHolding, now);
        duty.replied = duty.candidate.granted_by();
        duty.failed_requests = 0;
        duty.due = now + LeaseFraction(kRetryInterval);
        duty.holder = options_.name;
        duty.holder_token = duty.candidate.token();
        ++duty.changes;
        out.changes.push_back(
            {DutyChange::Kind::kGained, entry.duty, duty.candidate.token(), "", duty.candidate.held_until()});
        break;
      }
      case MessageKind::kTransfer:
        if (!votes()) continue;
        reply_entry.granted = duty.voter.OnTransfer(now, incarnation, entry.token, entry.incarnation);
        reply_entry.token = entry.token;
        if (reply_entry.granted) duty.promised_to = entry.holder;
        reply.entries.push_back(std::move(reply_entry));
        break;
      case MessageKind::kTransferReply:
        if (duty.state != State::kTransferring || !voter_index || entry.token != duty.transferred_token)
          break;
        duty.replied.insert(*voter_index);
        if (CurrentTerms().IsMajority(duty.replied)) EndTransfer(now, duty, out);
        break;
      case MessageKind::kTakeOver:
        // The voters are informed: request the lease at once, without a query.
        if (duty.state != State::kWaiting || leaving_) break;
        duty.candidate.ObserveToken(entry.token);
        RequestLease(now, entry.duty, duty, out);
        break;
    }
  }
  // Also answers a gateway that has left the membership: it needs the reply to transfer its duties.
  if (!reply.entries.empty()) Send(from, reply, out);
  if (message.kind == MessageKind::kQueryReply && survey_ && SurveyComplete()) EndSurvey(now, out);
}

// ---- Requesting a free duty ----------------------------------------------------------------------------

// One query covers all waiting duties. A duty counts as free only if a majority reports it free; a single
// reply proves nothing.
void DutyManager::StartSurvey(Time now, DutyOutput& out) {
  // A request could only tie up voters that other candidates need.
  if (!MajorityPresent()) {
    for (auto& [name, duty] : duties_)
      if (duty.state == State::kWaiting)
        duty.due = std::max(duty.due, now + LeaseFraction(kRetryInterval) + RandomWait());
    return;
  }
  survey_ = Survey{++survey_round_, now + LeaseFraction(kRetryInterval), 0, {}};
  DutyMessage outgoing = NewMessage(MessageKind::kQuery);
  outgoing.round = survey_round_;
  for (const auto& [name, duty] : duties_)
    if (duty.state == State::kWaiting) outgoing.entries.push_back(EntryFor(name));
  survey_->duties = outgoing.entries.size();
  SendToVoters(outgoing, {}, out);
}

bool DutyManager::SurveyComplete() const {
  for (std::size_t v = 0; v < voters_.size(); ++v) {
    if (voters_[v] != options_.name && !view_.others.contains(voters_[v])) continue;
    const auto it = survey_->reports.find(v);
    if (it == survey_->reports.end() || it->second.by_duty.size() < survey_->duties) return false;
  }
  return true;
}

void DutyManager::EndSurvey(Time now, DutyOutput& out) {
  const Survey survey = *std::exchange(survey_, std::nullopt);
  const LeaseTerms terms = CurrentTerms();
  std::vector<std::string> available;
  for (auto& [name, duty] : duties_) {
    if (duty.state != State::kWaiting) continue;
    std::set<std::size_t> responded, free;
    std::map<Incarnation, std::set<std::size_t>> promised_voters;
    Duration remaining{};
    for (const auto& [voter, report] : survey.reports) {
      const auto it = report.by_duty.find(name);
      if (it == report.by_duty.end()) continue;
      const DutyEntry& entry = it->second;
      responded.insert(voter);
      duty.candidate.ObserveToken(entry.token);
      if (entry.remaining <= Duration::zero() || entry.incarnation == view_.incarnation) free.insert(voter);
      if (entry.incarnation != view_.incarnation) remaining = std::max(remaining, entry.remaining);
      if (entry.incarnation != 0 && promised_voters[entry.incarnation].insert(voter).second &&
          terms.IsMajority(promised_voters[entry.incarnation])) {
        duty.holder = entry.holder;
        duty.holder_token = entry.token;
      }
    }
    if (remaining <= Duration::zero()) duty.holder.clear();
    if (terms.IsMajority(free)) {
      available.push_back(name);
      duty.due = now + RandomWait();
    } else {
      duty.due =
          now + (terms.IsMajority(responded) ? remaining : LeaseFraction(kRetryInterval)) + RandomWait();
    }
  }
  if (available.empty() || leaving_) return;
  // One duty at a time, so that other gateways can take the rest.
  const std::string& name = available[random_() % available.size()];
  RequestLease(now, name, duties_.find(name)->second, out);
}

void DutyManager::RequestLease(Time now, const std::string& name, Duty& duty, DutyOutput& out) {
  const LeaseRequest request = duty.candidate.BeginRequest(now);
  if (duty.state != State::kHolding) EnterState(duty, State::kRequesting, now);
  duty.replied.clear();
  duty.refused_by.clear();
  duty.deadline = now + LeaseFraction(kRequestRounds * kRetryInterval);
  duty.due = now + LeaseFraction(kRetryInterval);
  duty.pending = NewMessage(MessageKind::kRequest);
  DutyEntry entry = EntryFor(name);
  entry.request_id = request.request_id;
  entry.token = request.token;
  duty.pending.entries = {entry};
  SendToVoters(duty.pending, {}, out);
}

// True if the remaining voters cannot form a majority, so that their promises would only block other
// candidates.
bool DutyManager::MajorityUnreachable(const Duty& duty) const {
  std::set<std::size_t> left;
  for (std::size_t v = 0; v < voters_.size(); ++v)
    if (!duty.refused_by.contains(v)) left.insert(v);
  return !CurrentTerms().IsMajority(left);
}

// Releases the voters that granted the request, because other candidates need them.
void DutyManager::AbandonRequest(Time now, const std::string& name, Duty& duty, DutyOutput& out) {
  const std::uint64_t token = duty.candidate.requested_token();
  duty.candidate.Release();
  DutyMessage outgoing = NewMessage(MessageKind::kTransfer);
  DutyEntry entry = EntryFor(name);
  entry.token = token;
  outgoing.entries = {entry};
  SendToVoters(outgoing, {}, out);
  EnterState(duty, State::kWaiting, now);
  // Does not wait for the promises that voters reported: they usually belong to a competing candidate that
  // gives up as well (duty-deaf-holder, seed 158: two competing candidates each waited out a whole lease).
  duty.due = now + LeaseFraction(kRetryInterval) + RandomWait(++duty.failed_requests);
}

// ---- Holding ------------------------------------------------------------------------------------------

std::optional<std::uint64_t> DutyManager::AuthorizeAct(Time now, std::string_view name) {
  const auto it = duties_.find(name);
  if (it == duties_.end() || exported_) return std::nullopt;
  Duty& duty = it->second;
  if (duty.state != State::kHolding || !duty.candidate.IsHolding(now)) return std::nullopt;
  ++duty.acts;
  return duty.candidate.token();
}

void DutyManager::LoseLease(Time now, const std::string& name, Duty& duty, DutyOutput& out) {
  out.changes.push_back(
      {DutyChange::Kind::kLost, name, duty.candidate.token(), "", duty.candidate.held_until()});
  ++duty.changes;
  duty.candidate.Release();
  duty.holder.clear();
  EnterState(duty, State::kWaiting, now);
  duty.due = now + RandomWait();
}

void DutyManager::OnTokenRejected(Time now, std::string_view name, std::uint64_t highest_token,
                                  DutyOutput& out) {
  const auto it = duties_.find(name);
  if (it == duties_.end()) return;
  Duty& duty = it->second;
  ++duty.stale;
  duty.candidate.ObserveToken(highest_token);
  if (duty.state != State::kHolding || highest_token <= duty.candidate.token()) return;
  out.changes.push_back({DutyChange::Kind::kTokenRejected, it->first, duty.candidate.token(),
                         "a higher token was used: " + std::to_string(highest_token), now});
  ++duty.changes;
  // The voters may still be bound to this incarnation; it can request again with a higher token.
  duty.candidate.Release();
  EnterState(duty, State::kWaiting, now);
  duty.due = now + RandomWait();
}

// ---- Transfer -----------------------------------------------------------------------------------------

std::string DutyManager::Transfer(Time now, std::string_view name, std::string to, DutyOutput& out) {
  const auto it = duties_.find(name);
  if (it == duties_.end()) return "unknown duty";
  Duty& duty = it->second;
  if (duty.state != State::kHolding || !duty.candidate.IsHolding(now))
    return duty.holder.empty() ? "not held by this gateway"
                               : "not held by this gateway, but by " + duty.holder;
  const std::string error = BeginTransfer(now, it->first, duty, std::move(to), out);
  DeliverToSelf(now, out);
  return error;
}

std::string DutyManager::BeginTransfer(Time now, const std::string& name, Duty& duty, std::string to,
                                       DutyOutput& out) {
  if (to == options_.name) return "this gateway already holds it";
  if (!to.empty()) {
    const auto member = view_.others.find(to);
    if (member == view_.others.end()) return to + " is not in the fleet";
    if (!member->second.accepts_duties) return to + " does not accept duties";
  } else {
    // Choose the gateway that holds the fewest duties, as far as known.
    std::map<std::string, std::size_t> holds;
    for (const auto& [other, each] : duties_) ++holds[each.holder];
    std::vector<std::pair<std::pair<std::size_t, std::uint64_t>, std::string>> accepts_duties;
    for (const auto& [other, takes] : view_.others)
      if (takes.accepts_duties) accepts_duties.push_back({{holds[other], random_()}, other});
    if (accepts_duties.empty()) return "no other gateway can take it over";
    to = std::min_element(accepts_duties.begin(), accepts_duties.end())->second;
  }
  // Stop acting before informing the voters.
  const std::uint64_t token = duty.candidate.token();
  const Time until = duty.candidate.held_until();
  duty.candidate.Release();
  EnterState(duty, State::kTransferring, now);
  duty.successor = to;
  duty.transferred_token = token;
  duty.deadline = std::min(until, now + LeaseFraction(kTransferRounds * kRetryInterval));
  duty.due = now + LeaseFraction(kRetryInterval);
  duty.pending = NewMessage(MessageKind::kTransfer);
  DutyEntry entry = EntryFor(name);
  entry.token = token;
  entry.incarnation = view_.others.at(to).incarnation;
  entry.holder = to;
  duty.pending.entries = {entry};
  SendToVoters(duty.pending, {}, out);
  ++duty.changes;
  out.changes.push_back({DutyChange::Kind::kTransferred, name, token, to, now});
  return "";
}

void DutyManager::EndTransfer(Time now, Duty& duty, DutyOutput& out) {
  DutyMessage take = NewMessage(MessageKind::kTakeOver);
  DutyEntry entry = EntryFor(duty.pending.entries.front().duty);
  entry.token = duty.transferred_token;
  take.entries = {entry};
  Send(duty.successor, take, out);
  duty.holder = duty.successor;
  EnterState(duty, State::kWaiting, now);
  duty.due = now + options_.lease + RandomWait();  // do not take the duty straight back
}

void DutyManager::Leave(Time now, DutyOutput& out) {
  if (std::exchange(leaving_, true)) return;
  for (auto& [name, duty] : duties_) {
    if (duty.state == State::kRequesting) AbandonRequest(now, name, duty, out);
    if (duty.state != State::kHolding || BeginTransfer(now, name, duty, "", out).empty()) continue;
    LoseLease(now, name, duty, out);
  }
  DeliverToSelf(now, out);
}

// ---- Configuration changes -----------------------------------------------------------------------------

std::vector<std::string> DutyManager::VotersBehind() const {
  std::vector<std::string> behind;
  for (const std::string& voter : voters_) {
    if (voter == options_.name) continue;
    const auto it = reported_lists_.find(voter);
    if (it == reported_lists_.end() || it->second.lists != VoterListsOf(options_)) behind.push_back(voter);
  }
  return behind;
}

// Voters change from one list to both lists and then to the new list, so that majorities of consecutive
// configurations always intersect. The second step waits until a majority of each list applies both lists and
// all earlier promises have expired.
std::string DutyManager::ReconfigureError(Time now, const DutyOptions& next) const {
  if (SameList(next.voters, options_.voters) && SameList(next.voters_before, options_.voters_before))
    return "";
  if (options_.voters_before.empty()) {
    if (SameList(next.voters_before, options_.voters)) return "";
    return "duty.voters_before: must list the current voters while duty.voters changes";
  }
  if (!SameList(next.voters, options_.voters) || !next.voters_before.empty())
    return "duty.voters: a change is in progress; remove duty.voters_before first, without any other change";
  std::set<std::size_t> known;
  const Duration longest = CurrentTerms().restart_wait();
  for (std::size_t v = 0; v < voters_.size(); ++v) {
    const auto it = reported_lists_.find(voters_[v]);
    const bool itself = voters_[v] == options_.name;
    if (itself || (it != reported_lists_.end() && now - it->second.since >= longest &&
                   it->second.lists.voters == VoterListsOf(options_).voters))
      known.insert(v);
  }
  if (CurrentTerms().IsMajority(known)) return "";
  return "duty.voters_before: too few voters have applied both lists for the duration of a lease; see "
         "DUTIES, "
         "and try again";
}

void DutyManager::Reconfigure(Time now, DutyOptions next, DutyOutput& out) {
  next.name = options_.name;
  if (next == options_) return;
  for (auto it = duties_.begin(); it != duties_.end();) {
    if (std::find(next.duties.begin(), next.duties.end(), it->first) != next.duties.end()) {
      ++it;
      continue;
    }
    if (it->second.state == State::kHolding) LoseLease(now, it->first, it->second, out);
    it = duties_.erase(it);
  }
  const Duration longest = std::max(CurrentTerms().restart_wait(), options_.lease);
  options_ = std::move(next);
  survey_.reset();
  UpdateVoters();
  for (auto& [name, duty] : duties_) {
    duty.candidate.SetTerms(CurrentTerms());
    duty.voter.SetLease(options_.lease);
    duty.replied.clear();  // voter indices have changed
    if (duty.state == State::kRequesting) AbandonRequest(now, name, duty, out);
    if (duty.state == State::kTransferring) EndTransfer(now, duty, out);
    duty.due = std::min(duty.due, now + LeaseFraction(kRetryInterval));
  }
  for (const std::string& name : options_.duties) {
    if (duties_.contains(name)) continue;
    // The duty may have been configured before, with promises that are still valid.
    Duty duty{Voter(CurrentTerms(), now, floor_), {}, Candidate(CurrentTerms(), view_.incarnation)};
    duty.voter.AbstainUntil(now + longest);
    duty.since = now;
    duty.due = now + CurrentTerms().restart_wait() + RandomWait();
    duties_.emplace(name, std::move(duty));
  }
  DeliverToSelf(now, out);
}

// ---- Upgrade ------------------------------------------------------------------------------------------

namespace {

template <typename Codec, typename P, typename S>
void Fields(Codec& codec, std::string& name, P& promise, std::string& to, S& snapshot, std::uint8_t& holds) {
  codec(name, promise.votes_from, promise.promised_until, promise.promised_to, promise.highest_token,
        promise.own_token, to, snapshot.request_id, snapshot.token, snapshot.highest_token,
        snapshot.held_token, snapshot.requested_at, snapshot.held_until, holds);
}

}  // namespace

std::string DutyManager::ExportState() {
  exported_ = true;
  Writer writer;
  auto count = static_cast<std::uint8_t>(duties_.size());
  writer(kMessageVersion, view_.incarnation, count);
  for (auto& [name, duty] : duties_) {
    Voter::Promise promise = duty.voter.ExportState();
    Candidate::Snapshot snapshot = duty.candidate.ExportState();
    std::uint8_t holds = duty.state == State::kHolding ? 1 : 0;
    if (holds == 0) snapshot.held_until = {};
    std::string own = name;
    Fields(writer, own, promise, duty.promised_to, snapshot, holds);
  }
  return std::move(writer.bytes);
}

bool DutyManager::ImportState(Time now, std::string_view bytes) {
  Reader reader(bytes);
  std::uint8_t version = 0, count = 0;
  Incarnation incarnation = 0;
  reader(version, incarnation, count);
  if (!reader.ok() || version != kMessageVersion || count > kMaxDuties) return false;
  std::map<std::string, Duty, std::less<>> taken;
  for (std::uint8_t i = 0; i < count; ++i) {
    std::string name, to;
    Voter::Promise promise;
    Candidate::Snapshot snapshot;
    std::uint8_t holds = 0;
    Fields(reader, name, promise, to, snapshot, holds);
    // Reject times from the clock of another machine or from before a reboot.
    const Time latest = now + 2 * CurrentTerms().restart_wait();
    if (!reader.ok() || promise.promised_until > latest || promise.votes_from > latest ||
        snapshot.held_until > latest)
      return false;
    if (std::find(options_.duties.begin(), options_.duties.end(), name) == options_.duties.end()) continue;
    Duty duty{Voter(CurrentTerms(), now, floor_), to, Candidate(CurrentTerms(), incarnation)};
    duty.voter.ImportState(promise);
    duty.candidate.ImportState(snapshot);
    duty.since = now;
    duty.due = now + RandomWait();
    if (holds != 0 && duty.candidate.IsHolding(now)) {
      duty.state = State::kHolding;
      duty.holder = options_.name;
      duty.holder_token = snapshot.held_token;
      duty.due = now;
    }
    taken.emplace(std::move(name), std::move(duty));
  }
  view_.incarnation = incarnation;
  duties_ = std::move(taken);
  return true;
}

void DutyManager::Resume(Time now, DutyOutput& out) {
  if (!std::exchange(exported_, false)) return;
  survey_.reset();
  for (auto& [name, duty] : duties_) {
    duty.voter.AbstainUntil(now + CurrentTerms().restart_wait());
    if (duty.state == State::kHolding) LoseLease(now, name, duty, out);
    duty.candidate.ImportState({duty.candidate.request_id() + (std::uint64_t{1} << 32),
                                0,
                                duty.candidate.highest_token(),
                                0,
                                {},
                                {}});
    EnterState(duty, State::kWaiting, now);
    duty.due = now + CurrentTerms().restart_wait() + RandomWait();
  }
}

// ---- For operators ------------------------------------------------------------------------------------

std::vector<DutyStatus> DutyManager::Statuses(Time now) const {
  constexpr std::string_view kNames[] = {"waiting", "asking", "holding", "passing"};
  std::vector<DutyStatus> statuses;
  for (const auto& [name, duty] : duties_) {
    const bool holds = duty.state == State::kHolding && duty.candidate.IsHolding(now);
    DutyStatus status{name,
                      kNames[static_cast<std::size_t>(duty.state)],
                      holds ? options_.name : duty.holder,
                      holds ? duty.candidate.token() : duty.holder_token,
                      holds ? duty.candidate.held_until() - now : Duration::zero(),
                      duty.since,
                      duty.candidate.granted_by().size(),
                      duty.changes,
                      duty.acts,
                      duty.stale};
    if (!holds && status.holder == options_.name) status.holder.clear();
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace curlewdoor::duty
