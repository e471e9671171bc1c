// What a state of the model check consists of: what may still happen, the machines, and the mail.
#pragma once

#include "core_probe.hpp"

namespace curlewdoor::agreement {
namespace {

constexpr std::size_t kMachines = 4;  // a, b and c are members, d may become one
using Disk = std::map<std::string, std::string>;

std::string NameOf(std::size_t machine) { return std::string(1, static_cast<char>('a' + machine)); }
Member MemberOf(std::size_t machine, std::uint64_t disk) {
  Member member;
  member.life.node = NameOf(machine);
  member.life.disk = disk;
  member.address = "10.0.0." + std::to_string(machine + 1) + ":7101";
  return member;
}
// An order: which number and which of two contents, at which member.
struct Order {
  std::size_t machine = 0;
  std::uint64_t version = 1;
  int content = 1;
};
constexpr std::size_t kMostVersions = 8;
std::string TextOf(std::uint64_t version, int content) {
  return (content == 1 ? "text " : "other ") + std::to_string(version);
}
// 1 or 2; 0: neither.
int ContentOf(std::uint64_t version, const Digest& digest) {
  for (int content : {1, 2})
    if (digest == ContentDigest(TextOf(version, content))) return content;
  return 0;
}
std::string NamesOf(const std::vector<Member>& members) {
  std::string names;
  for (const Member& m : members) names += m.life.node + (m.life.disk > 1 ? std::to_string(m.life.disk) : "");
  return names;
}

// What may happen, and how often.
struct Limits {
  int depth = 12;
  std::size_t states = 3'000'000;  // no deeper beyond so many
  std::vector<Order> orders{{0, 1, 1}, {1, 2, 1}};
  std::vector<std::size_t> gets{2}, proposers{0, 2};
  int proposals = 0, crashes = 0, hangs = 0, wipes = 0, views = 0, retries = 0, leaves = 0;
  bool grow = false;    // rosters of four as well
  bool seeded = false;  // a and b hold versions 1, without effect, and 2, chosen; c holds nothing
};

enum Kind : std::uint32_t { kDeliver, kPut, kGet, kPropose, kSync, kCrash, kWipe, kView, kRetry, kLeave };
enum Variant : std::uint32_t { kSynced, kLost, kKept, kHangs };  // the write that the step begins

struct Action {
  Kind kind = kDeliver;
  Variant variant = kSynced;
  std::uint32_t machine = 0, what = 0;  // message, version, read, or machine that goes out
  std::uint32_t Code() const { return kind | variant << 4 | machine << 6 | what << 8; }
  static Action Of(std::uint32_t code) {
    return {Kind(code & 15), Variant(code >> 4 & 3), code >> 6 & 3, code >> 8};
  }
};

// One machine: its process and its disk.
struct Local {
  std::shared_ptr<Core> core;
  Disk disk;
  std::optional<Write> write;  // the disk hangs on it
  std::uint64_t life = 1, run = 0;
  bool gone = false;                               // it has left, with its disk
  std::uint64_t disk_epoch = 0, disk_version = 0;  // of `disk`
  Stamp disk_stamp;
  std::array<int, kMostVersions> disk_contents{};  // by number; 0: it knows none
  std::string disk_record;
  std::vector<Member> disk_roster, disk_accepted;
};

struct Step {
  bool valid = false;
  std::uint32_t local = 0;
  std::vector<std::uint16_t> sent;
  std::vector<Done> done;
};

struct Mail {
  std::uint32_t from = 0, to = 0;  // machines
  Message message;
};

struct Open {
  std::uint16_t floor = 0;
  bool begun = false, ended = false;
};

struct World {
  std::array<std::uint32_t, kMachines> local{};
  std::array<std::uint16_t, 7> left{};  // proposals, crashes, hangs, wipes, views, retries, leaves
  std::uint16_t puts = 0, floor = 0;    // `puts`: begun, by bit
  std::array<std::uint16_t, kMostVersions> numbers{};  // confirmed content; and by bit 2 and 3: refused ones
  std::array<Open, 2> gets;
  std::array<std::uint16_t, 6> rosters{};  // by epoch: which one; 0: none known
  std::vector<std::uint16_t> mail;         // sorted

  std::vector<std::uint16_t> Pack() const {
    std::vector<std::uint16_t> words;
    for (std::uint32_t id : local) {
      words.push_back(static_cast<std::uint16_t>(id));
      words.push_back(static_cast<std::uint16_t>(id >> 16));
    }
    words.insert(words.end(), left.begin(), left.end());
    words.push_back(puts);
    words.push_back(floor);
    words.insert(words.end(), numbers.begin(), numbers.end());
    for (const Open& get : gets)
      words.push_back(static_cast<std::uint16_t>(get.floor << 2 | get.begun << 1 | get.ended));
    words.insert(words.end(), rosters.begin(), rosters.end());
    words.insert(words.end(), mail.begin(), mail.end());
    return words;
  }
  static World Of(const std::uint16_t* at, std::size_t size) {
    World world;
    const std::uint16_t* end = at + size;
    for (auto& id : world.local) {
      id = at[0] | static_cast<std::uint32_t>(at[1]) << 16;
      at += 2;
    }
    for (auto& left : world.left) left = *at++;
    world.puts = *at++;
    world.floor = *at++;
    for (auto& number : world.numbers) number = *at++;
    for (Open& get : world.gets) {
      get = {static_cast<std::uint16_t>(*at >> 2), (*at & 2) != 0, (*at & 1) != 0};
      ++at;
    }
    for (auto& roster : world.rosters) roster = *at++;
    world.mail.assign(at, end);
    return world;
  }
};

}  // namespace
}  // namespace curlewdoor::agreement
