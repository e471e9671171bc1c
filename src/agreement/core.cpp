#include "agreement/core.hpp"

#include <algorithm>
#include <bit>

#include "agreement/codec.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kWriteAgain = milliseconds(200);  // after a disk's refusal
constexpr auto kTellAgain = milliseconds(50);    // "I am behind", to one that is ahead
constexpr std::size_t kMostWaiting = 512;        // replies that wait for the disk
constexpr std::size_t kPingsKept = 8;
constexpr std::size_t kSamples = 8;

}  // namespace

Core::Core(Member self, bool bootstrap, State from_disk, Options options, std::uint64_t seed)
    : self_(std::move(self)),
      bootstrap_(bootstrap),
      options_(options),
      random_(seed),
      state_(std::move(from_disk)),
      held_(std::make_shared<Record>(RecordOf(std::move(state_.value), std::move(state_.ledger)))),
      committed_(std::make_shared<Record>()),
      next_id_(random_()) {
  state_.value = {};
  state_.ledger = {};
  if (state_.stamp == Stamp{} && held_->value.version > 0) BeginWithValue();
  writing_stamp_ = written_stamp_ = state_.stamp;
  writing_epoch_ = written_epoch_ = state_.roster.epoch;
  highest_round_ = state_.promised.round;
  register_round_ = state_.register_promised.round;
}

// A value that no ballot has decided: what became of lower numbers isn't known.
void Core::BeginWithValue() {
  Record record = *held_;
  record.ledger.forgotten_below = std::max(record.ledger.forgotten_below, record.value.version - 1);
  state_.stamp = LegacyStamp(record.value);
  held_ = std::make_shared<Record>(std::move(record));
}

int Core::Index(const Life& life) const {
  const auto& members = state_.roster.members;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].life == life) return static_cast<int>(i);
    if (Does(Options::Fault::kAnyDisk) && members[i].life.node == life.node) return static_cast<int>(i);
  }
  return -1;
}

bool Core::IsMajority(std::size_t votes) const {
  const auto& members = state_.roster.members;
  std::size_t all = members.size();
  if (Does(Options::Fault::kMajorityOfSeen)) {
    auto seen =
        std::count_if(members.begin(), members.end(), [this](const Member& m) { return Alive(m.life); });
    all = static_cast<std::size_t>(seen);
  }
  return 2 * votes > all;
}

bool Core::IsGone(const Life& life) const {
  return std::find(gone_.begin(), gone_.end(), life) != gone_.end();
}

// Two quorums share a member, or else all of the earlier one's are gone with what they kept; what it had told
// to the others by then is all that is left of it.
bool Core::IsQuorum(std::uint32_t votes) const {
  if (IsMajority(static_cast<std::size_t>(std::popcount(votes)))) return true;
  const auto& members = state_.roster.members;
  if (!options_.lives_end || votes == 0) return false;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!(votes >> i & 1) && !IsGone(members[i].life)) return false;
  }
  return true;
}

bool Core::majority(Time now) const {
  if (!member()) return false;
  std::uint32_t heard = 0;
  for (std::size_t i = 0; i < state_.roster.members.size(); ++i) {
    const Life& life = state_.roster.members[i].life;
    auto peer = peers_.find(life);
    const bool answered = peer != peers_.end() && peer->second.answered != Time{} &&
                          now - peer->second.answered <= options_.heard_for;
    if (life == self_.life || answered) heard |= 1u << i;
  }
  return IsQuorum(heard);
}

Core::Peer* Core::FindPeer(const Life& life) {
  if (auto found = peers_.find(life); found != peers_.end()) return &found->second;
  if (Index(life) < 0 && !watch_.contains(life)) return nullptr;
  return &peers_[life];
}

Time Core::HeardFrom(const Life& life) const {
  auto found = peers_.find(life);
  return found == peers_.end() ? Time{} : found->second.heard;
}

bool Core::Alive(const Life& life) const {
  if (life == self_.life) return true;
  auto found = watch_.find(life);
  return found != watch_.end() && found->second.alive;
}

// ---- Inputs ----

void Core::OnView(Time now, const std::vector<Seen>& view, Out& out) {
  std::vector<Life> shown;
  for (const Seen& seen : view) {
    if (seen.member.life == self_.life) {
      place_ = seen.place;
      continue;
    }
    shown.push_back(seen.member.life);
    auto [entry, is_new] =
        watch_.try_emplace(seen.member.life, Watch{seen.member, seen.alive, now, seen.place});
    Watch& watch = entry->second;
    watch.member = seen.member;
    watch.place = seen.place;
    if (!is_new && watch.alive != seen.alive) watch.alive = seen.alive, watch.since = now;
  }
  std::erase_if(gone_, [this](const Life& life) { return Index(life) < 0; });
  for (const Member& m : state_.roster.members) {
    if (!options_.lives_end || m.life == self_.life || IsGone(m.life)) continue;
    const bool later = std::any_of(view.begin(), view.end(), [&m](const Seen& seen) {
      return seen.member.life.node == m.life.node && seen.member.life.disk > m.life.disk;
    });
    if (later) gone_.push_back(m.life);
  }
  for (const Member& m : state_.roster.members) {  // in the roster and never shown: dead from now on
    if (m.life != self_.life) watch_.try_emplace(m.life, Watch{m, false, now, {}});
  }
  for (auto it = watch_.begin(); it != watch_.end();) {
    bool is_shown = std::find(shown.begin(), shown.end(), it->first) != shown.end();
    if (!is_shown && Index(it->first) < 0) {
      it = watch_.erase(it);
      continue;
    }
    if (!is_shown && it->second.alive) it->second.alive = false, it->second.since = now;
    ++it;
  }
  const auto nobodys = [this](const auto& known) {
    return Index(known.first) < 0 && !watch_.contains(known.first);
  };
  std::erase_if(peers_, nobodys);
  std::erase_if(holdings_, nobodys);
  Settle(now, out);
}

void Core::OnMessage(Time now, const Message& message, Out& out) {
  if (message.from.life == self_.life) {
    ++dropped_;
    return;
  }
  Handle(now, message, out);
  Settle(now, out);
}

void Core::OnWritten(Time now, std::uint64_t write, bool ok, Out& out) {
  if (!writing_ || write != write_id_) return;
  writing_ = false;
  if (ok) {
    written_version_ = writing_version_;
    written_stamp_ = writing_stamp_;
    const bool installed = std::exchange(written_epoch_, writing_epoch_) != writing_epoch_;
    Flush(out);
    if (installed) TellInstalled(out);
  } else {
    write_after_ = now + kWriteAgain;
    dirty_from_ = std::min(dirty_from_, writing_from_);
    value_dirty_ = value_dirty_ || writing_value_;
    out.notes.push_back("the disk refused a write");
    std::erase_if(waiting_, [this](const Waiting& w) { return w.version <= writing_version_; });
  }
  Settle(now, out);
}

void Core::Tick(Time now, Out& out) {
  if (!asks_since_) asks_since_ = now;
  TickCalls(now, out);
  if (now >= ping_next_) Ping(now, out);
  Sample(now);
  TickAttempt(now, out);
  TickOffer(now, out);
  TickProposal(now, out);
  Settle(now, out);
}

// What was chosen a moment ago: who is asked now and then may have told that it holds it.
void Core::Sample(Time now) {
  if (now >= sample_next_) {
    sample_next_ = now + options_.ping;
    committed_before_.push_back(committed_stamp_);
    if (committed_before_.size() > kSamples) committed_before_.pop_front();
  }
  if (leaving_ && HandedOver(now, committed_before_.front())) retired_ = true;
}

// What it says to itself is taken in, a ballot begins where calls wait for one, and the disk is given what
// has changed.
void Core::Settle(Time now, Out& out) {
  do {
    while (!local_.empty()) {
      Message message = std::move(local_.front());
      local_.pop_front();
      Handle(now, message, out);
    }
  } while (StartAttempt(now, out));
  if (!writing_ && written_version_ != state_version_ && now >= write_after_) StartWrite(out);
}

void Core::StartWrite(Out& out) {
  writing_ = true;
  writing_version_ = state_version_;
  writing_stamp_ = state_.stamp;
  writing_epoch_ = state_.roster.epoch;
  writing_from_ = std::exchange(dirty_from_, kClean);
  writing_value_ = std::exchange(value_dirty_, false);
  Write& write = out.writes.emplace_back();
  write.id = ++write_id_;
  if (writing_from_ != kClean) write.records = EncodePages(held_->ledger, writing_from_);
  write.records.emplace_back(kStateKey, EncodeState(state_, held_->ledger));
  if (writing_value_) write.records.emplace_back(kValueKey, EncodeValue(held_->value));
}

// `unchanged_below`: outcomes with lower numbers are those of the record that was held before.
void Core::Hold(RecordPtr record, const Stamp& stamp, std::uint64_t unchanged_below, bool value_changed) {
  if (record->ledger.end() > unchanged_below || held_->ledger.end() > unchanged_below)
    dirty_from_ = std::min(dirty_from_, unchanged_below);
  value_dirty_ = value_dirty_ || value_changed;
  held_ = std::move(record);
  state_.stamp = stamp;
  Changed();
}

// ---- Sending ----

void Core::Send(const Member& to, std::uint64_t id, Body body, Out& out) {
  Message message{self_, id, state_.roster.epoch, std::move(body)};
  if (to.life == self_.life) {
    local_.push_back(std::move(message));
  } else {
    out.sends.push_back({to, std::move(message)});
  }
}

void Core::SendAll(std::uint64_t id, const Body& body, Out& out) {
  for (const Member& m : state_.roster.members) Send(m, id, body, out);
}

void Core::SendSynced(const Member& to, std::uint64_t id, Body body, Out& out) {
  if (written_version_ == state_version_ || Does(Options::Fault::kAckBeforeSync)) {
    Send(to, id, std::move(body), out);
    return;
  }
  bool is_there =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting& w) {  // asked again meanwhile
        return w.sending.message.id == id && w.sending.message.epoch == state_.roster.epoch &&
               w.sending.to.life == to.life;
      });
  if (!is_there && waiting_.size() < kMostWaiting) {
    waiting_.push_back({state_version_, {to, {self_, id, state_.roster.epoch, std::move(body)}}});
  }
}

void Core::Reply(const Message& to, Body body, Out& out) { SendSynced(to.from, to.id, std::move(body), out); }

void Core::Flush(Out& out) {
  while (!waiting_.empty() && waiting_.front().version <= written_version_) {
    Sending sending = std::move(waiting_.front().sending);
    waiting_.pop_front();
    if (sending.to.life == self_.life) {
      local_.push_back(std::move(sending.message));
    } else {
      out.sends.push_back(std::move(sending));
    }
  }
}

// Members ask each other often. Spares are asked as well, more seldom: they hear what is chosen, and say what
// they hold.
void Core::Ping(Time now, Out& out) {
  ping_next_ = now + (member() ? options_.ping : 4 * options_.ping);
  std::uint64_t id = next_id_++;
  pings_.emplace_back(id, now);
  if (pings_.size() > kPingsKept) pings_.pop_front();
  Query query{committed_stamp_};
  if (member()) {
    for (const Member& m : state_.roster.members) {
      if (m.life != self_.life) Send(m, id, query, out);
    }
    if (now < spares_next_ && majority(now)) return;
    spares_next_ = now + 4 * options_.ping;
  }
  // To hear of a newer roster: all of this one may be gone. And to be heard: who isn't a member takes the
  // place of one only while it says something.
  for (const auto& [life, watch] : watch_) {
    if (watch.alive && (!member() || Index(life) < 0)) Send(watch.member, id, query, out);
  }
}

// The next change waits for a majority that holds this epoch.
void Core::TellInstalled(Out& out) {
  for (const Member& m : state_.roster.members) {
    if (m.life != self_.life) Send(m, 0, Told(), out);
  }
}

QueryReply Core::Told() const { return {sealed(), written_epoch_, written_stamp_, committed_stamp_}; }

// ---- Messages ----

void Core::Handle(Time now, const Message& m, Out& out) {
  const bool me = m.from.life == self_.life;
  if (!me && !HandleOther(now, m, out)) return;
  const std::uint64_t epoch = state_.roster.epoch;
  if (m.epoch != epoch) return;  // said to itself before another roster came
  if (auto* offer = std::get_if<Offer>(&m.body)) return OnOffer(now, m, *offer, out);
  if (auto* taken = std::get_if<OfferTaken>(&m.body)) return OnOfferTaken(now, m, *taken, out);
  if (epoch == 0) return;
  if (auto* reply = std::get_if<QueryReply>(&m.body)) return OnQueryReply(now, m, *reply, out);
  if (auto* query = std::get_if<Query>(&m.body)) return OnQuery(now, m, *query, out);
  if (auto* fetch = std::get_if<Fetch>(&m.body)) return OnFetch(now, m, *fetch, out);
  if (auto* fetched = std::get_if<Fetched>(&m.body)) return OnFetched(now, m, *fetched, out);
  if (!member() || Index(m.from.life) < 0) {
    ++dropped_;
    return;
  }
  HandleVote(now, m, out);
}

// Who it is, and which of the two is behind. False: that was all there is to it.
bool Core::HandleOther(Time now, const Message& m, Out& out) {
  const auto* install = std::get_if<InstallEpoch>(&m.body);
  if (install != nullptr && m.epoch > state_.roster.epoch) OnInstall(now, m, *install, out);
  Peer* peer = FindPeer(m.from.life);
  if (peer == nullptr) {
    ++dropped_;
    return false;
  }
  peer->heard = now;
  peer->epoch = m.epoch;
  const std::uint64_t epoch = state_.roster.epoch;
  if (m.epoch < epoch) {
    Bring(now, m.from, out);
    return false;
  }
  if (install != nullptr && m.epoch == epoch) {
    Send(m.from, 0, Told(), out);
    return false;
  }
  if (m.epoch == epoch) return true;
  if (peer->told == Time{} || now - peer->told >= kTellAgain) {  // it is ahead: it brings up who says so
    peer->told = now;
    Send(m.from, 0, Told(), out);
  }
  return false;
}

void Core::HandleVote(Time now, const Message& m, Out& out) {
  if (auto* prepare = std::get_if<Prepare>(&m.body)) return OnPrepare(m, *prepare, out);
  if (auto* promised = std::get_if<Promised>(&m.body)) return OnPromised(now, m, *promised, out);
  if (auto* accept = std::get_if<Accept>(&m.body)) return OnAccept(m, *accept, out);
  if (auto* accepted = std::get_if<Accepted>(&m.body)) return OnAccepted(now, m, *accepted, out);
  if (auto* prepare = std::get_if<PrepareEpoch>(&m.body)) return OnPrepareEpoch(m, *prepare, out);
  if (auto* promised = std::get_if<EpochPromised>(&m.body)) return OnEpochPromised(now, m, *promised, out);
  if (auto* accept = std::get_if<AcceptEpoch>(&m.body)) return OnAcceptEpoch(now, m, *accept, out);
  if (auto* accepted = std::get_if<EpochAccepted>(&m.body)) return OnEpochAccepted(now, m, *accepted, out);
}

}  // namespace curlewdoor::agreement
