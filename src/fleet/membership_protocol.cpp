#include "fleet/membership_protocol.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::fleet {
namespace {

// Times are in probe periods. docs/fleet-view.md, "Bounds", derives each figure.
constexpr double kIndirectProbeAfter = 0.3;  // of a period without an answer, until indirect probes are sent
// Fraction of the requester's wait after which a helper reports that it is reachable itself.
constexpr double kNackAfter = 0.8;
constexpr std::size_t kIndirectProbes = 3;  // helpers per indirect probe
// Confirmations beyond the first report until a suspicion has its shortest timeout.
constexpr std::size_t kSuspicionConfirmations = 3;
constexpr double kMinSuspicionPeriods = 1.5;  // shortest timeout, per power of ten of members
constexpr double kMaxSuspicionFactor = 4;     // longest timeout relative to the shortest
constexpr int kReportedDeadFactor = 2;        // times the shortest timeout, for a member reported dead
constexpr std::size_t kGossipFanOut = 3;      // receivers of one round of gossip
constexpr int kGossipsPerPeriod = 4;          // while there are rumours
constexpr int kRetransmitFactor = 4;          // times a rumour is sent, per power of ten of members
constexpr int kMaxHealthPenalty = 8;
constexpr std::size_t kMaxRelayedPings = 256, kMaxUrgentProbes = 8;
constexpr int kExchangePeriods = 60;  // periods between full exchanges with a random member
// Periods between attempts to contact a seed that is missing from the view.
constexpr int kSeedRetryPeriods = 10;
constexpr int kMaxJoinBackoffPeriods = 8;
constexpr int kSettledPeriods = 2;       // periods without a change
constexpr int kNameConflictPeriods = 4;  // periods to wait for the gateway that holds this name
// Longest time, in periods, for which a process that was stopped suspects nobody.
constexpr int kStallRecoveryPeriods = 6;
constexpr std::size_t kLeaveFanOut = 8;  // receivers of the announcement that this gateway leaves
// Pings per period to each dead member, by all gateways together.
constexpr double kDeadPingsPerPeriod = 2;
// Dead members are pinged a tenth as often after this time.
constexpr auto kRecentlyDead = std::chrono::seconds(60);
constexpr auto kLeftRetention = std::chrono::seconds(60), kDeadRetention = std::chrono::seconds(24 * 3600);

Duration Scale(Duration of, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(of.count()) * factor));
}

std::uint64_t FingerprintOf(const MemberRecord& record) { return StableHash(record.name, record.boot); }

}  // namespace

MembershipProtocol::MembershipProtocol(MembershipOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {
  self_.name = options_.name;
  self_.boot = options_.boot;
  self_.address = options_.address;
  self_.metadata = options_.metadata;
}

// ---- Randomness ----------------------------------------------------------------------------------------

std::uint64_t MembershipProtocol::RandomBelow(std::uint64_t bound) {
  return bound == 0 ? 0 : random_() % bound;
}

bool MembershipProtocol::RandomChance(double part) { return Fraction(random_()) < part; }

Duration MembershipProtocol::Jittered(Duration of) { return Scale(of, 0.75 + 0.5 * Fraction(random_())); }

// ---- Start and end ------------------------------------------------------------------------------------

void MembershipProtocol::ImportState(Time now, const std::vector<MemberRecord>& records) {
  if (records.empty() || records.front().name != self_.name) return;
  // The previous process announced that it leaves, which ended its boot; continue with the next one.
  if (records.front().state == MemberState::kLeft) {
    self_.boot = std::max(self_.boot, records.front().boot + 1);
  } else {
    self_.boot = records.front().boot;
    self_.incarnation = records.front().incarnation;
  }
  joined_ = true;
  for (std::size_t i = 1; i < records.size() && members_.size() + 1 < kMaxMembers; ++i) {
    const MemberRecord& record = records[i];
    if (record.name == self_.name || members_.contains(record.name)) continue;
    members_[record.name] = Member{record, now};
    if (record.present()) {
      ++present_;
      members_fingerprint_ += FingerprintOf(record);
    }
    if (record.state == MemberState::kSuspect) StartSuspicion(now, record);
  }
}

void MembershipProtocol::Start(Time now, ProtocolOutput& out) {
  started_ = true;
  period_due_ = now + Scale(options_.probe_period, static_cast<double>(RandomBelow(1000)) / 1000);
  gossip_due_ = now;
  exchange_due_ = now + Jittered(options_.probe_period * kExchangePeriods);
  next_compare_exchange_ = now;
  changed_at_ = now;
  name_taken_due_ = now;
  join_due_ = now;
  next_seed_ = RandomBelow(std::max<std::size_t>(1, options_.seeds.size()));
  const bool others = std::any_of(options_.seeds.begin(), options_.seeds.end(),
                                  [&](const Address& seed) { return seed != self_.address; });
  if (!joined_ && !others) joined_ = true;
  if (joined_) AnnounceSelf();
  due_before_ = now;
  Tick(now, out);
}

void MembershipProtocol::SetSeeds(Time now, std::vector<Address> seeds) {
  options_.seeds = std::move(seeds);
  next_seed_ = RandomBelow(std::max<std::size_t>(1, options_.seeds.size()));
  join_backoff_ = 0;
  join_due_ = now;
}

// Sends its record to several members at once, so that they need not detect the departure by failed pings.
void MembershipProtocol::Leave(Time now, ProtocolOutput& out) {
  if (muted() || left() || !started_) return;
  self_.state = MemberState::kLeft;
  self_.reported_by = self_.name;
  ++version_;
  if (!joined_) return;
  AnnounceSelf();
  for (const std::string& name : RandomPresent(kLeaveFanOut, ""))
    Send(members_.at(name).record.address, name, GossipMessage{MessageKind::kGossip}, out);
  gossip_due_ = now + options_.probe_period / kGossipsPerPeriod;
}

std::vector<MemberRecord> MembershipProtocol::ExportState() {
  exported_ = true;
  std::vector<MemberRecord> records{self_};
  for (const auto& [name, member] : members_) records.push_back(member.record);
  return records;
}

void MembershipProtocol::Resume(Time now) {
  if (!std::exchange(exported_, false)) return;
  probe_.reset();
  relayed_pings_.clear();
  period_due_ = gossip_due_ = due_before_ = now;
  for (auto& [name, suspicion] : suspicions_)
    suspicion.ends = std::max(suspicion.ends, now + options_.probe_period);
  ++self_.incarnation;  // the process that took over briefly may have raised it too
  AnnounceSelf();
}

// ---- Time ---------------------------------------------------------------------------------------------

std::optional<Time> MembershipProtocol::NextDue() const {
  if (!started_ || muted()) return std::nullopt;
  Time due = std::min({period_due_, join_due_, exchange_due_});
  if (!rumours_.empty()) due = std::min(due, gossip_due_);
  // Must match Tick(): work that it skips must never be due.
  const bool active = joined_ && !left();
  if (active && probe_ && !probe_->acked && !probe_->indirect_sent) due = std::min(due, probe_->indirect_due);
  if (active) {
    for (const auto& [name, suspicion] : suspicions_) {
      due = std::min(due, recovering_ ? std::max(suspicion.ends, recovering_until_) : suspicion.ends);
      due = std::min(due, NextSuspectPing(suspicion).value_or(due));
    }
  }
  for (const auto& [sequence, relayed] : relayed_pings_)
    due = std::min(due, relayed.nacked ? relayed.ends : relayed.nack_at);
  if (!settled_ && joined_ && suspicions_.empty())
    due = std::min(due, changed_at_ + options_.probe_period * kSettledPeriods);
  return due;
}

// A process that was stopped would take all others for unresponsive. Pings sent before the stall prove
// nothing, and nobody is suspected until an answer has shown that this process receives messages.
void MembershipProtocol::DetectStall(Time now, ProtocolOutput& out) {
  const Duration late = now - due_before_;
  if (!started_ || muted() || !options_.lifeguard || late <= options_.probe_period / 2) return;
  probe_.reset();
  relayed_pings_.clear();
  for (auto& [name, suspicion] : suspicions_)
    suspicion.ends = std::max(suspicion.ends + late, now + options_.probe_period);
  period_due_ = gossip_due_ = now;
  join_due_ = std::max(join_due_, now);
  recovering_ = present_ > 0;
  recovering_until_ = now + options_.probe_period * kStallRecoveryPeriods;
  RaiseHealthPenalty(
      static_cast<int>(std::min<Duration::rep>(kMaxHealthPenalty, 1 + late / options_.probe_period)));
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(late).count();
  out.changes.push_back({MembershipChange::Kind::kStalled, self_, false, std::to_string(ms)});
  due_before_ = now;
}

void MembershipProtocol::Tick(Time now, ProtocolOutput& out) {
  if (!started_ || muted()) return;
  DetectStall(now, out);
  if (recovering_ && now >= recovering_until_) recovering_ = false;
  if (name_conflict_until_ && now >= *name_conflict_until_) CompleteJoin(now, out);
  if (now >= join_due_) TryJoin(now, out);
  if (joined_ && !left()) {
    if (probe_ && !probe_->acked && !probe_->indirect_sent && now >= probe_->indirect_due)
      SendPingRequests(out);
    if (now >= period_due_) {
      EndProbe(now, out);
      BeginPeriod(now, out);
    }
    PingSuspects(now, out);
    if (!recovering_) ExpireSuspicions(now, out);
    if (now >= exchange_due_) {
      exchange_due_ = now + Jittered(options_.probe_period * kExchangePeriods);
      for (const std::string& name : RandomPresent(1, ""))
        StartExchange(members_.at(name).record.address, out);
    }
  } else if (now >= period_due_) {
    period_due_ = now + options_.probe_period;
  }
  if (now >= exchange_due_) exchange_due_ = now + options_.probe_period * kExchangePeriods;
  for (auto it = relayed_pings_.begin(); it != relayed_pings_.end();) {
    RelayedPing& relayed = it->second;
    if (!relayed.nacked && now >= relayed.nack_at) {
      relayed.nacked = true;
      GossipMessage nack{MessageKind::kNack, relayed.sequence};
      nack.target = relayed.target;
      if (options_.lifeguard) Send(relayed.requester, "", std::move(nack), out);
    }
    it = now >= relayed.ends ? relayed_pings_.erase(it) : std::next(it);
  }
  if (now >= gossip_due_) {
    gossip_due_ = now + options_.probe_period / kGossipsPerPeriod;
    if (joined_) SendGossip(out);
  }
  CheckSettled(now, out);
  due_before_ = NextDue().value_or(now);
}

void MembershipProtocol::CheckSettled(Time now, ProtocolOutput& out) {
  if (settled_ || !joined_ || !suspicions_.empty()) return;
  if (now < changed_at_ + options_.probe_period * kSettledPeriods) return;
  settled_ = true;
  out.changes.push_back({MembershipChange::Kind::kSettled, self_, false, ""});
}

// ---- Probing members -----------------------------------------------------------------------------------

bool MembershipProtocol::IsPresent(std::string_view name) const {
  const auto it = members_.find(std::string(name));
  return it != members_.end() && it->second.record.present();
}

void MembershipProtocol::RaiseHealthPenalty(int by) {
  if (options_.lifeguard) health_ = std::clamp(health_ + by, 0, kMaxHealthPenalty);
}
void MembershipProtocol::LowerHealthPenalty() { health_ = std::max(0, health_ - 1); }

void MembershipProtocol::BeginPeriod(Time now, ProtocolOutput& out) {
  period_due_ = now + CurrentPeriod();
  PurgeAbsent(now);
  if (const auto name = NextToProbe()) StartProbe(now, *name, out);
  PingDeadMember(now, out);
}

// Members are probed in rounds of random order, each once per round, which bounds the longest time until a
// member is probed and not only the mean (SWIM, 4.3).
std::optional<std::string> MembershipProtocol::NextToProbe() {
  while (!urgent_probes_.empty()) {
    const std::string name = urgent_probes_.front();
    urgent_probes_.erase(urgent_probes_.begin());
    if (IsPresent(name)) return name;
  }
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (probe_index_ < probe_round_.size()) {
      const std::string& name = probe_round_[probe_index_++];
      if (IsPresent(name)) return name;
    }
    NewProbeRound();
  }
  return std::nullopt;
}

void MembershipProtocol::NewProbeRound() {
  probe_round_.clear();
  probe_index_ = 0;
  for (const auto& [name, member] : members_)
    if (member.record.present()) probe_round_.push_back(name);
  for (std::size_t i = probe_round_.size(); i > 1; --i)
    std::swap(probe_round_[i - 1], probe_round_[RandomBelow(i)]);
}

void MembershipProtocol::StartProbe(Time now, const std::string& name, ProtocolOutput& out) {
  probe_ = Probe{name, Ping(members_.at(name).record.address, name, out)};
  probe_->indirect_due = now + Scale(CurrentPeriod(), kIndirectProbeAfter);
}

void MembershipProtocol::SendPingRequests(ProtocolOutput& out) {
  probe_->indirect_sent = true;
  const auto it = members_.find(probe_->name);
  if (it == members_.end()) return;
  for (const std::string& helper : RandomPresent(kIndirectProbes, probe_->name)) {
    GossipMessage request{MessageKind::kPingRequest, probe_->sequence};
    request.target = probe_->name;
    request.target_address = it->second.record.address;
    Send(members_.at(helper).record.address, helper, std::move(request), out);
    ++probe_->helpers;
  }
}

void MembershipProtocol::EndProbe(Time now, ProtocolOutput& out) {
  if (!probe_) return;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  if (probe.acked || !IsPresent(probe.name) || recovering_) return;
  // Helpers that sent no nack suggest that this gateway itself fails to receive messages (Lifeguard,
  // "LHA-probe").
  RaiseHealthPenalty(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
  Suspect(now, probe.name, self_.name, out);
}

// Keeps pinging dead members, each a few times per period by all present members together, so that the halves
// of a partition find each other without an operator. Members that died long ago cost almost nothing.
void MembershipProtocol::PingDeadMember(Time now, ProtocolOutput& out) {
  std::vector<const MemberRecord*> dead;
  bool fresh = false;
  for (const auto& [name, member] : members_) {
    if (member.record.state != MemberState::kDead) continue;
    dead.push_back(&member.record);
    fresh = fresh || now < member.state_since + kRecentlyDead;
  }
  if (dead.empty()) return;
  const double part = kDeadPingsPerPeriod * static_cast<double>(dead.size()) / static_cast<double>(alive());
  if (!RandomChance(std::min(1.0, part) * (fresh ? 1.0 : 0.1))) return;
  const MemberRecord& target = *dead[RandomBelow(dead.size())];
  Ping(target.address, target.name, out);
}

// ---- Rumours ------------------------------------------------------------------------------------------

int MembershipProtocol::RumourLimit() const {
  return kRetransmitFactor * static_cast<int>(std::ceil(std::log10(static_cast<double>(alive()) + 1)));
}

void MembershipProtocol::QueueRumour(const MemberRecord& record) {
  DropRumour(record.name);
  const Rumour rumour{record, 0, next_order_++};
  rumours_by_sent_.insert({{0, rumour.order}, record.name});
  rumours_[record.name] = rumour;
}

// Members that are purged are no longer gossiped about, which bounds the rumours by the number of members.
void MembershipProtocol::DropRumour(const std::string& name) {
  const auto it = rumours_.find(name);
  if (it == rumours_.end()) return;
  rumours_by_sent_.erase({{it->second.sent, it->second.order}, name});
  rumours_.erase(it);
}

void MembershipProtocol::AnnounceSelf() { QueueRumour(self_); }

// What this gateway believes of the receiver goes first, so that a suspect learns of the suspicion at once
// and can refute it.
void MembershipProtocol::AttachRumours(GossipMessage& message, std::string_view receiver) {
  std::size_t room = kMaxDatagramBytes - EncodedHeadSize(message, options_.fleet);
  const auto add = [&](const MemberRecord& record) {
    const std::size_t size = EncodedSize(record);
    if (size > room) return false;
    room -= size;
    message.rumours.push_back(record);
    return true;
  };
  if (const auto it = members_.find(std::string(receiver)); it != members_.end())
    if (it->second.record.state != MemberState::kAlive) add(it->second.record);
  const int limit = RumourLimit();
  std::vector<std::string> taken;
  for (const auto& [rank, name] : rumours_by_sent_) {
    const Rumour& rumour = rumours_.at(name);
    if (!add(rumour.record)) break;
    taken.push_back(name);
  }
  for (const std::string& name : taken) {
    Rumour& rumour = rumours_.at(name);
    rumours_by_sent_.erase({{rumour.sent, rumour.order}, name});
    if (++rumour.sent >= limit) {
      rumours_.erase(name);
    } else {
      rumours_by_sent_.insert({{rumour.sent, rumour.order}, name});
    }
  }
}

void MembershipProtocol::Send(const Address& to, std::string_view receiver, GossipMessage message,
                              ProtocolOutput& out) {
  message.sender = self_;
  if (message.kind == MessageKind::kPing || message.kind == MessageKind::kAck)
    message.fingerprint = Fingerprint();
  AttachRumours(message, receiver);
  out.datagrams.push_back({to, std::move(message)});
}

std::uint32_t MembershipProtocol::Ping(const Address& to, const std::string& target, ProtocolOutput& out) {
  GossipMessage ping{MessageKind::kPing, next_sequence_++};
  ping.target = target;
  const std::uint32_t sequence = ping.sequence;
  Send(to, target, std::move(ping), out);
  return sequence;
}

void MembershipProtocol::SendPayload(const std::string& name, std::uint8_t channel, std::string payload,
                                     ProtocolOutput& out) {
  const auto it = members_.find(name);
  if (muted() || it == members_.end() || payload.size() > kMaxPayloadBytes) return;
  GossipMessage message{MessageKind::kPayload};
  message.channel = channel;
  message.payload = std::move(payload);
  Send(it->second.record.address, name, std::move(message), out);
}

std::vector<std::string> MembershipProtocol::RandomPresent(std::size_t count, std::string_view except) {
  std::vector<std::string> chosen;
  if (probe_round_.empty()) NewProbeRound();
  if (probe_round_.empty()) return chosen;
  for (std::size_t tries = 0; tries < 6 * count && chosen.size() < count; ++tries) {
    const std::string& name = probe_round_[RandomBelow(probe_round_.size())];
    if (name == except || !IsPresent(name)) continue;
    if (std::find(chosen.begin(), chosen.end(), name) == chosen.end()) chosen.push_back(name);
  }
  return chosen;
}

void MembershipProtocol::SendGossip(ProtocolOutput& out) {
  if (rumours_.empty()) return;
  for (const std::string& name : RandomPresent(kGossipFanOut, "")) {
    if (rumours_.empty()) return;
    Send(members_.at(name).record.address, name, GossipMessage{MessageKind::kGossip}, out);
  }
  if (present_ == 0) {  // there are no receivers
    rumours_.clear();
    rumours_by_sent_.clear();
  }
}

// ---- Joining and full exchanges -----------------------------------------------------------------------

void MembershipProtocol::StartExchange(const Address& with, ProtocolOutput& out) {
  out.exchanges.push_back({with, FullState(MessageKind::kExchange)});
}

GossipMessage MembershipProtocol::FullState(MessageKind kind) const {
  GossipMessage message{kind};
  message.sender = self_;
  for (const auto& [name, member] : members_) message.rumours.push_back(member.record);
  return message;
}

// Continues after joining: a seed that is not the address of a present member is contacted now and then, so
// that fleets that lost each other completely, as in a restart of all seeds, merge again.
void MembershipProtocol::TryJoin(Time now, ProtocolOutput& out) {
  const Duration longest = options_.probe_period * (joined_ ? kSeedRetryPeriods : kMaxJoinBackoffPeriods);
  const bool grows = !joined_ || options_.seek_missing_seeds;
  const Duration wait =
      grows ? std::min(longest, options_.probe_period * (1 << std::min(join_backoff_++, 8))) : longest;
  join_due_ = now + Jittered(wait);
  if (name_conflict_until_) return;
  std::set<Address> present_addresses{self_.address};
  if (joined_)
    for (const auto& [name, member] : members_)
      if (member.record.present()) present_addresses.insert(member.record.address);
  for (std::size_t i = 0; i < options_.seeds.size(); ++i) {
    const Address& seed = options_.seeds[next_seed_++ % options_.seeds.size()];
    if (present_addresses.contains(seed)) continue;
    return StartExchange(seed, out);
  }
}

void MembershipProtocol::OnExchangeFailed(Time now, const Address&, ProtocolOutput& out) {
  DetectStall(now, out);
  if (!joined_) ++failed_joins_;
}

void MembershipProtocol::CompleteJoin(Time now, ProtocolOutput& out) {
  name_conflict_until_.reset();
  if (std::exchange(joined_, true)) return;
  join_backoff_ = 0;
  join_due_ = now + Jittered(options_.probe_period * (options_.seek_missing_seeds ? 1 : kSeedRetryPeriods));
  period_due_ = now;
  changed_at_ = now;
  AnnounceSelf();
  SendGossip(out);
}

// ---- Handling messages ---------------------------------------------------------------------------------

void MembershipProtocol::OnMessage(Time now, const GossipMessage& message, ProtocolOutput& out) {
  if (!started_ || muted()) return;
  DetectStall(now, out);
  const MemberRecord& sender = message.sender;
  if (sender.name == self_.name) {
    if (sender.address == self_.address) return;  // own message, or one of an earlier boot
    const bool older = std::pair(sender.boot, sender.address) < std::pair(self_.boot, self_.address);
    if (name_conflict_until_ || (message.kind == MessageKind::kNameTaken && older))
      return Reject(now, sender, out);
    if (message.kind != MessageKind::kNameTaken || !older)
      Send(sender.address, "", GossipMessage{MessageKind::kNameTaken}, out);
    return;
  }
  if (message.kind == MessageKind::kNameTaken) return;
  // A newcomer under a name that is in use must first find out itself whether the holder is still there.
  const auto known = members_.find(sender.name);
  const bool contested = message.kind == MessageKind::kExchange && known != members_.end() &&
                         known->second.record.present() && known->second.record.address != sender.address;
  if (!contested) MergeSenderRecord(now, sender, out);
  bool accused = false;
  for (const MemberRecord& update : message.rumours) {
    accused = accused ||
              (update.name == self_.name && update.boot == self_.boot && update.state != MemberState::kAlive);
    MergeRecord(now, update, out);
  }
  if (muted()) return;
  // Whoever passes on an accusation receives the refutation first, not only by chance (fleet-mix-splits, seed
  // 966: all eight rumours of a refutation went to members that were cut off).
  if (accused && joined_ && !left() && message.kind != MessageKind::kPing &&
      message.kind < MessageKind::kExchange)
    Send(sender.address, sender.name, GossipMessage{MessageKind::kGossip}, out);
  CompareFingerprints(now, message, out);
  switch (message.kind) {
    case MessageKind::kPing:
      if (message.target != self_.name) break;
      if (!joined_ && !name_conflict_until_)
        // The fleet knows this gateway already, from an exchange whose reply was lost.
        CompleteJoin(now, out);
      if (joined_) Send(sender.address, sender.name, GossipMessage{MessageKind::kAck, message.sequence}, out);
      break;
    case MessageKind::kAck:
      if (probe_ && message.sequence == probe_->sequence &&
          (sender.name == probe_->name || message.target == probe_->name)) {
        if (!std::exchange(probe_->acked, true)) LowerHealthPenalty();
        recovering_ = false;
      } else if (const auto it = relayed_pings_.find(message.sequence);
                 it != relayed_pings_.end() && it->second.target == sender.name) {
        GossipMessage ack{MessageKind::kAck, it->second.sequence};
        ack.target = sender.name;
        Send(it->second.requester, "", std::move(ack), out);
        relayed_pings_.erase(it);
      }
      break;
    case MessageKind::kNack:
      if (probe_ && message.sequence == probe_->sequence && probe_->nacks < probe_->helpers) ++probe_->nacks;
      break;
    case MessageKind::kPingRequest:
      if (message.target == self_.name || message.target_address.port == 0) break;
      if (relayed_pings_.size() < kMaxRelayedPings && !left()) {
        const Duration wait = Scale(options_.probe_period, 1 - kIndirectProbeAfter);
        relayed_pings_[Ping(message.target_address, message.target, out)] =
            RelayedPing{sender.address, message.sequence, message.target, now + Scale(wait, kNackAfter),
                        now + options_.probe_period * 2};
      }
      break;
    case MessageKind::kExchange:
    case MessageKind::kExchangeReply:
      if (!joined_ && !name_conflict_until_)
        // Gateways that all start at the same time find each other this way.
        CompleteJoin(now, out);
      break;
    case MessageKind::kPayload:
      if (joined_) out.payloads.push_back({sender.name, sender.boot, message.channel, message.payload});
      break;
    default:
      break;
  }
  // The handled message may have removed the reason for the earlier deadline.
  due_before_ = NextDue().value_or(now);
}

// Rumours are sent a bounded number of times and may miss a member. Two gateways with different views,
// neither of which has had news for a while, fetch each other's full state.
void MembershipProtocol::CompareFingerprints(Time now, const GossipMessage& message, ProtocolOutput& out) {
  if (message.fingerprint == 0 || message.fingerprint == Fingerprint() || !joined_ || left() ||
      !IsPresent(message.sender.name))
    return;
  if (now < next_compare_exchange_ || now < changed_at_ + options_.probe_period * kSettledPeriods) return;
  next_compare_exchange_ = now + options_.probe_period * kSettledPeriods;
  StartExchange(message.sender.address, out);
}

// A member that is believed dead but sends messages may not know of it: notify it so that it can refute.
void MembershipProtocol::MergeSenderRecord(Time now, const MemberRecord& sender, ProtocolOutput& out) {
  MergeRecord(now, sender, out);
  const auto it = members_.find(sender.name);
  if (it == members_.end() || muted() || !joined_) return;
  const MemberRecord& known_record = it->second.record;
  if (sender.present() && known_record.state == MemberState::kDead && known_record.boot == sender.boot)
    Send(sender.address, sender.name, GossipMessage{MessageKind::kGossip}, out);
}

void MembershipProtocol::MergeRecord(Time now, MemberRecord update, ProtocolOutput& out) {
  if (update.name == self_.name) return MergeOwnRecord(now, update, out);
  const auto it = members_.find(update.name);
  if (it == members_.end()) {
    if (!update.present() || !MakeRoom()) return;
    return ApplyRecord(now, update, out);
  }
  const MemberRecord& known = it->second.record;
  if (!Supersedes(update, known)) {
    const bool same = update.boot == known.boot && update.incarnation == known.incarnation;
    if (same && update.state == MemberState::kSuspect && known.state == MemberState::kSuspect)
      ConfirmSuspicion(update);
    return;
  }
  // A report alone makes nobody dead. After a partition heals, each side believes the members of the other
  // side dead, and each of these needs time to refute. The reported member becomes suspect, with a short
  // timeout.
  if (update.state == MemberState::kDead && known.present() && update.boot == known.boot) {
    update.state = MemberState::kSuspect;
    const bool first = Supersedes(update, known);
    if (first) ApplyRecord(now, update, out);
    ShortenSuspicion(now, update.name);
    // The timeout is short, so a few of the gateways that receive the report notify the member at once,
    // whatever the size of the fleet.
    if (first && RandomChance(FewMembersChance()))
      Send(known.address, known.name, GossipMessage{MessageKind::kGossip}, out);
    return;
  }
  ApplyRecord(now, update, out);
}

void MembershipProtocol::MergeOwnRecord(Time now, const MemberRecord& update, ProtocolOutput& out) {
  if (!joined_ && update.present() && update.address != self_.address) {
    if (update.boot >= self_.boot) self_.boot = update.boot + 1;
    if (!name_conflict_until_) {
      name_conflict_until_ = now + options_.probe_period * kNameConflictPeriods;
      join_due_ = std::max(join_due_, *name_conflict_until_);
    }
    Ping(update.address, self_.name, out);
    return;
  }
  if (update.boot > self_.boot) {
    // An earlier boot with a clock ahead of this one, or a process that used the same name and has left:
    // continue with a higher boot.
    if (update.address == self_.address || !update.present()) {
      self_.boot = update.boot + 1;
      self_.incarnation = 0;
      ++version_;
      return AnnounceSelf();
    }
    if (now < name_taken_due_) return;
    name_taken_due_ = now + options_.probe_period / 2;
    return Send(update.address, "", GossipMessage{MessageKind::kNameTaken}, out);
  }
  if (update.boot < self_.boot) {
    if (joined_ && !rumours_.contains(self_.name)) AnnounceSelf();
    return;
  }
  if (left()) return;
  if (update.state == MemberState::kAlive) {
    self_.incarnation = std::max(self_.incarnation, update.incarnation);
    return;
  }
  // Announced by a process that took over in an upgrade and then ended; this gateway is still running.
  if (update.state == MemberState::kLeft) {
    ++self_.boot;
    self_.incarnation = 0;
    ++version_;
    return AnnounceSelf();
  }
  if (update.incarnation < self_.incarnation) return;
  self_.incarnation = update.incarnation + 1;
  RaiseHealthPenalty(1);
  AnnounceSelf();
}

void MembershipProtocol::Reject(Time now, const MemberRecord& name_holder, ProtocolOutput& out) {
  if (joined_) Leave(now, out);
  rejection_ = "the name " + self_.name + " is held by the gateway at " + name_holder.address.ToText() +
               "; this one, at " + self_.address.ToText() + ", stays outside of the fleet";
  ++version_;
  out.changes.push_back({MembershipChange::Kind::kRejected, self_, false, rejection_});
}

void MembershipProtocol::NoteChange(Time now, const MemberRecord& record, bool is_new, ProtocolOutput& out) {
  ++version_;
  changed_at_ = now;
  settled_ = false;
  out.changes.push_back({MembershipChange::Kind::kMemberChanged, record, is_new, ""});
}

void MembershipProtocol::ApplyRecord(Time now, const MemberRecord& update, ProtocolOutput& out) {
  const auto [it, added] = members_.try_emplace(update.name, Member{update, now});
  Member& member = it->second;
  const MemberRecord before = member.record;
  const bool was_present = !added && before.present();
  const bool is_new = added || before.boot != update.boot;
  member.record = update;
  if (member.record.metadata.empty() && !is_new) member.record.metadata = before.metadata;
  present_ = present_ + (update.present() ? 1 : 0) - (was_present ? 1 : 0);
  members_fingerprint_ +=
      (update.present() ? FingerprintOf(update) : 0) - (was_present ? FingerprintOf(before) : 0);
  suspicions_.erase(update.name);
  // The round keeps absent members until its end, so a flood of names must start a new one.
  if (update.present() && !was_present && probe_round_.size() >= 2 * kMaxMembers) NewProbeRound();
  if (update.present() && !was_present) {
    const std::size_t from = std::min(probe_index_, probe_round_.size());
    probe_round_.insert(probe_round_.begin() +
                            static_cast<std::ptrdiff_t>(from + RandomBelow(probe_round_.size() - from + 1)),
                        update.name);
  }
  if (is_new || before.state != update.state || before.address != update.address) {
    member.state_since = now;
    NoteChange(now, member.record, is_new, out);
  }
  if (update.state == MemberState::kSuspect) StartSuspicion(now, update);
  QueueRumour(update);
  // The member was found again: the network was at fault rather than this gateway. Reset the health penalty
  // and fetch the full state of the other side.
  if (update.present() && !was_present && !is_new) health_ = 0;
  if (update.present() && !was_present && !is_new && now >= next_compare_exchange_ && joined_) {
    next_compare_exchange_ = now + options_.probe_period;
    StartExchange(update.address, out);
  }
}

// ---- Suspicion ----------------------------------------------------------------------------------------

void MembershipProtocol::Suspect(Time now, const std::string& name, const std::string& by,
                                 ProtocolOutput& out) {
  const auto it = members_.find(name);
  if (it == members_.end()) return;
  MemberRecord update = it->second.record;
  update.reported_by = by;
  update.metadata.clear();
  if (update.state == MemberState::kSuspect) return ConfirmSuspicion(update);
  update.state = MemberState::kSuspect;
  ApplyRecord(now, update, out);
  Send(update.address, name, GossipMessage{MessageKind::kGossip}, out);  // notify the suspect at once
}

// Lifeguard, "LHA-suspicion": from the longest timeout without confirmations down to the shortest.
Duration MembershipProtocol::SuspicionTimeout(std::size_t confirmations) const {
  const double log_members = std::max(1.0, std::log10(static_cast<double>(alive())));
  const double shortest = kMinSuspicionPeriods * log_members;
  if (!options_.lifeguard) return Scale(options_.probe_period, shortest);
  const std::size_t reachable =
      std::min(kSuspicionConfirmations, present_ > 2 ? present_ - 2 : 0);  // no others can confirm
  if (reachable == 0 || confirmations >= reachable) return Scale(options_.probe_period, shortest);
  const double part =
      std::log(static_cast<double>(confirmations) + 1) / std::log(static_cast<double>(reachable) + 1);
  return Scale(options_.probe_period, shortest * (kMaxSuspicionFactor - (kMaxSuspicionFactor - 1) * part));
}

void MembershipProtocol::StartSuspicion(Time now, const MemberRecord& update) {
  Suspicion& suspicion = suspicions_[update.name];
  suspicion.began = now;
  suspicion.confirmed_by = {update.reported_by};
  suspicion.ends = now + SuspicionTimeout(0);
  // A few gateways probe the suspect themselves, whatever the size of the fleet, so that the first
  // confirmations arrive within two periods.
  if (options_.lifeguard && update.reported_by != self_.name && urgent_probes_.size() < kMaxUrgentProbes &&
      RandomChance(FewMembersChance()))
    urgent_probes_.push_back(update.name);
}

void MembershipProtocol::ConfirmSuspicion(const MemberRecord& update) {
  const auto it = suspicions_.find(update.name);
  if (!options_.lifeguard || it == suspicions_.end()) return;
  Suspicion& suspicion = it->second;
  if (suspicion.confirmed_by.size() > kSuspicionConfirmations ||
      !suspicion.confirmed_by.insert(update.reported_by).second)
    return;
  suspicion.ends =
      std::min(suspicion.ends, suspicion.began + SuspicionTimeout(suspicion.confirmed_by.size() - 1));
  QueueRumour(update);  // each confirmation is gossiped once
}

// Probability with which each present member acts so that a few of them do, whatever their number.
double MembershipProtocol::FewMembersChance() const {
  return 2.0 * kSuspicionConfirmations / static_cast<double>(std::max<std::size_t>(1, present_));
}

void MembershipProtocol::ShortenSuspicion(Time now, const std::string& name) {
  if (const auto it = suspicions_.find(name); it != suspicions_.end())
    it->second.ends =
        std::min(it->second.ends, now + SuspicionTimeout(kSuspicionConfirmations) * kReportedDeadFactor);
}

// Pings a suspect before its timeout, in case all rumours of its refutation missed this gateway
// (fleet-long-loss, seeds 1 to 8: one in a hundred gateways that had heard of a suspicion did not hear of its
// end).
std::optional<Time> MembershipProtocol::NextSuspectPing(const Suspicion& suspicion) const {
  // Fractions of the timeout. Five pings, because a ping or its answer is lost once in five at 10% loss and
  // once in four where some datagrams are also corrupted; three in a row then fail once in 64
  // (fleet-mix-stalls, seed 446).
  constexpr double kPingPoints[] = {0.3, 0.45, 0.6, 0.75, 0.9};
  if (!options_.lifeguard || suspicion.pings >= static_cast<int>(std::size(kPingPoints))) return std::nullopt;
  return suspicion.began + Scale(suspicion.ends - suspicion.began, kPingPoints[suspicion.pings]);
}

void MembershipProtocol::PingSuspects(Time now, ProtocolOutput& out) {
  for (auto& [name, suspicion] : suspicions_) {
    const auto due = NextSuspectPing(suspicion);
    if (!due || now < *due) continue;
    ++suspicion.pings;
    Ping(members_.at(name).record.address, name, out);
  }
}

void MembershipProtocol::ExpireSuspicions(Time now, ProtocolOutput& out) {
  std::vector<std::string> expired;
  for (const auto& [name, suspicion] : suspicions_)
    if (now >= suspicion.ends) expired.push_back(name);
  for (const std::string& name : expired) {
    MemberRecord update = members_.at(name).record;
    update.state = MemberState::kDead;
    update.reported_by = self_.name;
    ApplyRecord(now, update, out);
  }
}

// ---- Bounds -------------------------------------------------------------------------------------------

void MembershipProtocol::PurgeAbsent(Time now) {
  if (members_.size() == present_) return;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const Duration kept =
        member.record.state == MemberState::kLeft ? Duration(kLeftRetention) : Duration(kDeadRetention);
    if (member.record.present() || now < member.state_since + kept) {
      ++it;
      continue;
    }
    DropRumour(it->first);
    it = members_.erase(it);
  }
}

// Bounds the view, however many names appear over time. Absent members make room, those absent for longest
// first and several at once, so that each name of a flood costs little.
bool MembershipProtocol::MakeRoom() {
  if (members_.size() + 1 < kMaxMembers) return true;
  std::vector<std::pair<Time, std::string>> absent;
  for (const auto& [name, member] : members_)
    if (!member.record.present()) absent.emplace_back(member.state_since, name);
  const std::size_t evicted_count = (absent.size() + 7) / 8;
  std::nth_element(absent.begin(), absent.begin() + static_cast<std::ptrdiff_t>(evicted_count), absent.end());
  for (std::size_t i = 0; i < evicted_count; ++i) {
    members_.erase(absent[i].second);
    DropRumour(absent[i].second);
  }
  return evicted_count > 0;
}

// ---- The view -----------------------------------------------------------------------------------------

std::size_t MembershipProtocol::alive() const { return present_ + (left() || !rejection_.empty() ? 0 : 1); }

std::uint64_t MembershipProtocol::Fingerprint() const {
  return members_fingerprint_ + (left() || !rejection_.empty() ? 0 : FingerprintOf(self_));
}

}  // namespace curlewdoor::fleet
