// What is said while a core is founded (founding.hpp), and what a seed keeps of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "agreement/message.hpp"

namespace curlewdoor::agreement::founding {

constexpr std::size_t kMostSeeds = kMostMembers;

/// The seeds of the settings file by the number of their address, ascending, each once: the acceptors.
using Electorate = std::vector<std::uint32_t>;
/// The lowest kMostSeeds of them; where there is no seed, the process itself is the only one.
Electorate ElectorateOf(const std::vector<std::uint32_t>& seeds, std::uint32_t self);

struct Prepare {
  Ballot ballot;
  bool operator==(const Prepare&) const = default;
};
/// Granted when `promised` is the ballot that was asked for.
struct Promise {
  std::uint32_t seed = 0;  // who says so
  Ballot asked, promised;
  std::optional<Accepting> accepted;
  bool operator==(const Promise&) const = default;
};
struct Accept {
  Ballot ballot;
  std::vector<Member> members;  // of epoch 1
  bool operator==(const Accept&) const = default;
};
/// Accepted when `promised` is the ballot that was asked for.
struct Accepted {
  std::uint32_t seed = 0;
  Ballot asked, promised;
  bool operator==(const Accepted&) const = default;
};
/// More than half of the seeds have accepted these members.
struct Chosen {
  std::vector<Member> members;
  bool operator==(const Chosen&) const = default;
};
using Body = std::variant<Prepare, Promise, Accept, Accepted, Chosen>;

/// Those of another electorate are passed over: two systems that share no seed are two systems.
struct Message {
  Electorate electorate;
  Body body;
  bool operator==(const Message&) const = default;
};

/// What an acceptor may not forget. The electorate stays what it was at the first start, whatever the
/// settings say later.
struct State {
  Electorate electorate;
  Ballot promised;
  std::optional<Accepting> accepted;
  bool operator==(const State&) const = default;
};

}  // namespace curlewdoor::agreement::founding
