// Carries the first start of a core (agreement/bootstrapper.hpp) between this process, the seeds and the
// members: moves messages and writes, and decides nothing.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "agreement/bootstrapper.hpp"
#include "settings/settings.hpp"
#include "system/link.hpp"
#include "util/address.hpp"

namespace curlewdoor::system {

class FoundingHost {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // To be synced beside the core's records; OnWritten() tells the end. False: it can't be begun now.
    virtual bool KeepFounding(std::string state) = 0;
    // More than half of the seeds have chosen these members of epoch 1.
    virtual void OnFounded(std::vector<agreement::Member> members) = 0;
  };

  // `self`: where the link of this process listens. `durable`: what an acceptor says waits for the disk.
  FoundingHost(Link& link, Owner& owner, const Address& self, agreement::bootstrap::BootstrapState state,
               bool durable, std::size_t least_members, std::uint64_t seed);

  // What a process keeps that starts together with the whole system.
  static agreement::bootstrap::BootstrapState FirstState(const settings::NodeSettings& settings);

  void SetCandidate(agreement::Member self);
  void StopProposing() { founding_.StopProposing(); }
  void OnView(const std::vector<agreement::ObservedMachine>& view) { founding_.OnView(Now(), view); }
  void OnBytes(Link::Stream& from, std::string_view bytes);
  void OnWritten(bool ok);
  // About every 50 ms.
  void Tick();
  // The seeds, while they are to be asked.
  void AddTargets(std::vector<Address>& targets) const;

 private:
  static agreement::Time Now() { return std::chrono::steady_clock::now(); }
  Address LinkOf(std::uint32_t seed) const { return {seed, self_.port}; }
  void Carry(agreement::bootstrap::BootstrapOutput out);
  void Send(const Address& to, const agreement::bootstrap::BootstrapMessage& message);
  void Reply(std::uint64_t stream, const agreement::bootstrap::BootstrapMessage& message);

  Link& link_;
  Owner& owner_;
  const Address self_;
  agreement::bootstrap::Bootstrapper founding_;
};

}  // namespace curlewdoor::system
