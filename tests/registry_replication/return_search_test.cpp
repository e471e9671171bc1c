// A search by seeds over what registry/ and directory/ claim of what was forgotten: a gateway whose list is
// proved lists no host whose leave was acknowledged, however long ago, and whoever comes back. Processes are
// stopped or cut off for 30 s to 10 minutes, crash, lose disks, are exchanged; beats come late. Mutants show
// that the search can fail.
//
// CURLEWDOOR_SEARCH_SEEDS=N plays seeds 1 to N.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "directory/codec.hpp"
#include "directory/directory.hpp"
#include "registry_replication/lease.hpp"
#include "registry_replication/replica.hpp"
#include "registry_replication/watermark.hpp"
#include "simulated_agreement.hpp"
#include "system/pause_watch.hpp"

namespace curlewdoor::registry_replication {
namespace {

using namespace std::chrono_literals;
using directory::Directory;

enum class Mutant {
  kNone,
  kForgetsLeaves,    // after a minute, as it was
  kTakesOldClaims,   // of hosts that aren't known
  kStampsAtReceipt,  // a claim bears the stamp of who hears it, not of who read the beat
  kReadsOldBeats,    // what came while the process stood still counts
  kWatermarkOffDisk  // a member that restarts begins with the first watermark
};

constexpr Duration kStep = 100ms;
constexpr Duration kPeriod = 20s;
constexpr Duration kSilentStream = 1100ms;
constexpr int kMembers = 4, kSize = 3, kProcesses = 7;  // machines that may be members, of a roster, all
constexpr int kNobody = -1;

struct Message {
  enum class Kind { kHosts, kRefreshed, kReplicate, kVote, kQuery, kAnswer } kind = Kind::kHosts;
  std::string batch{};                        // of hosts
  std::string id{};                           // of a host
  std::uint64_t sequence = 0, watermark = 0;  // the latter: of who asks
  Time asked{};
  Standing standing{};
};

// A host's call, in the socket of the process that it was sent to.
struct Call {
  Time arrives{};
  directory::Beat beat{};
};

struct HostLife {
  std::string id{};
  std::string address{};
  std::uint64_t sequence = 0;
  Time next_beat{}, leaves{};
  std::optional<Time> told_at{};  // it has said that it leaves
  std::optional<Time> acknowledged{};
  int asked = kNobody;  // who is to acknowledge that
  Time ask_next{};
};

struct Stream {
  std::deque<std::pair<Time, Message>> under_way{};
  Time last{};
};

struct Process {
  std::unique_ptr<Directory> hosts;
  std::unique_ptr<Watermark> watermark;
  std::unique_ptr<RegistryLease> lease;
  std::unique_ptr<RegistryReplica> replica;
  std::unique_ptr<system::PauseWatch> pause_watch;
  std::uint64_t incarnation = 0;
  bool up = true;
  Duration clock{};  // ahead of the others
  Time paused_until{}, paused_at{};
  Roster known{};
  std::deque<Call> calls;
  std::map<std::string, HolderVotes> replications;
  // A member's disk.
  Roster core_disk{};
  bool sealed = false;
  ReplicaRecord disk_record{};
  std::string disk_leaves{}, disk_hosts{};
  struct Write {
    Time done{};
    ReplicaRecord record{};
    std::string leaves{};
    std::vector<std::pair<int, std::string>> owed{};  // to whom, host
  };
  std::optional<Write> write;
  std::vector<std::pair<int, std::string>> owed;
};

class ReturnSearch {
 public:
  ReturnSearch(std::uint64_t seed, Mutant mutant) : random_(seed), mutant_(mutant) {
    for (int p = 0; p < kProcesses; ++p) {
      processes_[p].clock = 1h * static_cast<int>(random_() % 100);
      if (p < kMembers) processes_[p].incarnation = ++incarnations_;
    }
    agreement_.Begin(kSize);
    for (int p = 0; p < kProcesses; ++p) Restart(p);
  }

  std::string Play(Duration for_so_long) {  // the first violation; empty: none
    for (const Time ends = now_ + for_so_long; now_ < ends && violation_.empty(); now_ += kStep) Step();
    return violation_;
  }
  int acknowledged() const { return acknowledged_; }
  std::uint64_t epoch() const { return agreement_.roster().epoch; }
  std::uint64_t highest_watermark() const {
    std::uint64_t highest = 0;
    for (const auto& [p, process] : processes_) highest = std::max(highest, process.watermark->value());
    return highest;
  }
  // Of the looks of proved gateways at hosts that are there, those that didn't list them.
  double missing_share() const { return looks_ == 0 ? 1 : static_cast<double>(missing_) / looks_; }

 private:
  bool Chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  int Pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  Duration Long() { return 30s + 1s * Pick(Chance(0.5) ? 120 : 570); }
  Duration Late() { return Chance(0.02) ? 100ms * Pick(10) : 1ms * Pick(20); }
  static bool IsMember(int p) { return p < kMembers; }
  MemberId Id(int m) const { return agreement_.Id(m); }
  Time Local(int p) const { return now_ + processes_.at(p).clock; }
  bool Runs(int p) const { return processes_.at(p).up && processes_.at(p).paused_until <= now_; }

  // ---- Processes
  void Restart(int p) {
    Process& process = processes_[p];
    process.up = true;
    process.paused_until = {};
    using Fault = Directory::Fault;
    const Fault fault = mutant_ == Mutant::kForgetsLeaves    ? Fault::kForgetsLeaves
                        : mutant_ == Mutant::kTakesOldClaims ? Fault::kTakesOldClaims
                                                             : Fault::kNone;
    process.hosts = std::make_unique<Directory>(fault);
    process.watermark = std::make_unique<Watermark>(kPeriod);
    process.lease = std::make_unique<RegistryLease>(RegistryLease::OptionsFor(2s));
    process.pause_watch = std::make_unique<system::PauseWatch>(Local(p));
    process.known = {};
    process.write.reset();
    process.owed.clear();
    process.replications.clear();
    process.calls.clear();
    if (IsMember(p)) RestoreDisk(p);
    for (int other = 0; other < kProcesses; ++other)
      if (other != p) Connect(p, other);
  }
  void RestoreDisk(int m) {
    Process& process = processes_[m];
    process.known = process.core_disk;
    process.replica = std::make_unique<RegistryReplica>(Id(m));
    MergeBatch(m, process.disk_hosts);
    MergeBatch(m, process.disk_leaves);
    ReplicaRecord record = process.disk_record;
    if (mutant_ == Mutant::kWatermarkOffDisk) record.watermark = 1;
    process.replica->Restore(record);
    Raise(m, record.watermark);
    process.replica->Adopt(Local(m), process.known);
    process.lease->SetRoster(process.known);
  }
  void Wipe(int m) {
    Process& process = processes_[m];
    process.incarnation = ++incarnations_;
    process.disk_leaves.clear();
    process.disk_hosts.clear();
    process.disk_record = {};
    process.core_disk = {};
    process.sealed = false;
    Restart(m);
  }
  void Raise(int p, std::uint64_t heard) {
    Process& process = processes_[p];
    if (process.watermark->Adopt(Local(p), heard)) OnWatermark(process);
  }
  static void OnWatermark(Process& process) {
    if (process.replica) process.replica->SetWatermark(process.watermark->value());
    process.hosts->Raise(process.watermark->value());
  }

  // ---- Streams: members to all, others to members
  bool Talk(int a, int b) const { return IsMember(a) || IsMember(b); }
  bool IsCut(int a, int b) const { return cuts_.contains({std::min(a, b), std::max(a, b)}); }
  // A stream to a process that stands still is found silent and closed on this side.
  bool FoundSilent(int p) const {
    const Process& process = processes_.at(p);
    return process.paused_until > now_ && now_ - process.paused_at > kSilentStream;
  }
  void Send(int from, int to, Message message) {
    if (!Talk(from, to) || IsCut(from, to) || !processes_[to].up || FoundSilent(to)) return;
    Stream& stream = streams_[{from, to}];
    stream.last = std::max(stream.last, now_ + Late());
    stream.under_way.emplace_back(stream.last, std::move(message));
  }
  void Connect(int a, int b) {
    if (!Talk(a, b)) return;
    streams_[{a, b}] = streams_[{b, a}] = {};
    TellAll(a, b);
    TellAll(b, a);
  }
  void TellAll(int from, int to) {
    if (Runs(from) && processes_[from].hosts) Send(from, to, HostsOf(from, processes_[from].hosts->All()));
  }
  Message HostsOf(int p, const std::vector<directory::Entry>& entries) const {
    Message message;
    message.batch = directory::Encode(entries, Local(p));
    return message;
  }
  void TellOthers(int p, const Message& message) {
    for (int other = 0; other < kProcesses; ++other)
      if (other != p) Send(p, other, message);
  }
  void MergeBatch(int p, const std::string& batch) {
    if (batch.empty()) return;
    auto entries = directory::Decode(batch, Local(p));
    BOOST_REQUIRE(entries.has_value());
    for (directory::Entry& entry : *entries) {
      if (mutant_ == Mutant::kStampsAtReceipt) entry.stamp = processes_[p].watermark->value();
      processes_[p].hosts->Merge(Local(p), entry);
    }
  }
  // What a member has taken in is told on to all.
  void TellNews(int m, std::uint64_t before) {
    const auto events = processes_[m].hosts->journal().Since(before);
    std::vector<directory::Entry> news;
    if (!events) return TellOthers(m, HostsOf(m, processes_[m].hosts->All()));
    for (const directory::Event& event : *events)
      if (event.kind != directory::Event::Kind::kForgotten) news.push_back(event.entry);
    if (!news.empty()) TellOthers(m, HostsOf(m, news));
  }
  void Deliver() {
    for (auto& [way, stream] : streams_) {
      const auto [from, to] = way;
      if (!Runs(to)) continue;
      while (!stream.under_way.empty() && stream.under_way.front().first <= now_) {
        const Message message = stream.under_way.front().second;
        stream.under_way.pop_front();
        Handle(to, from, message);
      }
    }
  }
  void Handle(int p, int from, const Message& message) {
    Process& process = processes_[p];
    const std::uint64_t before = process.hosts->version();
    switch (message.kind) {
      case Message::Kind::kHosts:
        MergeBatch(p, message.batch);
        if (IsMember(p)) TellNews(p, before);
        return;
      case Message::Kind::kRefreshed:
        process.hosts->Refresh(Local(p), message.id, message.sequence);
        if (IsMember(p) && !IsMember(from)) TellMembers(p, message);
        return;
      case Message::Kind::kReplicate:
        MergeBatch(p, message.batch);
        TellNews(p, before);
        process.owed.emplace_back(from, message.id);
        return;
      case Message::Kind::kVote:
        if (const auto it = process.replications.find(message.id);
            it != process.replications.end() && message.standing.votes)
          it->second.Add(message.standing.member, message.standing.epoch);
        return;
      case Message::Kind::kQuery:
        return Answer(p, from, message);
      case Message::Kind::kAnswer:
        Raise(p, message.standing.watermark);
        process.lease->OnAnswer(Local(p), message.asked, message.standing);
        if (!process.replica) return;
        process.watermark->OnAnswer(message.standing);
        process.replica->OnAnswer(message.asked, message.standing);
        return;
    }
  }
  void Answer(int m, int to, const Message& query) {
    Raise(m, query.watermark);
    if (!IsMember(m)) return;
    Message answer{Message::Kind::kAnswer};
    answer.asked = query.asked;
    answer.standing = processes_[m].replica->standing();
    Send(m, to, answer);
  }
  void TellMembers(int p, const Message& message) {
    const int near = Pick(kMembers);  // gateways tell one member, members each other
    for (int m = 0; m < kMembers; ++m)
      if (m != p && (IsMember(p) || m == near)) Send(p, m, message);
  }

  // ---- One step
  void Step() {
    Resume();
    Deliver();
    Trouble();
    for (int p = 0; p < kProcesses; ++p)
      if (Runs(p)) StepProcess(p);
    for (HostLife& host : hosts_) StepHost(host);
    std::erase_if(hosts_, [this](const HostLife& host) { return host.leaves + 15min < now_; });
    if (hosts_.size() < 200 && Chance(0.02)) Begin();
    Epochs();
    if (Chance(0.2)) Judge();
  }
  // What came while it stood still it reads; its streams are closed by the others, and come up anew.
  void Resume() {
    for (auto& [p, process] : processes_) {
      if (process.paused_at == Time{} || process.paused_until > now_) continue;
      const bool streams_broke = now_ - process.paused_at > kSilentStream;
      process.paused_at = process.paused_until = {};
      if (!process.up) continue;
      for (Call& call : process.calls) call.arrives = std::max(call.arrives, now_ + 100ms * Pick(20));
      for (int other = 0; other < kProcesses; ++other) {
        auto& old = streams_[{other, p}].under_way;
        for (const auto& [at, message] : std::exchange(old, {})) Handle(p, other, message);
        if (streams_broke) Connect(p, other);
      }
    }
  }
  void StepProcess(int p) {
    Process& process = processes_[p];
    process.pause_watch->OnTurn(Local(p));
    TakeCalls(p);
    const Time local = Local(p);
    if (IsMember(p)) StepMember(p);
    if (process.lease->Tick(local)) {
      process.lease->Asked(local);
      Message query{Message::Kind::kQuery};
      query.asked = local;
      query.watermark = process.watermark->value();
      for (int m = 0; m < kMembers; ++m)
        if (m != p) Send(p, m, query);
    }
    if (const auto proved = process.lease->proved_at()) {
      process.hosts->ConfirmLeaves(*proved);
      if (*proved >= process.watermark->since()) process.hosts->ConfirmHosts(process.watermark->value());
    }
    process.hosts->Forget(local);
    if (IsMember(p) && Chance(0.01)) process.hosts->Silence(local, 6s);
    if (Chance(0.005)) TellAll(p, Pick(kMembers));
  }
  void StepMember(int m) {
    Process& process = processes_[m];
    RegistryReplica& replica = *process.replica;
    if (process.write && process.write->done <= now_) {
      const Process::Write write = *std::exchange(process.write, std::nullopt);
      process.disk_leaves = write.leaves;
      process.disk_record = write.record;
      replica.OnWritten(write.record);
      Message vote{Message::Kind::kVote};
      vote.standing = replica.standing();
      for (const auto& [to, host] : write.owed) {
        vote.id = host;
        to == m ? Handle(m, m, vote) : Send(m, to, vote);
      }
    }
    if (!process.write && (!process.owed.empty() || replica.Dirty())) {
      std::vector<directory::Entry> leaves;
      process.hosts->ForEach([&](const directory::Entry& entry) {
        if (entry.leaves()) leaves.push_back(entry);
      });
      process.write = Process::Write{now_ + 10ms + Late(), replica.Record(),
                                     directory::Encode(leaves, Local(m)), std::exchange(process.owed, {})};
    }
    if (Chance(0.1)) {
      std::vector<directory::Entry> here;
      for (directory::Entry& entry : process.hosts->All())
        if (!entry.gone()) here.push_back(std::move(entry));
      process.disk_hosts = directory::Encode(here, Local(m));
    }
    const Standing own = replica.standing();
    if (own.votes) process.lease->OnAnswer(Local(m), Local(m), own);
    if (process.watermark->Tick(Local(m), process.known, own)) OnWatermark(process);
    if (process.known.epoch > process.core_disk.epoch && Chance(0.5)) {
      process.core_disk = process.known;
      process.sealed = false;
    }
  }

  // ---- Hosts
  void Begin() {
    HostLife host;
    host.id = "h" + std::to_string(++lives_);
    host.address = "10.0.0.1:" + std::to_string(1 + lives_ % 60'000);
    host.next_beat = now_;
    host.leaves = now_ + 20s + 1s * Pick(200);
    hosts_.push_back(std::move(host));
  }
  void StepHost(HostLife& host) {
    if (host.acknowledged) return;
    if (now_ >= host.leaves) return Leave(host);
    if (now_ < host.next_beat) return;
    host.next_beat = now_ + 1500ms;
    Call call;
    call.arrives = now_ + (Chance(0.05) ? 100ms * Pick(100) : 0ms);
    call.beat.id = host.id;
    call.beat.service = "s";
    call.beat.address = host.address;
    call.beat.sequence = ++host.sequence;
    // It goes to who answers; but some beats lie in the socket of a process that stands still.
    int to = Pick(kProcesses);
    for (int i = 0; i < 5 && !Runs(to) && Chance(0.7); ++i) to = Pick(kProcesses);
    if (processes_[to].up) processes_[to].calls.push_back(std::move(call));
  }
  void TakeCalls(int p) {
    Process& process = processes_[p];
    const std::uint64_t before = process.hosts->version();
    std::deque<Call> later;
    for (const Call& call : std::exchange(process.calls, {})) {
      if (call.arrives > now_) {
        later.push_back(call);
        continue;
      }
      const bool reads_old = mutant_ == Mutant::kReadsOldBeats;
      if (!reads_old && process.pause_watch->InputMayBeOld(Local(p))) continue;
      const bool known = process.hosts->Find(call.beat.id) != nullptr;
      const bool news = process.hosts->Apply(Local(p), call.beat) || !known;
      const auto* entry = process.hosts->Find(call.beat.id);
      if (entry == nullptr) continue;
      if (news && !IsMember(p)) {
        for (int m = 0; m < kMembers; ++m) Send(p, m, HostsOf(p, {*entry}));
      } else if (!news) {
        Message refreshed{Message::Kind::kRefreshed};
        refreshed.id = call.beat.id;
        refreshed.sequence = call.beat.sequence;
        TellMembers(p, refreshed);
      }
    }
    process.calls = std::move(later);
    if (IsMember(p)) TellNews(p, before);
  }
  void Leave(HostLife& host) {
    if (!host.told_at) host.told_at = now_;
    if (host.asked != kNobody && Runs(host.asked)) {
      Process& asked = processes_[host.asked];
      const auto votes = asked.replications.find(host.id);
      if (votes != asked.replications.end() && votes->second.Chosen(asked.known)) {
        host.acknowledged = now_;
        ++acknowledged_;
        asked.replications.erase(votes);
        return;
      }
    }
    if (now_ < host.ask_next) return;
    if (host.asked != kNobody) processes_[host.asked].replications.erase(host.id);
    host.asked = kNobody;
    const int p = Pick(kProcesses);
    if (!Runs(p)) return;
    host.asked = p;
    host.ask_next = now_ + 700ms;
    Process& process = processes_[p];
    const std::uint64_t before = process.hosts->version();
    process.hosts->Apply(Local(p), directory::Leave{host.id});
    process.replications[host.id];
    const auto* entry = process.hosts->Find(host.id);
    Message replicate = HostsOf(p, {*entry});
    replicate.kind = Message::Kind::kReplicate;
    replicate.id = host.id;
    for (int m = 0; m < kMembers; ++m)
      if (m != p) Send(p, m, replicate);
    if (!IsMember(p)) return;
    TellNews(p, before);
    process.owed.emplace_back(p, host.id);
  }

  // ---- Troubles
  void Trouble() {
    for (auto it = cuts_.begin(); it != cuts_.end();) {
      const auto [ways, until] = *it;
      it = until <= now_ ? cuts_.erase(it) : std::next(it);
      if (until <= now_) Connect(ways.first, ways.second);
    }
    if (Chance(0.0008)) Stop(Pick(kProcesses), Long());
    if (Chance(0.003)) Stop(Pick(kProcesses), 100ms * Pick(60));
    if (Chance(0.0008)) CutOff(Pick(kProcesses), Long());
    if (Chance(0.003)) CutOff(Pick(kProcesses), 100ms * Pick(60));
    if (Chance(0.003)) Crash(Pick(kProcesses));
    if (Chance(0.0002))
      for (int p = 0; p < kProcesses; ++p) Restart(p);
    for (int p = 0; p < kProcesses; ++p)
      if (!processes_[p].up && Chance(0.01)) Restart(p);
  }
  void Stop(int p, Duration lasts) {
    Process& process = processes_[p];
    if (!Runs(p)) return;
    process.paused_at = now_;
    process.paused_until = now_ + lasts;
  }
  void CutOff(int p, Duration lasts) {
    const bool wholly = Chance(0.5);
    for (int other = 0; other < kProcesses; ++other) {
      if (other == p || (!wholly && Chance(0.4))) continue;
      const auto ways = std::pair{std::min(p, other), std::max(p, other)};
      cuts_[ways] = std::max(cuts_[ways], now_ + lasts);
      streams_[{p, other}] = streams_[{other, p}] = {};
    }
  }
  void Crash(int p) {
    if (IsMember(p) && agreement_.roster().Holds(Id(p)) && agreement_.CountLost() > 0) return;
    processes_[p].up = false;
    processes_[p].paused_at = processes_[p].paused_until = {};
    if (IsMember(p) && Chance(0.3)) Wipe(p);
  }

  // ---- Who hears of a successor, and when
  void Epochs() {
    agreement_.Step();
    const Roster& newest = agreement_.roster();
    for (int p = 0; p < kProcesses; ++p) {
      Process& process = processes_[p];
      if (!Runs(p) || process.known.epoch >= newest.epoch || !Chance(0.1)) continue;
      process.known = IsMember(p) ? agreement_.After(process.known.epoch) : newest;
      if (process.replica) process.replica->Adopt(Local(p), process.known);
      process.lease->SetRoster(process.known);
    }
  }
  // ---- The verdict
  void Judge() {
    for (int p = 0; p < kProcesses; ++p) {
      if (!Runs(p) || !processes_[p].lease->Proved(Local(p))) continue;
      for (const HostLife& host : hosts_) Look(p, host);
    }
  }
  void Look(int p, const HostLife& host) {
    const auto* entry = processes_[p].hosts->Find(host.id);
    const bool listed = entry != nullptr && !entry->leaves() && !entry->gone();
    if (host.acknowledged && listed && now_ - *host.acknowledged >= RegistryLease::OptionsFor(2s).lasts) {
      violation_ = "process " + std::to_string(p) + " lists " + host.id + ", whose leave was acknowledged " +
                   std::to_string((now_ - *host.acknowledged) / 1s) + " s ago";
      return;
    }
    constexpr Duration kSeen = 10s;
    if (host.told_at || host.sequence * 1500ms < kSeen) return;
    ++looks_;
    missing_ += listed ? 0 : 1;
  }

  std::mt19937_64 random_;
  const Mutant mutant_;
  Time now_{std::chrono::hours(1000)};
  std::uint64_t incarnations_ = 0;
  std::map<int, Process> processes_;
  std::map<std::pair<int, int>, Stream> streams_;
  std::map<std::pair<int, int>, Time> cuts_;  // the lower one first
  ShortAgreement<Process> agreement_{processes_,
                                     kMembers,
                                     {0.1, 0.3},
                                     [this](int m) { return Runs(m); },
                                     [this](double part) { return Chance(part); }};
  std::vector<HostLife> hosts_;
  int lives_ = 0, acknowledged_ = 0;
  std::uint64_t looks_ = 0, missing_ = 0;
  std::string violation_;
};

BOOST_AUTO_TEST_CASE(nobody_brings_back_a_host_whose_leave_was_acknowledged) {
  constexpr auto kPlayed = 30min;
  int acknowledged = 0;
  double missing = 0;
  std::uint64_t epochs = 0, periods = 0;
  const int seeds = Seeds(10);
  for (int seed = 1; seed <= seeds; ++seed) {
    ReturnSearch search(static_cast<std::uint64_t>(seed), Mutant::kNone);
    const std::string violation = search.Play(kPlayed);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    acknowledged += search.acknowledged();
    epochs += search.epoch();
    periods += search.highest_watermark();
    missing += search.missing_share();
  }
  BOOST_TEST_MESSAGE(acknowledged << " leaves acknowledged, " << epochs << " epochs, " << periods
                                  << " periods, " << missing / seeds
                                  << " of hosts that are there not listed");
  BOOST_TEST(acknowledged > 100 * seeds);
  BOOST_TEST(epochs > 2U * static_cast<unsigned>(seeds));
  BOOST_TEST(periods > 40U * static_cast<unsigned>(seeds));  // of 90
  BOOST_TEST(missing / seeds < 0.02);
}

BOOST_AUTO_TEST_CASE(each_mutant_is_found) {
  for (const Mutant mutant : {Mutant::kForgetsLeaves, Mutant::kTakesOldClaims, Mutant::kStampsAtReceipt,
                              Mutant::kReadsOldBeats, Mutant::kWatermarkOffDisk}) {
    const auto [seed, violation] =
        FirstViolation(40, [&](std::uint64_t each) { return ReturnSearch(each, mutant).Play(30min); });
    BOOST_TEST(!violation.empty(), "mutant " << static_cast<int>(mutant) << " isn't found");
    BOOST_TEST_MESSAGE("mutant " << static_cast<int>(mutant) << ": seed " << seed << ", " << violation);
  }
}

}  // namespace
}  // namespace curlewdoor::registry_replication
