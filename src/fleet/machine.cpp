#include "fleet/machine.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::fleet {
namespace {

// Periods are the unit of everything. Where each figure comes from: docs/fleet-view.md, "Bounds".
constexpr double kOthersAfter = 0.3;       // of a period, without an answer: others are asked
constexpr double kNackAfter = 0.8;         // of what the requester waits: the helper tells that it is there
constexpr std::size_t kHelpers = 3;        // that are asked to ask
constexpr std::size_t kWitnesses = 3;      // beside the first, that bring a suspicion to its shortest
constexpr double kSuspicionPeriods = 1.5;  // the shortest, a power of ten of members each
constexpr double kSuspicionSpan = 4;       // the longest over the shortest
constexpr int kHearsay = 2;                // times the shortest, for who is said to be dead
constexpr std::size_t kFanOut = 3;         // receivers of rumours at once ...
constexpr int kGossipsAPeriod = 4;         // ... so often, while there are any
constexpr int kRetransmit = 4;             // times a power of ten of members: how often a rumour is sent
constexpr int kWorstHealth = 8;
constexpr std::size_t kMostProxied = 256, kMostUrgent = 8;
constexpr int kExchangeEvery = 60;     // periods: a full exchange with anybody
constexpr int kSeedsEvery = 10;        // periods: a seed that is not in the view
constexpr int kLongestBackoff = 8;     // periods between two tries to join
constexpr int kSettledAfter = 2;       // periods without a change
constexpr int kRivalWait = 4;          // periods for an answer of who holds this name
constexpr int kDoubt = 6;              // periods at most in which one that stood still accuses nobody
constexpr std::size_t kLastWords = 8;  // receivers of the word that this one leaves
constexpr double kDeadAsked = 2;       // times a period, each of the dead, by the whole fleet
constexpr auto kFreshlyDead = std::chrono::seconds(60);  // after that a tenth as often
constexpr auto kLeftKept = std::chrono::seconds(60), kDeadKept = std::chrono::seconds(24 * 3600);

Duration Times(Duration of, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(of.count()) * factor));
}

std::uint64_t PrintOf(const Record& record) { return StableHash(record.name, record.boot); }

}  // namespace

Machine::Machine(Options options, std::uint64_t seed) : options_(std::move(options)), random_(seed) {
  self_.name = options_.name;
  self_.boot = options_.boot;
  self_.address = options_.address;
  self_.about = options_.about;
}

// ---- Chance -------------------------------------------------------------------------------------------

std::uint64_t Machine::Below(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

bool Machine::Chance(double part) { return Fraction(random_()) < part; }

Duration Machine::Jittered(Duration of) { return Times(of, 0.75 + 0.5 * Fraction(random_())); }

// ---- Start and end ------------------------------------------------------------------------------------

void Machine::TakeOver(Time now, const std::vector<Record>& records) {
  if (records.empty() || records.front().name != self_.name) return;
  // A process that had said that it leaves has ended that life: this one is the next.
  if (records.front().state == State::kLeft) {
    self_.boot = std::max(self_.boot, records.front().boot + 1);
  } else {
    self_.boot = records.front().boot;
    self_.incarnation = records.front().incarnation;
  }
  joined_ = true;
  for (std::size_t i = 1; i < records.size() && members_.size() + 1 < kMostMembers; ++i) {
    const Record& record = records[i];
    if (record.name == self_.name || members_.contains(record.name)) continue;
    members_[record.name] = Member{record, now};
    if (record.present()) {
      ++present_;
      print_ += PrintOf(record);
    }
    if (record.state == State::kSuspect) SetSuspicion(now, record);
  }
}

void Machine::Start(Time now, Out& out) {
  started_ = true;
  period_due_ = now + Times(options_.probe, static_cast<double>(Below(1000)) / 1000);
  gossip_due_ = now;
  exchange_due_ = now + Jittered(options_.probe * kExchangeEvery);
  exchange_free_ = now;
  changed_at_ = now;
  taken_due_ = now;
  join_due_ = now;
  next_seed_ = Below(std::max<std::size_t>(1, options_.seeds.size()));
  const bool others = std::any_of(options_.seeds.begin(), options_.seeds.end(),
                                  [&](const Address& seed) { return seed != self_.address; });
  if (!joined_ && !others) joined_ = true;
  if (joined_) Speak();
  due_before_ = now;
  Tick(now, out);
}

void Machine::SetSeeds(Time now, std::vector<Address> seeds) {
  options_.seeds = std::move(seeds);
  next_seed_ = Below(std::max<std::size_t>(1, options_.seeds.size()));
  join_backoff_ = 0;
  join_due_ = now;
}

// Its own word goes first to several at once, so that nobody has to find out by asking in vain.
void Machine::Leave(Time now, Out& out) {
  if (silent() || left() || !started_) return;
  self_.state = State::kLeft;
  self_.by = self_.name;
  ++version_;
  if (!joined_) return;
  Speak();
  for (const std::string& name : SomePresent(kLastWords, ""))
    Send(members_.at(name).record.address, name, Message{Kind::kGossip}, out);
  gossip_due_ = now + options_.probe / kGossipsAPeriod;
}

std::vector<Record> Machine::HandOn() {
  handed_on_ = true;
  std::vector<Record> records{self_};
  for (const auto& [name, member] : members_) records.push_back(member.record);
  return records;
}

void Machine::Resume(Time now) {
  if (!std::exchange(handed_on_, false)) return;
  probe_.reset();
  proxied_.clear();
  period_due_ = gossip_due_ = due_before_ = now;
  for (auto& [name, suspicion] : suspicions_) suspicion.ends = std::max(suspicion.ends, now + options_.probe);
  ++self_.incarnation;  // whoever went on for a moment may have raised it too
  Speak();
}

// ---- Time ---------------------------------------------------------------------------------------------

std::optional<Time> Machine::NextDue() const {
  if (!started_ || silent()) return std::nullopt;
  Time due = std::min({period_due_, join_due_, exchange_due_});
  if (!rumours_.empty()) due = std::min(due, gossip_due_);
  const bool active = joined_ && !left();  // as in Tick(): what that leaves alone must not be due
  if (active && probe_ && !probe_->acked && !probe_->asked_others) due = std::min(due, probe_->asks_others);
  if (active) {
    for (const auto& [name, suspicion] : suspicions_) {
      due = std::min(due, doubting_ ? std::max(suspicion.ends, doubts_until_) : suspicion.ends);
      due = std::min(due, NextAsk(suspicion).value_or(due));
    }
  }
  for (const auto& [sequence, proxied] : proxied_)
    due = std::min(due, proxied.nacked ? proxied.ends : proxied.nack_at);
  if (!settled_ && joined_ && suspicions_.empty())
    due = std::min(due, changed_at_ + options_.probe * kSettledAfter);
  return due;
}

// Who stood still takes everybody else for silent: what was asked before the stall proves nothing, and nobody
// is accused before an answer has shown that this process hears at all.
void Machine::Notice(Time now, Out& out) {
  const Duration late = now - due_before_;
  if (!started_ || silent() || !options_.lifeguard || late <= options_.probe / 2) return;
  probe_.reset();
  proxied_.clear();
  for (auto& [name, suspicion] : suspicions_)
    suspicion.ends = std::max(suspicion.ends + late, now + options_.probe);
  period_due_ = gossip_due_ = now;
  join_due_ = std::max(join_due_, now);
  doubting_ = present_ > 0;
  doubts_until_ = now + options_.probe * kDoubt;
  Worse(static_cast<int>(std::min<Duration::rep>(kWorstHealth, 1 + late / options_.probe)));
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(late).count();
  out.changes.push_back({Change::Kind::kStalled, self_, false, std::to_string(ms)});
  due_before_ = now;
}

void Machine::Tick(Time now, Out& out) {
  if (!started_ || silent()) return;
  Notice(now, out);
  if (doubting_ && now >= doubts_until_) doubting_ = false;
  if (rival_until_ && now >= *rival_until_) Joined(now, out);
  if (now >= join_due_) Join(now, out);
  if (joined_ && !left()) {
    if (probe_ && !probe_->acked && !probe_->asked_others && now >= probe_->asks_others) AskOthers(out);
    if (now >= period_due_) {
      EndProbe(now, out);
      Begin(now, out);
    }
    AskSuspects(now, out);
    if (!doubting_) ExpireSuspicions(now, out);
    if (now >= exchange_due_) {
      exchange_due_ = now + Jittered(options_.probe * kExchangeEvery);
      for (const std::string& name : SomePresent(1, "")) Exchange(members_.at(name).record.address, out);
    }
  } else if (now >= period_due_) {
    period_due_ = now + options_.probe;
  }
  if (now >= exchange_due_) exchange_due_ = now + options_.probe * kExchangeEvery;
  for (auto it = proxied_.begin(); it != proxied_.end();) {
    Proxied& proxied = it->second;
    if (!proxied.nacked && now >= proxied.nack_at) {
      proxied.nacked = true;
      Message nack{Kind::kNack, proxied.sequence};
      nack.target = proxied.target;
      if (options_.lifeguard) Send(proxied.requester, "", std::move(nack), out);
    }
    it = now >= proxied.ends ? proxied_.erase(it) : std::next(it);
  }
  if (now >= gossip_due_) {
    gossip_due_ = now + options_.probe / kGossipsAPeriod;
    if (joined_) Gossip(out);
  }
  SettleUp(now, out);
  due_before_ = NextDue().value_or(now);
}

void Machine::SettleUp(Time now, Out& out) {
  if (settled_ || !joined_ || !suspicions_.empty()) return;
  if (now < changed_at_ + options_.probe * kSettledAfter) return;
  settled_ = true;
  out.changes.push_back({Change::Kind::kSettled, self_, false, ""});
}

// ---- Asking members -----------------------------------------------------------------------------------

bool Machine::Present(std::string_view name) const {
  const auto it = members_.find(std::string(name));
  return it != members_.end() && it->second.record.present();
}

void Machine::Worse(int by) {
  if (options_.lifeguard) health_ = std::clamp(health_ + by, 0, kWorstHealth);
}
void Machine::Better() { health_ = std::max(0, health_ - 1); }

void Machine::Begin(Time now, Out& out) {
  period_due_ = now + PeriodNow();
  Forget(now);
  if (const auto name = NextToProbe()) StartProbe(now, *name, out);
  AskDead(now, out);
}

// Everybody is asked once in a round of a random order, so that the longest time until a member is asked is
// bounded, and not only its mean (SWIM, 4.3).
std::optional<std::string> Machine::NextToProbe() {
  while (!urgent_.empty()) {
    const std::string name = urgent_.front();
    urgent_.erase(urgent_.begin());
    if (Present(name)) return name;
  }
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (in_round_ < round_.size()) {
      const std::string& name = round_[in_round_++];
      if (Present(name)) return name;
    }
    NewRound();
  }
  return std::nullopt;
}

void Machine::NewRound() {
  round_.clear();
  in_round_ = 0;
  for (const auto& [name, member] : members_)
    if (member.record.present()) round_.push_back(name);
  for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[Below(i)]);
}

void Machine::StartProbe(Time now, const std::string& name, Out& out) {
  probe_ = Probe{name, Ping(members_.at(name).record.address, name, out)};
  probe_->asks_others = now + Times(PeriodNow(), kOthersAfter);
}

void Machine::AskOthers(Out& out) {
  probe_->asked_others = true;
  const auto it = members_.find(probe_->name);
  if (it == members_.end()) return;
  for (const std::string& helper : SomePresent(kHelpers, probe_->name)) {
    Message request{Kind::kPingRequest, probe_->sequence};
    request.target = probe_->name;
    request.target_address = it->second.record.address;
    Send(members_.at(helper).record.address, helper, std::move(request), out);
    ++probe_->helpers;
  }
}

void Machine::EndProbe(Time now, Out& out) {
  if (!probe_) return;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  if (probe.acked || !Present(probe.name) || doubting_) return;
  // Helpers that were silent too speak against this gateway's own hearing (Lifeguard, "LHA-probe").
  Worse(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
  Suspect(now, probe.name, self_.name, out);
}

// The dead of a partition's other side are asked again, each some times a period by all of the living
// together: halves find each other without an operator, and the dead of long ago cost next to nothing.
void Machine::AskDead(Time now, Out& out) {
  std::vector<const Record*> dead;
  bool fresh = false;
  for (const auto& [name, member] : members_) {
    if (member.record.state != State::kDead) continue;
    dead.push_back(&member.record);
    fresh = fresh || now < member.since + kFreshlyDead;
  }
  if (dead.empty()) return;
  const double part = kDeadAsked * static_cast<double>(dead.size()) / static_cast<double>(alive());
  if (!Chance(std::min(1.0, part) * (fresh ? 1.0 : 0.1))) return;
  const Record& one = *dead[Below(dead.size())];
  Ping(one.address, one.name, out);
}

// ---- Rumours ------------------------------------------------------------------------------------------

int Machine::RumourLimit() const {
  return kRetransmit * static_cast<int>(std::ceil(std::log10(static_cast<double>(alive()) + 1)));
}

void Machine::Spread(const Record& record) {
  Hush(record.name);
  const Rumour rumour{record, 0, next_order_++};
  by_sent_.insert({{0, rumour.order}, record.name});
  rumours_[record.name] = rumour;
}

// Who is forgotten is talked of no more: the rumours are bounded by the members.
void Machine::Hush(const std::string& name) {
  const auto it = rumours_.find(name);
  if (it == rumours_.end()) return;
  by_sent_.erase({{it->second.sent, it->second.order}, name});
  rumours_.erase(it);
}

void Machine::Speak() { Spread(self_); }

// What is believed of the receiver goes first: a suspect hears of it at once and can refute.
void Machine::Fill(Message& message, std::string_view receiver) {
  std::size_t room = kMostDatagram - SizeOfHead(message, options_.fleet);
  const auto add = [&](const Record& record) {
    const std::size_t size = SizeOf(record);
    if (size > room) return false;
    room -= size;
    message.rumours.push_back(record);
    return true;
  };
  if (const auto it = members_.find(std::string(receiver)); it != members_.end())
    if (it->second.record.state != State::kAlive) add(it->second.record);
  const int limit = RumourLimit();
  std::vector<std::string> taken;
  for (const auto& [rank, name] : by_sent_) {
    const Rumour& rumour = rumours_.at(name);
    if (!add(rumour.record)) break;
    taken.push_back(name);
  }
  for (const std::string& name : taken) {
    Rumour& rumour = rumours_.at(name);
    by_sent_.erase({{rumour.sent, rumour.order}, name});
    if (++rumour.sent >= limit) {
      rumours_.erase(name);
    } else {
      by_sent_.insert({{rumour.sent, rumour.order}, name});
    }
  }
}

void Machine::Send(const Address& to, std::string_view receiver, Message message, Out& out) {
  message.sender = self_;
  if (message.kind == Kind::kPing || message.kind == Kind::kAck) message.view = Fingerprint();
  Fill(message, receiver);
  out.datagrams.push_back({to, std::move(message)});
}

std::uint32_t Machine::Ping(const Address& to, const std::string& target, Out& out) {
  Message ping{Kind::kPing, next_sequence_++};
  ping.target = target;
  const std::uint32_t sequence = ping.sequence;
  Send(to, target, std::move(ping), out);
  return sequence;
}

void Machine::SendPayload(const std::string& name, std::uint8_t channel, std::string payload, Out& out) {
  const auto it = members_.find(name);
  if (silent() || it == members_.end() || payload.size() > kMostPayload) return;
  Message message{Kind::kPayload};
  message.channel = channel;
  message.payload = std::move(payload);
  Send(it->second.record.address, name, std::move(message), out);
}

std::vector<std::string> Machine::SomePresent(std::size_t count, std::string_view but) {
  std::vector<std::string> chosen;
  if (round_.empty()) NewRound();
  if (round_.empty()) return chosen;
  for (std::size_t tries = 0; tries < 6 * count && chosen.size() < count; ++tries) {
    const std::string& name = round_[Below(round_.size())];
    if (name == but || !Present(name)) continue;
    if (std::find(chosen.begin(), chosen.end(), name) == chosen.end()) chosen.push_back(name);
  }
  return chosen;
}

void Machine::Gossip(Out& out) {
  if (rumours_.empty()) return;
  for (const std::string& name : SomePresent(kFanOut, "")) {
    if (rumours_.empty()) return;
    Send(members_.at(name).record.address, name, Message{Kind::kGossip}, out);
  }
  if (present_ == 0) {  // nobody to tell
    rumours_.clear();
    by_sent_.clear();
  }
}

// ---- Joining and full exchanges -----------------------------------------------------------------------

void Machine::Exchange(const Address& with, Out& out) {
  out.exchanges.push_back({with, Full(Kind::kExchange)});
}

Message Machine::Full(Kind kind) const {
  Message message{kind};
  message.sender = self_;
  for (const auto& [name, member] : members_) message.rumours.push_back(member.record);
  return message;
}

// Also once it has joined: a seed that nobody of the view stands at is asked now and then, so that fleets
// which lost each other wholly, as in a restart of all seeds, find together.
void Machine::Join(Time now, Out& out) {
  const Duration longest = options_.probe * (joined_ ? kSeedsEvery : kLongestBackoff);
  const bool grows = !joined_ || options_.seeks_seeds;
  const Duration wait =
      grows ? std::min(longest, options_.probe * (1 << std::min(join_backoff_++, 8))) : longest;
  join_due_ = now + Jittered(wait);
  if (rival_until_) return;
  std::set<Address> held{self_.address};
  if (joined_)
    for (const auto& [name, member] : members_)
      if (member.record.present()) held.insert(member.record.address);
  for (std::size_t i = 0; i < options_.seeds.size(); ++i) {
    const Address& seed = options_.seeds[next_seed_++ % options_.seeds.size()];
    if (held.contains(seed)) continue;
    return Exchange(seed, out);
  }
}

void Machine::OnExchangeFailed(Time now, const Address&, Out& out) {
  Notice(now, out);
  if (!joined_) ++failed_joins_;
}

void Machine::Joined(Time now, Out& out) {
  rival_until_.reset();
  if (std::exchange(joined_, true)) return;
  join_backoff_ = 0;
  join_due_ = now + Jittered(options_.probe * (options_.seeks_seeds ? 1 : kSeedsEvery));
  period_due_ = now;
  changed_at_ = now;
  Speak();
  Gossip(out);
}

// ---- Words --------------------------------------------------------------------------------------------

void Machine::OnMessage(Time now, const Message& message, Out& out) {
  if (!started_ || silent()) return;
  Notice(now, out);
  const Record& sender = message.sender;
  if (sender.name == self_.name) {
    if (sender.address == self_.address) return;  // its own words, or those of an earlier life
    const bool older = std::pair(sender.boot, sender.address) < std::pair(self_.boot, self_.address);
    if (rival_until_ || (message.kind == Kind::kTaken && older)) return Refuse(now, sender, out);
    if (message.kind != Kind::kTaken || !older) Send(sender.address, "", Message{Kind::kTaken}, out);
    return;
  }
  if (message.kind == Kind::kTaken) return;
  // A newcomer under a name that is held first finds out itself whether the holder is still there.
  const auto known = members_.find(sender.name);
  const bool contested = message.kind == Kind::kExchange && known != members_.end() &&
                         known->second.record.present() && known->second.record.address != sender.address;
  if (!contested) HearSender(now, sender, out);
  bool accused = false;
  for (const Record& word : message.rumours) {
    accused = accused || (word.name == self_.name && word.boot == self_.boot && word.state != State::kAlive);
    Hear(now, word, out);
  }
  if (silent()) return;
  // Who tells of an accusation hears the refutation first, and not only by chance (fleet-mix-splits, seed
  // 966: all eight rumours of it went to members that were cut off).
  if (accused && joined_ && !left() && message.kind != Kind::kPing && message.kind < Kind::kExchange)
    Send(sender.address, sender.name, Message{Kind::kGossip}, out);
  Compare(now, message, out);
  switch (message.kind) {
    case Kind::kPing:
      if (message.target != self_.name) break;
      if (!joined_ && !rival_until_)
        Joined(now, out);  // it is known already, by a question whose answer was lost
      if (joined_) Send(sender.address, sender.name, Message{Kind::kAck, message.sequence}, out);
      break;
    case Kind::kAck:
      if (probe_ && message.sequence == probe_->sequence &&
          (sender.name == probe_->name || message.target == probe_->name)) {
        if (!std::exchange(probe_->acked, true)) Better();
        doubting_ = false;
      } else if (const auto it = proxied_.find(message.sequence);
                 it != proxied_.end() && it->second.target == sender.name) {
        Message ack{Kind::kAck, it->second.sequence};
        ack.target = sender.name;
        Send(it->second.requester, "", std::move(ack), out);
        proxied_.erase(it);
      }
      break;
    case Kind::kNack:
      if (probe_ && message.sequence == probe_->sequence && probe_->nacks < probe_->helpers) ++probe_->nacks;
      break;
    case Kind::kPingRequest:
      if (message.target == self_.name || message.target_address.port == 0) break;
      if (proxied_.size() < kMostProxied && !left()) {
        const Duration wait = Times(options_.probe, 1 - kOthersAfter);
        proxied_[Ping(message.target_address, message.target, out)] =
            Proxied{sender.address, message.sequence, message.target, now + Times(wait, kNackAfter),
                    now + options_.probe * 2};
      }
      break;
    case Kind::kExchange:
    case Kind::kExchangeReply:
      if (!joined_ && !rival_until_)
        Joined(now, out);  // gateways that all start together find one another so
      break;
    case Kind::kPayload:
      if (joined_) out.payloads.push_back({sender.name, sender.boot, message.channel, message.payload});
      break;
    default:
      break;
  }
  due_before_ = NextDue().value_or(now);  // what was answered is due no more
}

// Rumours are sent a bounded number of times and may miss somebody. Two gateways whose views differ though
// neither has heard anything new for a while fetch what the other knows.
void Machine::Compare(Time now, const Message& message, Out& out) {
  if (message.view == 0 || message.view == Fingerprint() || !joined_ || left() ||
      !Present(message.sender.name))
    return;
  if (now < exchange_free_ || now < changed_at_ + options_.probe * kSettledAfter) return;
  exchange_free_ = now + options_.probe * kSettledAfter;
  Exchange(message.sender.address, out);
}

// Who is held for dead and speaks all the same does not know it: it is told, and can refute.
void Machine::HearSender(Time now, const Record& sender, Out& out) {
  Hear(now, sender, out);
  const auto it = members_.find(sender.name);
  if (it == members_.end() || silent() || !joined_) return;
  const Record& held = it->second.record;
  if (sender.present() && held.state == State::kDead && held.boot == sender.boot)
    Send(sender.address, sender.name, Message{Kind::kGossip}, out);
}

void Machine::Hear(Time now, Record word, Out& out) {
  if (word.name == self_.name) return HearOfMyself(now, word, out);
  const auto it = members_.find(word.name);
  if (it == members_.end()) {
    if (!word.present() || !MakeRoom()) return;
    return Apply(now, word, out);
  }
  const Record& known = it->second.record;
  if (!GoesBefore(word, known)) {
    const bool same = word.boot == known.boot && word.incarnation == known.incarnation;
    if (same && word.state == State::kSuspect && known.state == State::kSuspect) Witness(word);
    return;
  }
  // Nobody dies by hearsay: after a heal both sides hold the other's members for dead, and each of these has
  // to get the time to refute. Who hears of a death suspects for the shortest time.
  if (word.state == State::kDead && known.present() && word.boot == known.boot) {
    word.state = State::kSuspect;
    const bool first = GoesBefore(word, known);
    if (first) Apply(now, word, out);
    Hurry(now, word.name);
    // It has little time: some of those that hear of it tell it at once, however large the fleet.
    if (first && Chance(FewOf())) Send(known.address, known.name, Message{Kind::kGossip}, out);
    return;
  }
  Apply(now, word, out);
}

void Machine::HearOfMyself(Time now, const Record& word, Out& out) {
  if (!joined_ && word.present() && word.address != self_.address) {
    if (word.boot >= self_.boot) self_.boot = word.boot + 1;
    if (!rival_until_) {
      rival_until_ = now + options_.probe * kRivalWait;
      join_due_ = std::max(join_due_, *rival_until_);
    }
    Ping(word.address, self_.name, out);
    return;
  }
  if (word.boot > self_.boot) {
    // An earlier life whose clock went ahead of this one's, or a rival that has gone: this life goes on
    // above.
    if (word.address == self_.address || !word.present()) {
      self_.boot = word.boot + 1;
      self_.incarnation = 0;
      ++version_;
      return Speak();
    }
    if (now < taken_due_) return;
    taken_due_ = now + options_.probe / 2;
    return Send(word.address, "", Message{Kind::kTaken}, out);
  }
  if (word.boot < self_.boot) {
    if (joined_ && !rumours_.contains(self_.name)) Speak();
    return;
  }
  if (left()) return;
  if (word.state == State::kAlive) {
    self_.incarnation = std::max(self_.incarnation, word.incarnation);
    return;
  }
  if (word.state ==
      State::kLeft) {  // said by whoever went on in an upgrade and ended: this one is still there
    ++self_.boot;
    self_.incarnation = 0;
    ++version_;
    return Speak();
  }
  if (word.incarnation < self_.incarnation) return;
  self_.incarnation = word.incarnation + 1;
  Worse(1);
  Speak();
}

void Machine::Refuse(Time now, const Record& rival, Out& out) {
  if (joined_) Leave(now, out);
  refused_ = "the name " + self_.name + " is held by the gateway at " + rival.address.ToText() +
             "; this one, at " + self_.address.ToText() + ", stays outside of the fleet";
  ++version_;
  out.changes.push_back({Change::Kind::kRefused, self_, false, refused_});
}

void Machine::Note(Time now, const Record& record, bool is_new, Out& out) {
  ++version_;
  changed_at_ = now;
  settled_ = false;
  out.changes.push_back({Change::Kind::kMember, record, is_new, ""});
}

void Machine::Apply(Time now, const Record& word, Out& out) {
  const auto [it, added] = members_.try_emplace(word.name, Member{word, now});
  Member& member = it->second;
  const Record before = member.record;
  const bool was_present = !added && before.present();
  const bool is_new = added || before.boot != word.boot;
  member.record = word;
  if (member.record.about.empty() && !is_new) member.record.about = before.about;
  present_ = present_ + (word.present() ? 1 : 0) - (was_present ? 1 : 0);
  print_ += (word.present() ? PrintOf(word) : 0) - (was_present ? PrintOf(before) : 0);
  suspicions_.erase(word.name);
  // The round keeps those that have gone until its end: a flood of names begins a new one.
  if (word.present() && !was_present && round_.size() >= 2 * kMostMembers) NewRound();
  if (word.present() && !was_present) {
    const std::size_t from = std::min(in_round_, round_.size());
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(from + Below(round_.size() - from + 1)),
                  word.name);
  }
  if (is_new || before.state != word.state || before.address != word.address) {
    member.since = now;
    Note(now, member.record, is_new, out);
  }
  if (word.state == State::kSuspect) SetSuspicion(now, word);
  Spread(word);
  // Found again: the network was at fault and not this gateway's hearing; and what the other side knows is
  // fetched whole.
  if (word.present() && !was_present && !is_new) health_ = 0;
  if (word.present() && !was_present && !is_new && now >= exchange_free_ && joined_) {
    exchange_free_ = now + options_.probe;
    Exchange(word.address, out);
  }
}

// ---- Suspicion ----------------------------------------------------------------------------------------

void Machine::Suspect(Time now, const std::string& name, const std::string& by, Out& out) {
  const auto it = members_.find(name);
  if (it == members_.end()) return;
  Record word = it->second.record;
  word.by = by;
  word.about.clear();
  if (word.state == State::kSuspect) return Witness(word);
  word.state = State::kSuspect;
  Apply(now, word, out);
  Send(word.address, name, Message{Kind::kGossip}, out);  // it is told itself, at once
}

// Lifeguard, "LHA-suspicion": from the longest, as nobody else says so, down to the shortest.
Duration Machine::SuspicionTime(std::size_t witnesses) const {
  const double tens = std::max(1.0, std::log10(static_cast<double>(alive())));
  const double shortest = kSuspicionPeriods * tens;
  if (!options_.lifeguard) return Times(options_.probe, shortest);
  const std::size_t reachable = std::min(kWitnesses, present_ > 2 ? present_ - 2 : 0);  // there are no others
  if (reachable == 0 || witnesses >= reachable) return Times(options_.probe, shortest);
  const double part =
      std::log(static_cast<double>(witnesses) + 1) / std::log(static_cast<double>(reachable) + 1);
  return Times(options_.probe, shortest * (kSuspicionSpan - (kSuspicionSpan - 1) * part));
}

void Machine::SetSuspicion(Time now, const Record& word) {
  Suspicion& suspicion = suspicions_[word.name];
  suspicion.began = now;
  suspicion.by = {word.by};
  suspicion.ends = now + SuspicionTime(0);
  // A few look for themselves, however large the fleet: the first witnesses come within two periods.
  if (options_.lifeguard && word.by != self_.name && urgent_.size() < kMostUrgent && Chance(FewOf()))
    urgent_.push_back(word.name);
}

void Machine::Witness(const Record& word) {
  const auto it = suspicions_.find(word.name);
  if (!options_.lifeguard || it == suspicions_.end()) return;
  Suspicion& suspicion = it->second;
  if (suspicion.by.size() > kWitnesses || !suspicion.by.insert(word.by).second) return;
  suspicion.ends = std::min(suspicion.ends, suspicion.began + SuspicionTime(suspicion.by.size() - 1));
  Spread(word);  // each witness is told on, once
}

// The chance for each of the present by which a few of them act, whatever their number.
double Machine::FewOf() const {
  return 2.0 * kWitnesses / static_cast<double>(std::max<std::size_t>(1, present_));
}

void Machine::Hurry(Time now, const std::string& name) {
  if (const auto it = suspicions_.find(name); it != suspicions_.end())
    it->second.ends = std::min(it->second.ends, now + SuspicionTime(kWitnesses) * kHearsay);
}

// Guards against a refutation whose rumours all missed this gateway (fleet-long-loss, seeds 1 to 8: one in a
// hundred of those that had heard of a suspicion did not hear of its end): the suspect is asked before the
// time is over.
std::optional<Time> Machine::NextAsk(const Suspicion& suspicion) const {
  // Of the time that it lasts. Five, since a question and its answer get lost together once in five at a
  // tenth lost, and once in four where some are spoilt: three in a row once in 64 (fleet-mix-stalls, seed
  // 446).
  constexpr double kAsks[] = {0.3, 0.45, 0.6, 0.75, 0.9};
  if (!options_.lifeguard || suspicion.asked >= static_cast<int>(std::size(kAsks))) return std::nullopt;
  return suspicion.began + Times(suspicion.ends - suspicion.began, kAsks[suspicion.asked]);
}

void Machine::AskSuspects(Time now, Out& out) {
  for (auto& [name, suspicion] : suspicions_) {
    const auto due = NextAsk(suspicion);
    if (!due || now < *due) continue;
    ++suspicion.asked;
    Ping(members_.at(name).record.address, name, out);
  }
}

void Machine::ExpireSuspicions(Time now, Out& out) {
  std::vector<std::string> over;
  for (const auto& [name, suspicion] : suspicions_)
    if (now >= suspicion.ends) over.push_back(name);
  for (const std::string& name : over) {
    Record word = members_.at(name).record;
    word.state = State::kDead;
    word.by = self_.name;
    Apply(now, word, out);
  }
}

// ---- Bounds -------------------------------------------------------------------------------------------

void Machine::Forget(Time now) {
  if (members_.size() == present_) return;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const Duration kept = member.record.state == State::kLeft ? Duration(kLeftKept) : Duration(kDeadKept);
    if (member.record.present() || now < member.since + kept) {
      ++it;
      continue;
    }
    Hush(it->first);
    it = members_.erase(it);
  }
}

// The view never grows with names ever seen: of those that are gone the ones gone for longest make room,
// several at once, so that a flood of names costs little each.
bool Machine::MakeRoom() {
  if (members_.size() + 1 < kMostMembers) return true;
  std::vector<std::pair<Time, std::string>> gone;
  for (const auto& [name, member] : members_)
    if (!member.record.present()) gone.emplace_back(member.since, name);
  const std::size_t some = (gone.size() + 7) / 8;
  std::nth_element(gone.begin(), gone.begin() + static_cast<std::ptrdiff_t>(some), gone.end());
  for (std::size_t i = 0; i < some; ++i) {
    members_.erase(gone[i].second);
    Hush(gone[i].second);
  }
  return some > 0;
}

// ---- The view -----------------------------------------------------------------------------------------

std::size_t Machine::alive() const { return present_ + (left() || !refused_.empty() ? 0 : 1); }

std::uint64_t Machine::Fingerprint() const {
  return print_ + (left() || !refused_.empty() ? 0 : PrintOf(self_));
}

}  // namespace curlewdoor::fleet
