// One gateway's part in the duties of its fleet, as a state machine: it votes where its configuration says
// so, stands for duties that nobody holds, holds, renews and hands on. Messages, the view and time go in;
// messages and changes come out. Pure: the same machine runs in the daemon and in virtual time.
//
// Safety, one holder at a time, rests on a majority of the configured voters, on each side's own monotonic
// clock within a bound, and on tokens (src/duty/lease.hpp, docs/duties.md); never on the view, which only
// says whom to ask and whether asking is of use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "duty/lease.hpp"
#include "duty/message.hpp"

namespace curlewdoor::duty {

inline constexpr std::size_t kMostVoters = 7;

struct Options {
  std::string name;                        // this gateway's, as in the view
  std::vector<std::string> voters;         // 1, 3, 5 or 7 names
  std::vector<std::string> voters_before;  // while they change: the list that was in force; else empty
  std::vector<std::string> duties;         // 1 to kMostDuties names, each once
  Duration lease = std::chrono::seconds(3);
  double clock_bound = 0.01;
  bool operator==(const Options&) const = default;
};

// One life of one gateway. Another life of the same name is another.
Life LifeOf(std::string_view name, std::uint64_t boot);

// What the view tells: a hint whom to ask, and nothing that safety rests on.
struct View {
  Life life = 0;  // of this gateway
  struct Other {
    Life life = 0;
    bool able = false;  // takes duties on
  };
  std::map<std::string, Other> others;  // present members, itself left out
};

struct Sending {
  std::string to;  // a member's name
  std::string bytes;
};

struct Change {
  enum class Kind : std::uint8_t {
    kGained,
    kLost,      // its lease has run out
    kHandedOn,  // `text`: to whom
    kRefused    // what was acted upon has refused the token
  } kind = Kind::kGained;
  std::string duty;
  std::uint64_t token = 0;
  std::string text;
  Time until{};  // the last moment that it might have acted at
};

struct Out {
  std::vector<Sending> messages;
  std::vector<Change> changes;
};

// For operators, tests and judges.
struct Standing {
  std::string duty;
  std::string_view state;  // waiting, asking, holding, passing
  std::string holder;      // as last told by a voter; itself where it holds; empty: nobody
  std::uint64_t token = 0;
  Duration left{};        // of the own lease
  Time since{};           // in this state
  std::size_t heard = 0;  // voters that said yes to the last question
  std::uint64_t changes = 0, acts = 0, stale = 0;
};

class Machine {
 public:
  // `floor`: a token that no earlier life of the voters here can have said yes above: boot * 2^20.
  Machine(Options options, std::uint64_t floor, std::uint64_t seed);

  // From now on voters here are silent for the longest that an earlier life may have promised.
  void Start(Time now);
  // To be called at NextDue(), and as often else as one likes.
  void Tick(Time now, Out& out);
  std::optional<Time> NextDue() const;
  void OnView(Time now, View view, Out& out);
  void OnMessage(Time now, const std::string& from, Life life, const Message& message, Out& out);

  // ---- To act ----
  // Asked at the moment of each act, which carries the token. nullopt: not held, or no longer.
  std::optional<std::uint64_t> May(Time now, std::string_view duty);
  // What was acted upon has refused the token, and has seen `highest`. The duty is given up before all else.
  void Refused(Time now, std::string_view duty, std::uint64_t highest, Out& out);

  // ---- Handing on ----
  // Empty: it is being handed on. Else why not, and nothing has changed. `to` empty: to whoever holds least.
  std::string HandOver(Time now, std::string_view duty, std::string to, Out& out);
  // Hands all on and stands for nothing more; it goes on voting for as long as it runs.
  void Leave(Time now, Out& out);

  // ---- Changes of the configuration ----
  // Empty: `next` may take the place of what is in force. Else the faulty key and what is wrong.
  std::string WhyNot(Time now, const Options& next) const;
  void Retune(Time now, Options next, Out& out);

  // ---- An upgrade: one voter and one candidate throughout, on one machine's clock ----
  std::string HandOn();
  bool TakeOver(Time now, std::string_view bytes);
  // The process that was to go on has died: whatever it promised or held is not known here.
  void Resume(Time now, Out& out);

  std::vector<Standing> Standings(Time now) const;
  const Options& options() const { return options_; }
  bool votes() const;
  // Of the voters: which of them are in the view, and do not go by these lists, as last heard.
  std::vector<std::string> Behind() const;
  Duration silent_for(Time now) const;

 private:
  enum class State { kWaiting, kAsking, kHolding, kPassing };
  struct Duty {
    Voter voter;
    std::string promised_to;  // by name, of the voter
    Candidate candidate;
    State state = State::kWaiting;
    Time since{}, due{};  // when it stands, asks again, renews
    Time ends{};          // of a question or of a passing
    Message letter{};     // what is under way: said again to who has not answered
    std::set<std::size_t> answered{};
    std::set<std::size_t> refused{};  // voters that said no to it
    int failed = 0;                   // questions in a row that came to nothing
    std::string holder{};             // as last told
    std::uint64_t holder_token = 0;
    std::string successor{};
    std::uint64_t passed_token = 0;
    std::uint64_t changes = 0, acts = 0, stale = 0;
  };
  struct Heard {
    std::map<std::string, Entry> of;  // by duty
  };
  struct Looking {
    std::uint32_t round = 0;
    Time ends{};
    std::size_t duties = 0;              // that are looked at
    std::map<std::size_t, Heard> heard;  // by voter
  };
  struct Behaviour {  // of a voter, as last heard
    Lists lists;
    Time since{};
  };

  void SetVoters();
  Terms TermsNow() const;
  Message Letter(Kind kind) const;
  void Send(const std::string& to, const Message& message, Out& out);
  void ToVoters(const Message& message, const std::set<std::size_t>& but, Out& out);
  void Deliver(Time now, Out& out);
  void Take(Time now, const std::string& from, Life life, const Message& message, Out& out);
  bool AcceptsListsOf(const Message& message) const;

  void TickDuty(Time now, const std::string& name, Duty& duty, Out& out);
  void Look(Time now, Out& out);
  void EndLook(Time now, Out& out);
  bool LookIsOver() const;
  void Ask(Time now, const std::string& name, Duty& duty, Out& out);
  bool Hopeless(const Duty& duty) const;
  void GiveUpAsking(Time now, const std::string& name, Duty& duty, Out& out);
  void Lose(Time now, const std::string& name, Duty& duty, Out& out);
  void Enter(Duty& duty, State state, Time now);
  std::string Pass(Time now, const std::string& name, Duty& duty, std::string to, Out& out);
  void EndPass(Time now, Duty& duty, Out& out);
  std::optional<std::size_t> Number(std::string_view voter) const;
  bool CanHearMajority() const;
  std::size_t held() const;
  Duration Wait(int failed = 0);  // a random one, before it stands for what is free
  Duration Part(double of_lease) const;
  static Entry Named(const std::string& duty) {
    Entry entry;
    entry.duty = duty;
    return entry;
  }

  Options options_;
  const std::uint64_t floor_;
  std::mt19937_64 random_;
  View view_;
  std::vector<std::string> voters_;  // of both lists, by number
  std::map<std::string, Duty, std::less<>> duties_;
  std::map<std::string, Behaviour> behaviour_;
  std::optional<Looking> looking_;
  std::uint32_t round_ = 0;
  std::vector<Message> to_self_;
  bool started_ = false, leaving_ = false, handed_on_ = false, delivering_ = false;
};

}  // namespace curlewdoor::duty
