// One gateway's view of its fleet, as a state machine: messages and time go in, messages and changes come
// out. SWIM with Lifeguard (Dadgar, Phillips, Currey, 2018): a random member is asked each period, others are
// asked to ask it before anybody is suspected, a suspect has time to refute that shrinks as more say the
// same, and who is slow itself waits longer before it accuses. Pure: the same machine runs in the daemon, in
// virtual time and under the fuzzer. Design, bounds and their derivation: docs/fleet-view.md.
//
// A view is for liveness alone. It may be wrong at any moment; nothing that must never happen may rest on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member.hpp"
#include "fleet/message.hpp"

namespace curlewdoor::fleet {

struct Options {
  std::string fleet;           // its name: 1 to kMostName bytes
  std::string name;            // this gateway's: unique within the fleet, 1 to kMostName bytes
  std::uint64_t boot = 1;      // of this life: above those of earlier lives where clocks allow, else learnt
  Address address;             // where others reach this gateway
  std::string about;           // kMostAbout bytes at the most
  std::vector<Address> seeds;  // asked at the start, and again while none of the view stands there
  Duration probe = std::chrono::milliseconds(500);  // the period; 20 ms to 60 s
  // Seeds that aren't in the view are asked soon after the join, then ever less often: where all start at
  // once, those that joined by different seeds are islands until one asks another's seed.
  bool seeks_seeds = false;
  bool lifeguard = true;  // false: plain SWIM, the baseline of the measurements
};

struct Sending {
  Address to;
  Message message;
};

// What others may act on, in the order in which it came about.
struct Change {
  enum class Kind : std::uint8_t { kMember, kSettled, kRefused, kStalled } kind = Kind::kMember;
  Record member;        // kMember: as it is now
  bool is_new = false;  // ... seen for the first time, or in a new life
  std::string text;     // kRefused, kStalled
};

// Of a subsystem that stands on the view, from a member of it.
struct Payload {
  std::string from;
  std::uint64_t boot = 0;
  std::uint8_t channel = 0;
  std::string bytes;
};

struct Out {
  std::vector<Sending> datagrams;  // kMostDatagram bytes each at the most
  std::vector<Sending> exchanges;  // to be sent by TCP; the answer comes back through OnMessage()
  std::vector<Change> changes;
  std::vector<Payload> payloads;
};

struct Member {
  Record record;
  Time since;  // in its state, by this gateway's clock
};

class Machine {
 public:
  Machine(Options options, std::uint64_t seed);

  // Takes up an earlier process's part in the same life: `records` as that one gave them, its own first.
  void TakeOver(Time now, const std::vector<Record>& records);
  void Start(Time now, Out& out);
  // Those that are asked from now on, and soon, in place of the seeds before.
  void SetSeeds(Time now, std::vector<Address> seeds);

  // To be called at NextDue(), and as often else as one likes. A call that comes much later than it was due
  // tells the machine that its process stood still.
  void Tick(Time now, Out& out);
  std::optional<Time> NextDue() const;

  void OnMessage(Time now, const Message& message, Out& out);
  // The exchange with this address came to nothing.
  void OnExchangeFailed(Time now, const Address& with, Out& out);

  // Says that it leaves, as its last word.
  void Leave(Time now, Out& out);
  // Nothing is said any more; what the process that goes on needs. Own record first.
  std::vector<Record> HandOn();
  // The process that was to go on has died: this one speaks again.
  void Resume(Time now);

  // All that is known, for the other side of a full exchange.
  Message Full(Kind kind) const;

  // ---- The view ----
  const Record& self() const { return self_; }
  const std::map<std::string, Member>& others() const { return members_; }
  std::uint64_t version() const { return version_; }  // rises with each change
  std::size_t alive() const;                          // members that are not dead or gone, itself included
  std::size_t suspects() const { return suspicions_.size(); }
  std::size_t rumours() const { return rumours_.size(); }  // still to be told
  bool settled() const { return settled_; }
  bool joined() const { return joined_; }
  bool left() const { return self_.state == State::kLeft; }
  const std::string& refused() const { return refused_; }  // why it stays outside; empty: it does not
  int health() const { return health_; }                   // 0: well; 8: doubts itself the most
  // More than half of a fleet of `configured` gateways is seen. Never "of those that I happen to see".
  bool Quorum(std::size_t configured) const { return 2 * alive() > configured; }
  // The same for all gateways whose views hold the same lives: for operators, tests and judges.
  std::uint64_t Fingerprint() const;
  // The seeds that could not be reached so far, for operators.
  int failed_joins() const { return failed_joins_; }

  // A message of a subsystem that stands on the view; the datagram carries rumours too.
  void SendPayload(const std::string& name, std::uint8_t channel, std::string payload, Out& out);

 private:
  struct Probe {
    std::string name;
    std::uint32_t sequence = 0;
    Time asks_others{};
    bool acked = false, asked_others = false;
    int helpers = 0, nacks = 0;
  };
  struct Suspicion {
    Time began, ends;
    std::set<std::string> by;  // independent witnesses, the first included
    int asked = 0;             // times that the suspect was asked before the end
  };
  struct Rumour {
    Record record;
    int sent = 0;
    std::uint64_t order = 0;
  };
  struct Proxied {  // asked on behalf of another
    Address requester;
    std::uint32_t sequence = 0;
    std::string target;
    Time nack_at, ends;
    bool nacked = false;
  };
  bool silent() const { return !refused_.empty() || handed_on_; }
  bool Present(std::string_view name) const;
  Duration Scaled(Duration of) const { return of * (1 + health_); }
  Duration PeriodNow() const { return Scaled(options_.probe); }
  void Worse(int by);
  void Better();
  std::uint64_t Below(std::uint64_t bound);
  bool Chance(double part);
  Duration Jittered(Duration of);  // 0.75 to 1.25 of it

  void Notice(Time now, Out& out);  // whether this process stood still
  void Begin(Time now, Out& out);   // of each period
  std::optional<std::string> NextToProbe();
  void NewRound();
  void StartProbe(Time now, const std::string& name, Out& out);
  void EndProbe(Time now, Out& out);
  void AskOthers(Out& out);
  void AskDead(Time now, Out& out);
  void Gossip(Out& out);
  void Join(Time now, Out& out);
  void Joined(Time now, Out& out);
  void Exchange(const Address& with, Out& out);
  void SettleUp(Time now, Out& out);

  void Hear(Time now, Record word, Out& out);
  void HearOfMyself(Time now, const Record& word, Out& out);
  void HearSender(Time now, const Record& sender, Out& out);
  void Compare(Time now, const Message& message, Out& out);
  void Apply(Time now, const Record& word, Out& out);
  void Suspect(Time now, const std::string& name, const std::string& by, Out& out);
  void SetSuspicion(Time now, const Record& word);
  void Witness(const Record& word);
  double FewOf() const;
  void Hurry(Time now, const std::string& name);
  Duration SuspicionTime(std::size_t witnesses) const;
  void AskSuspects(Time now, Out& out);
  std::optional<Time> NextAsk(const Suspicion& suspicion) const;
  void ExpireSuspicions(Time now, Out& out);
  void Forget(Time now);
  bool MakeRoom();
  void Speak();  // its own record goes round again
  void Refuse(Time now, const Record& rival, Out& out);
  void Note(Time now, const Record& record, bool is_new, Out& out);

  void Spread(const Record& record);
  void Hush(const std::string& name);
  void Fill(Message& message, std::string_view receiver);
  void Send(const Address& to, std::string_view receiver, Message message, Out& out);
  int RumourLimit() const;
  // Gives the sequence that the answer will carry.
  std::uint32_t Ping(const Address& to, const std::string& target, Out& out);
  std::vector<std::string> SomePresent(std::size_t count, std::string_view but);

  Options options_;
  std::mt19937_64 random_;
  Record self_;
  std::map<std::string, Member> members_;
  std::size_t present_ = 0;  // of members_, alive or suspect
  std::uint64_t print_ = 0;  // and their part of the fingerprint
  std::uint64_t version_ = 1;
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, Rumour> rumours_;
  std::set<std::pair<std::pair<int, std::uint64_t>, std::string>> by_sent_;  // least sent first
  std::uint64_t next_order_ = 0;
  std::vector<std::string> round_;  // whom to ask in this round, in a random order
  std::size_t in_round_ = 0;
  std::vector<std::string> urgent_;  // to be asked next, out of turn
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Proxied> proxied_;
  std::uint32_t next_sequence_ = 1;
  int health_ = 0;
  bool started_ = false, joined_ = false, settled_ = false, handed_on_ = false;
  bool doubting_ = false;  // stood still lately: accuses nobody before it has been answered
  Time doubts_until_;
  std::optional<Time> rival_until_;  // another gateway holds this name: how long its answer is waited for
  std::string refused_;
  Time period_due_, gossip_due_, join_due_, exchange_due_, exchange_free_, changed_at_, due_before_;
  Time taken_due_;  // when another process under this name may be told again
  int join_backoff_ = 0, failed_joins_ = 0;
  std::size_t next_seed_ = 0;
};

}  // namespace curlewdoor::fleet
