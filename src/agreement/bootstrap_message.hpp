// The messages exchanged while a core bootstraps (bootstrapper.hpp), and the state that an acceptor keeps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "agreement/message.hpp"

namespace curlewdoor::agreement::bootstrap {

constexpr std::size_t kMaxSeeds = kMaxMembers;

// The acceptors: the seeds of the settings file as numeric addresses, ascending and without duplicates.
using AcceptorSet = std::vector<std::uint32_t>;
// The lowest kMaxSeeds of the seeds; without any seed, the process itself is the only acceptor.
AcceptorSet MakeAcceptorSet(const std::vector<std::uint32_t>& seeds, std::uint32_t self);

struct BootstrapPrepare {
  Ballot ballot;
  bool operator==(const BootstrapPrepare&) const = default;
};
// Granted if `promised` equals the requested ballot.
struct BootstrapPromise {
  std::uint32_t seed = 0;  // the sender
  Ballot requested, promised;
  std::optional<AcceptedProposal> accepted;
  bool operator==(const BootstrapPromise&) const = default;
};
struct BootstrapAccept {
  Ballot ballot;
  std::vector<Member> members;  // of epoch 1
  bool operator==(const BootstrapAccept&) const = default;
};
// Accepted if `promised` equals the requested ballot.
struct BootstrapAccepted {
  std::uint32_t seed = 0;
  Ballot requested, promised;
  bool operator==(const BootstrapAccepted&) const = default;
};
// More than half of the seeds have accepted these members.
struct BootstrapChosen {
  std::vector<Member> members;
  bool operator==(const BootstrapChosen&) const = default;
};
using BootstrapMessageBody =
    std::variant<BootstrapPrepare, BootstrapPromise, BootstrapAccept, BootstrapAccepted, BootstrapChosen>;

// A message of a bootstrap. Messages with another acceptor set are ignored: two systems that share no seed
// are two systems.
struct BootstrapMessage {
  AcceptorSet acceptors;
  BootstrapMessageBody body;
  bool operator==(const BootstrapMessage&) const = default;
};

// What an acceptor must not forget. The acceptor set stays what it was at the first start, whatever the
// settings say later.
struct BootstrapState {
  AcceptorSet acceptors;
  Ballot promised;
  std::optional<AcceptedProposal> accepted;
  bool operator==(const BootstrapState&) const = default;
};

}  // namespace curlewdoor::agreement::bootstrap
