#include "agreement/core.hpp"

#include <algorithm>
#include <bit>

#include "agreement/codec.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kWriteRetryInterval = milliseconds(200);  // after a failed write
constexpr auto kStatusInterval = milliseconds(50);       // between status replies to a peer that is ahead
constexpr std::size_t kMaxPendingReplies = 512;          // replies waiting for the disk
constexpr std::size_t kPingsKept = 8;
constexpr std::size_t kCommittedSamples = 8;

}  // namespace

Core::Core(Member self, bool bootstrap, CoreState from_disk, CoreOptions options, std::uint64_t seed)
    : self_(std::move(self)),
      bootstrap_(bootstrap),
      options_(options),
      random_(seed),
      state_(std::move(from_disk)),
      held_record_(
          std::make_shared<Record>(MakeRecord(std::move(state_.value), std::move(state_.outcome_log)))),
      committed_(std::make_shared<Record>()),
      next_id_(random_()) {
  state_.value = {};
  state_.outcome_log = {};
  if (state_.stamp == Stamp{} && held_record_->value.version > 0) InitLegacyRecord();
  writing_stamp_ = written_stamp_ = state_.stamp;
  writing_epoch_ = written_epoch_ = state_.membership.epoch;
  highest_round_ = state_.promised.round;
  register_round_ = state_.register_promised.round;
}

// Starts from a value stored without ballots: the outcomes of lower versions are unknown.
void Core::InitLegacyRecord() {
  Record record = *held_record_;
  record.outcome_log.highest_evicted = std::max(record.outcome_log.highest_evicted, record.value.version - 1);
  state_.stamp = LegacyStamp(record.value);
  held_record_ = std::make_shared<Record>(std::move(record));
}

int Core::MemberIndex(const Incarnation& incarnation) const {
  const auto& members = state_.membership.members;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].incarnation == incarnation) return static_cast<int>(i);
    if (HasFault(CoreOptions::Fault::kIgnoreIncarnation) && members[i].incarnation.node == incarnation.node)
      return static_cast<int>(i);
  }
  return -1;
}

bool Core::IsMajority(std::size_t votes) const {
  const auto& members = state_.membership.members;
  std::size_t all = members.size();
  if (HasFault(CoreOptions::Fault::kMajorityOfVisible)) {
    auto seen = std::count_if(members.begin(), members.end(),
                              [this](const Member& m) { return IsAlive(m.incarnation); });
    all = static_cast<std::size_t>(seen);
  }
  return 2 * votes > all;
}

bool Core::HasEnded(const Incarnation& incarnation) const {
  return std::find(ended_.begin(), ended_.end(), incarnation) != ended_.end();
}

// Any two quorums share a member, except if all members of the earlier quorum have ended and their state is
// lost; then only what they had passed on to other members survives.
bool Core::IsQuorum(std::uint32_t votes) const {
  if (IsMajority(static_cast<std::size_t>(std::popcount(votes)))) return true;
  const auto& members = state_.membership.members;
  if (!options_.volatile_members || votes == 0) return false;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!(votes >> i & 1) && !HasEnded(members[i].incarnation)) return false;
  }
  return true;
}

bool Core::majority(Time now) const {
  if (!member()) return false;
  std::uint32_t heard = 0;
  for (std::size_t i = 0; i < state_.membership.members.size(); ++i) {
    const Incarnation& incarnation = state_.membership.members[i].incarnation;
    auto peer = peers_.find(incarnation);
    const bool answered = peer != peers_.end() && peer->second.last_answered != Time{} &&
                          now - peer->second.last_answered <= options_.response_window;
    if (incarnation == self_.incarnation || answered) heard |= 1u << i;
  }
  return IsQuorum(heard);
}

Core::Peer* Core::FindPeer(const Incarnation& incarnation) {
  if (auto found = peers_.find(incarnation); found != peers_.end()) return &found->second;
  if (MemberIndex(incarnation) < 0 && !observed_.contains(incarnation)) return nullptr;
  return &peers_[incarnation];
}

Time Core::LastHeardFrom(const Incarnation& incarnation) const {
  auto found = peers_.find(incarnation);
  return found == peers_.end() ? Time{} : found->second.last_heard;
}

bool Core::IsAlive(const Incarnation& incarnation) const {
  if (incarnation == self_.incarnation) return true;
  auto found = observed_.find(incarnation);
  return found != observed_.end() && found->second.alive;
}

// ---- Inputs ----

void Core::OnView(Time now, const std::vector<ObservedMachine>& view, CoreOutput& out) {
  std::vector<Incarnation> shown;
  for (const ObservedMachine& seen : view) {
    if (seen.member.incarnation == self_.incarnation) {
      location_ = seen.location;
      continue;
    }
    shown.push_back(seen.member.incarnation);
    auto [entry, is_new] = observed_.try_emplace(seen.member.incarnation,
                                                 ObservedPeer{seen.member, seen.alive, now, seen.location});
    ObservedPeer& observed = entry->second;
    observed.member = seen.member;
    observed.location = seen.location;
    if (!is_new && observed.alive != seen.alive) observed.alive = seen.alive, observed.since = now;
  }
  std::erase_if(ended_, [this](const Incarnation& incarnation) { return MemberIndex(incarnation) < 0; });
  for (const Member& m : state_.membership.members) {
    if (!options_.volatile_members || m.incarnation == self_.incarnation || HasEnded(m.incarnation)) continue;
    const bool later = std::any_of(view.begin(), view.end(), [&m](const ObservedMachine& seen) {
      return seen.member.incarnation.node == m.incarnation.node &&
             seen.member.incarnation.number > m.incarnation.number;
    });
    if (later) ended_.push_back(m.incarnation);
  }
  // A voter that no view has shown counts as dead from now on.
  for (const Member& m : state_.membership.members) {
    if (m.incarnation != self_.incarnation)
      observed_.try_emplace(m.incarnation, ObservedPeer{m, false, now, {}});
  }
  for (auto it = observed_.begin(); it != observed_.end();) {
    bool is_shown = std::find(shown.begin(), shown.end(), it->first) != shown.end();
    if (!is_shown && MemberIndex(it->first) < 0) {
      it = observed_.erase(it);
      continue;
    }
    if (!is_shown && it->second.alive) it->second.alive = false, it->second.since = now;
    ++it;
  }
  const auto is_unknown = [this](const auto& known) {
    return MemberIndex(known.first) < 0 && !observed_.contains(known.first);
  };
  std::erase_if(peers_, is_unknown);
  std::erase_if(reported_records_, is_unknown);
  ProcessPending(now, out);
}

void Core::OnMessage(Time now, const CoreMessage& message, CoreOutput& out) {
  if (message.from.incarnation == self_.incarnation) {
    ++dropped_;
    return;
  }
  HandleMessage(now, message, out);
  ProcessPending(now, out);
}

void Core::OnWritten(Time now, std::uint64_t write, bool ok, CoreOutput& out) {
  if (!writing_ || write != write_id_) return;
  writing_ = false;
  if (ok) {
    written_version_ = writing_version_;
    written_stamp_ = writing_stamp_;
    const bool installed_epoch = std::exchange(written_epoch_, writing_epoch_) != writing_epoch_;
    SendSyncedReplies(out);
    if (installed_epoch) AnnounceInstalledEpoch(out);
  } else {
    next_write_at_ = now + kWriteRetryInterval;
    dirty_from_ = std::min(dirty_from_, writing_from_);
    value_dirty_ = value_dirty_ || writing_value_;
    out.log_messages.push_back("the disk failed a write");
    std::erase_if(pending_replies_, [this](const PendingReply& w) { return w.version <= writing_version_; });
  }
  ProcessPending(now, out);
}

void Core::Tick(Time now, CoreOutput& out) {
  if (!asking_since_) asking_since_ = now;
  TickCalls(now, out);
  if (now >= next_ping_at_) Ping(now, out);
  SampleCommitted(now);
  TickAttempt(now, out);
  TickOffer(now, out);
  TickProposal(now, out);
  ProcessPending(now, out);
}

// Samples the committed stamp. Peers are pinged only periodically, so they can only be expected to have
// reported a record that was chosen a moment ago.
void Core::SampleCommitted(Time now) {
  if (now >= next_sample_at_) {
    next_sample_at_ = now + options_.ping_interval;
    recent_committed_.push_back(committed_stamp_);
    if (recent_committed_.size() > kCommittedSamples) recent_committed_.pop_front();
  }
  if (leaving_ && HandedOver(now, recent_committed_.front())) retired_ = true;
}

// Handles the messages of this process to itself, starts a ballot if calls wait for one, and writes the state
// if it has changed.
void Core::ProcessPending(Time now, CoreOutput& out) {
  do {
    while (!loopback_.empty()) {
      CoreMessage message = std::move(loopback_.front());
      loopback_.pop_front();
      HandleMessage(now, message, out);
    }
  } while (StartAttempt(now, out));
  if (!writing_ && written_version_ != state_version_ && now >= next_write_at_) StartWrite(out);
}

void Core::StartWrite(CoreOutput& out) {
  writing_ = true;
  writing_version_ = state_version_;
  writing_stamp_ = state_.stamp;
  writing_epoch_ = state_.membership.epoch;
  writing_from_ = std::exchange(dirty_from_, kNothingDirty);
  writing_value_ = std::exchange(value_dirty_, false);
  StorageWrite& write = out.writes.emplace_back();
  write.id = ++write_id_;
  if (writing_from_ != kNothingDirty) write.records = EncodePages(held_record_->outcome_log, writing_from_);
  write.records.emplace_back(kStateKey, EncodeState(state_, held_record_->outcome_log));
  if (writing_value_) write.records.emplace_back(kValueKey, EncodeValue(held_record_->value));
}

// Replaces the held record. `unchanged_below`: outcomes with lower numbers are the same as in the previous
// record.
void Core::SetHeldRecord(RecordPtr record, const Stamp& stamp, std::uint64_t unchanged_below,
                         bool value_changed) {
  if (record->outcome_log.end() > unchanged_below || held_record_->outcome_log.end() > unchanged_below)
    dirty_from_ = std::min(dirty_from_, unchanged_below);
  value_dirty_ = value_dirty_ || value_changed;
  held_record_ = std::move(record);
  state_.stamp = stamp;
  MarkStateChanged();
}

// ---- Sending ----

void Core::Send(const Member& to, std::uint64_t id, CoreMessageBody body, CoreOutput& out) {
  CoreMessage message{self_, id, state_.membership.epoch, std::move(body)};
  if (to.incarnation == self_.incarnation) {
    loopback_.push_back(std::move(message));
  } else {
    out.sends.push_back({to, std::move(message)});
  }
}

void Core::SendAll(std::uint64_t id, const CoreMessageBody& body, CoreOutput& out) {
  for (const Member& m : state_.membership.members) Send(m, id, body, out);
}

void Core::SendSynced(const Member& to, std::uint64_t id, CoreMessageBody body, CoreOutput& out) {
  if (written_version_ == state_version_ || HasFault(CoreOptions::Fault::kAckBeforeSync)) {
    Send(to, id, std::move(body), out);
    return;
  }
  bool is_there = std::any_of(pending_replies_.begin(), pending_replies_.end(),
                              [&](const PendingReply& w) {  // the request was resent meanwhile
                                return w.sending.message.id == id &&
                                       w.sending.message.epoch == state_.membership.epoch &&
                                       w.sending.to.incarnation == to.incarnation;
                              });
  if (!is_there && pending_replies_.size() < kMaxPendingReplies) {
    pending_replies_.push_back({state_version_, {to, {self_, id, state_.membership.epoch, std::move(body)}}});
  }
}

void Core::Reply(const CoreMessage& to, CoreMessageBody body, CoreOutput& out) {
  SendSynced(to.from, to.id, std::move(body), out);
}

void Core::SendSyncedReplies(CoreOutput& out) {
  while (!pending_replies_.empty() && pending_replies_.front().version <= written_version_) {
    OutgoingMessage sending = std::move(pending_replies_.front().sending);
    pending_replies_.pop_front();
    if (sending.to.incarnation == self_.incarnation) {
      loopback_.push_back(std::move(sending.message));
    } else {
      out.sends.push_back(std::move(sending));
    }
  }
}

// Members ping each other frequently. Spares are pinged less often, so that they learn what is chosen and
// report what they hold.
void Core::Ping(Time now, CoreOutput& out) {
  next_ping_at_ = now + (member() ? options_.ping_interval : 4 * options_.ping_interval);
  std::uint64_t id = next_id_++;
  pings_.emplace_back(id, now);
  if (pings_.size() > kPingsKept) pings_.pop_front();
  StatusQuery query{committed_stamp_};
  if (member()) {
    for (const Member& m : state_.membership.members) {
      if (m.incarnation != self_.incarnation) Send(m, id, query, out);
    }
    if (now < next_spare_ping_at_ && majority(now)) return;
    next_spare_ping_at_ = now + 4 * options_.ping_interval;
  }
  // Non-members ping everyone to learn of a newer membership, because all members of the known one may be
  // gone, and to be heard: a machine becomes a member only while messages from it arrive.
  for (const auto& [incarnation, observed] : observed_) {
    if (observed.alive && (!member() || MemberIndex(incarnation) < 0)) Send(observed.member, id, query, out);
  }
}

// Tells the other voters that this epoch is on disk here: the next change waits for a majority that has
// installed it.
void Core::AnnounceInstalledEpoch(CoreOutput& out) {
  for (const Member& m : state_.membership.members) {
    if (m.incarnation != self_.incarnation) Send(m, 0, MakeStatusReply(), out);
  }
}

StatusReply Core::MakeStatusReply() const {
  return {sealed(), written_epoch_, written_stamp_, committed_stamp_};
}

// ---- Messages ----

void Core::HandleMessage(Time now, const CoreMessage& m, CoreOutput& out) {
  const bool from_self = m.from.incarnation == self_.incarnation;
  if (!from_self && !HandlePeerMessage(now, m, out)) return;
  const std::uint64_t epoch = state_.membership.epoch;
  if (m.epoch != epoch) return;  // sent to itself before the membership changed
  if (auto* offer = std::get_if<MembershipOffer>(&m.body)) return OnOffer(now, m, *offer, out);
  if (auto* offer_reply = std::get_if<MembershipOfferReply>(&m.body))
    return OnOfferReply(now, m, *offer_reply, out);
  if (epoch == 0) return;
  if (auto* reply = std::get_if<StatusReply>(&m.body)) return OnStatusReply(now, m, *reply, out);
  if (auto* query = std::get_if<StatusQuery>(&m.body)) return OnStatusQuery(now, m, *query, out);
  if (auto* fetch = std::get_if<RecordRequest>(&m.body)) return OnRecordRequest(now, m, *fetch, out);
  if (auto* fetched = std::get_if<RecordReply>(&m.body)) return OnRecordReply(now, m, *fetched, out);
  if (!member() || MemberIndex(m.from.incarnation) < 0) {
    ++dropped_;
    return;
  }
  HandleVoterMessage(now, m, out);
}

// Identifies the sender and handles epochs that differ. Returns false if nothing else is to be done.
bool Core::HandlePeerMessage(Time now, const CoreMessage& m, CoreOutput& out) {
  const auto* install = std::get_if<InstallEpoch>(&m.body);
  if (install != nullptr && m.epoch > state_.membership.epoch) OnInstallEpoch(now, m, *install, out);
  Peer* peer = FindPeer(m.from.incarnation);
  if (peer == nullptr) {
    ++dropped_;
    return false;
  }
  peer->last_heard = now;
  peer->epoch = m.epoch;
  const std::uint64_t epoch = state_.membership.epoch;
  if (m.epoch < epoch) {
    SendInstallEpoch(now, m.from, out);
    return false;
  }
  if (install != nullptr && m.epoch == epoch) {
    Send(m.from, 0, MakeStatusReply(), out);
    return false;
  }
  if (m.epoch == epoch) return true;
  // The peer is ahead and sends its epoch in reply to this status.
  if (peer->status_sent_at == Time{} || now - peer->status_sent_at >= kStatusInterval) {
    peer->status_sent_at = now;
    Send(m.from, 0, MakeStatusReply(), out);
  }
  return false;
}

void Core::HandleVoterMessage(Time now, const CoreMessage& m, CoreOutput& out) {
  if (auto* prepare = std::get_if<RegisterPrepare>(&m.body)) return OnRegisterPrepare(m, *prepare, out);
  if (auto* promised = std::get_if<RegisterPromise>(&m.body))
    return OnRegisterPromise(now, m, *promised, out);
  if (auto* accept = std::get_if<RegisterAccept>(&m.body)) return OnRegisterAccept(m, *accept, out);
  if (auto* accepted = std::get_if<RegisterAccepted>(&m.body))
    return OnRegisterAccepted(now, m, *accepted, out);
  if (auto* prepare = std::get_if<EpochPrepare>(&m.body)) return OnEpochPrepare(m, *prepare, out);
  if (auto* promised = std::get_if<EpochPromise>(&m.body)) return OnEpochPromise(now, m, *promised, out);
  if (auto* accept = std::get_if<EpochAccept>(&m.body)) return OnEpochAccept(now, m, *accept, out);
  if (auto* accepted = std::get_if<EpochAccepted>(&m.body)) return OnEpochAccepted(now, m, *accepted, out);
}

}  // namespace curlewdoor::agreement
