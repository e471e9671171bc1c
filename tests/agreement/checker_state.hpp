// The state of the model check: actions, machines and messages in flight.
#pragma once

#include "core_probe.hpp"

namespace curlewdoor::agreement {
namespace {

constexpr std::size_t kMachines = 4;  // a, b and c are members, d may become one
using Disk = std::map<std::string, std::string>;

std::string NameOf(std::size_t machine) { return std::string(1, static_cast<char>('a' + machine)); }
Member MemberOf(std::size_t machine, std::uint64_t disk) {
  Member member;
  member.incarnation.node = NameOf(machine);
  member.incarnation.number = disk;
  member.address = "10.0.0." + std::to_string(machine + 1) + ":7101";
  return member;
}
// A put: its version and which of two contents, at which member.
struct PlannedPut {
  std::size_t machine = 0;
  std::uint64_t version = 1;
  int content = 1;
};
constexpr std::size_t kMaxVersions = 8;
std::string TextOf(std::uint64_t version, int content) {
  return (content == 1 ? "text " : "other ") + std::to_string(version);
}
// The content (1 or 2) that has this digest; 0: neither.
int ContentOf(std::uint64_t version, const Digest& digest) {
  for (int content : {1, 2})
    if (digest == ContentDigest(TextOf(version, content))) return content;
  return 0;
}
std::string NamesOf(const std::vector<Member>& members) {
  std::string names;
  for (const Member& m : members)
    names += m.incarnation.node + (m.incarnation.number > 1 ? std::to_string(m.incarnation.number) : "");
  return names;
}

// Which actions may occur, and how often.
struct Limits {
  int depth = 12;
  std::size_t states = 3'000'000;  // stops deepening beyond this
  std::vector<PlannedPut> planned_puts{{0, 1, 1}, {1, 2, 1}};
  std::vector<std::size_t> gets{2}, proposers{0, 2};
  int proposals = 0, crashes = 0, stalls = 0, wipes = 0, views = 0, retries = 0, leaves = 0;
  bool allow_growth = false;  // also memberships of four
  bool seeded = false;        // a and b hold version 1 (without effect) and 2 (chosen); c holds nothing
};

enum Kind : std::uint32_t { kDeliver, kPut, kGet, kPropose, kSync, kCrash, kWipe, kView, kRetry, kLeave };
enum Variant : std::uint32_t {
  kSynced,
  kLost,
  kPersisted,
  kStalls
};  // what happens to the write that the action starts

struct Action {
  Kind kind = kDeliver;
  Variant variant = kSynced;
  std::uint32_t machine = 0, argument = 0;  // message, version, read, or machine to remove
  std::uint32_t Code() const { return kind | variant << 4 | machine << 6 | argument << 8; }
  static Action Of(std::uint32_t code) {
    return {Kind(code & 15), Variant(code >> 4 & 3), code >> 6 & 3, code >> 8};
  }
};

// A machine: its process and its disk.
struct MachineState {
  std::shared_ptr<Core> core;
  Disk disk;
  std::optional<StorageWrite> write;  // the disk stalls on it
  std::uint64_t incarnation = 1, run = 0;
  bool departed = false;                           // the machine has left with its disk
  std::uint64_t disk_epoch = 0, disk_version = 0;  // of `disk`
  Stamp disk_stamp;
  std::array<int, kMaxVersions> disk_contents{};  // by version; 0: none known
  std::string disk_record;
  std::vector<Member> disk_members, disk_accepted;
};

struct Transition {
  bool valid = false;
  std::uint32_t machine_state = 0;
  std::vector<std::uint16_t> sent;
  std::vector<CallResult> results;
};

struct SentMessage {
  std::uint32_t from = 0, to = 0;  // indices of machines
  CoreMessage message;
};

struct PendingGet {
  std::uint16_t acknowledged = 0;
  bool started = false, ended = false;
};

struct SystemState {
  std::array<std::uint32_t, kMachines> machines{};
  std::array<std::uint16_t, 7> budget{};     // proposals, crashes, stalls, wipes, views, retries, leaves
  std::uint16_t puts = 0, acknowledged = 0;  // `puts`: a bit per started put
  std::array<std::uint16_t, kMaxVersions>
      versions{};  // bits 0 and 1: the confirmed content; bits 2 and 3: refused ones
  std::array<PendingGet, 2> gets;
  std::array<std::uint16_t, 6> memberships{};  // an id by epoch; 0: none known
  std::vector<std::uint16_t> in_flight;        // sorted

  std::vector<std::uint16_t> Pack() const {
    std::vector<std::uint16_t> words;
    for (std::uint32_t id : machines) {
      words.push_back(static_cast<std::uint16_t>(id));
      words.push_back(static_cast<std::uint16_t>(id >> 16));
    }
    words.insert(words.end(), budget.begin(), budget.end());
    words.push_back(puts);
    words.push_back(acknowledged);
    words.insert(words.end(), versions.begin(), versions.end());
    for (const PendingGet& get : gets)
      words.push_back(static_cast<std::uint16_t>(get.acknowledged << 2 | get.started << 1 | get.ended));
    words.insert(words.end(), memberships.begin(), memberships.end());
    words.insert(words.end(), in_flight.begin(), in_flight.end());
    return words;
  }
  static SystemState Of(const std::uint16_t* at, std::size_t size) {
    SystemState system;
    const std::uint16_t* end = at + size;
    for (auto& id : system.machines) {
      id = at[0] | static_cast<std::uint32_t>(at[1]) << 16;
      at += 2;
    }
    for (auto& budget : system.budget) budget = *at++;
    system.puts = *at++;
    system.acknowledged = *at++;
    for (auto& number : system.versions) number = *at++;
    for (PendingGet& get : system.gets) {
      get = {static_cast<std::uint16_t>(*at >> 2), (*at & 2) != 0, (*at & 1) != 0};
      ++at;
    }
    for (auto& membership : system.memberships) membership = *at++;
    system.in_flight.assign(at, end);
    return system;
  }
};

}  // namespace
}  // namespace curlewdoor::agreement
