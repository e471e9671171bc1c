// The one place where configuration is read, checked and given defaults.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"
#include "members/members.hpp"
#include "util/address.hpp"

namespace curlewdoor::config {

// Gateways that see one another: docs/operators/fleet.md. Absent: off, and nothing is opened for it.
struct Fleet {
  std::string name;            // two fleets on one network never mix
  Address listen;              // datagrams, and full exchanges by TCP
  Address advertise;           // where others reach this gateway; `listen` where nothing else is said
  std::vector<Address> seeds;  // who is asked at the start
  std::size_t size = 1;        // gateways of the whole fleet, for quorums
  std::chrono::milliseconds probe{500};
  bool operator==(const Fleet&) const = default;
};

// Duties that one gateway holds at a time: docs/operators/duties.md. Absent: off. Needs `fleet`.
struct Duty {
  std::vector<std::string> voters;         // names of gateways; 1, 3, 5 or 7
  std::vector<std::string> voters_before;  // while voters change: the list that was in force
  std::vector<std::string> names;          // of the duties
  std::chrono::milliseconds lease{3000};
  double clock_bound = 0.01;  // how far rates of clocks differ from true time, as a part
  std::optional<Address> ledger;
  std::chrono::milliseconds record_every{10'000};
  bool operator==(const Duty&) const = default;
};

struct Config {
  std::string name;
  Address listen, discovery, counter;
  std::optional<Address> admin;  // where operators call
  std::optional<int> listen_fd;  // a socket that already listens on `listen`, inherited
  std::string scratch;           // a folder that processes of this gateway share; empty: none
  std::uint64_t seed = 0;
  double cores = 1;
  int memory_mb = 192;
  int sockets = 1024;
  std::optional<MemberList> known;
  std::optional<Fleet> fleet;
  std::optional<Duty> duty;
  Settings settings;
  // The paths of all keys in the file; in a list of objects, of those that each of them has.
  std::set<std::string> keys;
};

// What the environment says, by the names of its variables; what stands there goes before the file.
using Environment = std::map<std::string, std::string>;
Environment ReadEnvironment();

// On nullopt, `error` names the faulty key.
std::optional<Config> ParseConfig(std::string_view text, const Environment& environment, std::string& error);
// The file is `path` or, if that is empty, the one that RELAY_CONFIG names.
std::optional<Config> LoadConfig(const std::string& path, const Environment& environment, std::string& error);
// The same while the program runs: the environment is as old as the start, so the file goes before it. A key
// that the running file has must be there: what lacks one is taken for cut or half written.
std::optional<Config> ReloadConfig(const std::string& path, const Environment& environment,
                                   const Config& running, std::string& error);
// What lacks a key of the running file; empty: nothing does.
std::string MissingKey(const Config& running, const Config& next);
// The settings of `next`, with what can't change while the program runs as it is in `running`.
Settings Retuned(const Config& running, const Config& next);

// The keys that differ and that only a restart brings into force.
std::vector<std::string> NeedRestart(const Config& running, const Config& next);

}  // namespace curlewdoor::config
