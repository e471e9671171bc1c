// A rehearsal of several gateways that see one another (rehearsals/fleet-*.toml): how many, what breaks and
// what must be seen afterwards. Read and checked here, and nowhere else; docs/operators/fleet.md lists the
// keys. Faults come one after the other: each waits for what the one before it expects to be seen, not for a
// time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace curlewdoor::fleetkit {

inline constexpr int kMostGateways = 1000;  // in virtual time
inline constexpr int kMostProcesses = 110;  // on sockets
inline constexpr std::size_t kMostFaults = 500;

struct Span {
  double low = 0, high = 0;
};

// What befalls a datagram or an exchange on its way from one gateway to another.
struct LinkTrouble {
  bool cut = false;
  double loss = 0, repeat = 0, reorder = 0, corrupt = 0;  // parts of the datagrams
  double delay_s = 0;
};

enum class FaultKind {
  kGatewayKill,      // SIGKILL
  kGatewayStop,      // SIGSTOP
  kGatewayContinue,  // SIGCONT
  kGatewayTerm,      // SIGTERM
  kGatewayStart,     // a new life, or the first
  kGatewayRestart,   // killed, and started again at once
  kGatewayUpgrade,   // a second process takes over from the first, which gets SIGTERM then
  kGatewayTwin,      // another process under the same name, at another address
  kLinkCut,
  kLinkLoss,
  kLinkRepeat,
  kLinkReorder,
  kLinkCorrupt,
  kLinkDelay,
  kLinkHeal,       // ends all troubles of links
  kDutyHandOver,   // the holder is asked to hand its duty to this gateway
  kDutyVoters,     // these vote from now on, beside the list in force (SIGHUP to all)
  kDutyVotersEnd,  // the list that was in force before goes (SIGHUP to all)
  kLedgerHold,     // what this gateway sends to the ledger stays on its way
  kLedgerHeal,     // and arrives now
  kWait            // nothing breaks
};

struct FaultWord {
  FaultKind kind;
  std::string_view word;
  bool of_links;
  std::string_view size;  // what `size` means; empty: takes none
  double least, most;
  std::string_view does;
};
const std::vector<FaultWord>& FaultWords();
const FaultWord& WordOf(FaultKind kind);

// kHeld: one gateway holds the duty; kMoved: one that the fault did not strike; kKept: one
// that it struck; kUnheld: none.
enum class Expect { kNothing, kAgreed, kHeld, kMoved, kKept, kUnheld };

// In place of a gateway's number.
inline constexpr int kHolder = -2;  // who holds the duty as the fault begins
inline constexpr int kLast = -3;    // whom the fault before struck

struct Fault {
  FaultKind kind = FaultKind::kWait;
  Span after_s;          // since what the one before expects was seen
  std::vector<int> who;  // gateways; of links: from these ...
  std::vector<int> to;   // ... to these; empty: to all others
  double part = 0;       // of all gateways, chosen by the seed, in place of `who`
  bool both = true;      // links: in both directions
  double size = 0;
  double for_s = 0;   // stop, links: ends by itself; 0: it does not
  double wave_s = 0;  // from one gateway to the next
  Expect expect = Expect::kAgreed;
  double within_s = 10;
  int line = 0;
};

// Duties that one gateway holds at a time: `record`, which appends to a ledger of the kit.
struct Duties {
  int voters = 3;  // the first of the gateways
  double lease_ms = 1500;
  double clock_bound = 0.01;
  double record_ms = 100;  // from one act to the next
};

struct Scenario {
  std::string name, shows;
  std::uint64_t seed = 1;
  int gateways = 5;
  int started = 5;  // of them, from the beginning
  int seeds = 2;    // the first of them
  int size = 5;     // as configured, for quorums
  double probe_ms = 500;
  bool lifeguard = true;
  double clock_rate = 0;       // clocks run faster or slower by up to this part; virtual time only
  double clock_offset_s = 0;   // and stand apart by up to so much
  double first_within_s = 10;  // until all have found one another
  std::vector<Fault> faults;
  int twins = 0;
  // Clients, hosts and a counter that are played beside it, on sockets: another rehearsal, with these
  // gateways in place of its own. Its five rules are judged too.
  std::optional<rehearsal::Scenario> load;
  std::optional<Duties> duties;

  int processes() const { return gateways + twins; }
};

std::string NameOf(int gateway);
std::vector<std::string> NamesOf(const std::vector<int>& gateways);

// On nullopt `error` names file, line and key, and says what was expected.
std::optional<Scenario> LoadScenario(const std::string& path, std::string& error);
std::optional<Scenario> ParseScenario(std::string_view text, const std::string& path, std::string& error);

}  // namespace curlewdoor::fleetkit
