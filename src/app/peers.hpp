// The gateways of one fleet, as this one sees them: the view's state machine on its link, the log, the
// answers to operators. Made only where the configuration has `fleet`.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/duties.hpp"
#include "config/config.hpp"
#include "fleet/membership_protocol.hpp"
#include "log/log.hpp"
#include "net/fleet_link.hpp"
#include "net/watcher.hpp"

namespace curlewdoor::app {

class Peers : net::FleetLink::Owner, Duties::Ground {
 public:
  Peers(struct ev_loop* loop, const config::Config& config, net::Descriptors& descriptors,
        log::Logger& logger, std::function<duty::UsageCounts()> own_use);
  ~Peers() override;

  // Opens the link and joins. While the address is held, by the process that this one takes over from or by
  // another, it is tried again each period: clients never wait for the fleet.
  void Start();
  void Leave();
  // For an upgrade: this process says nothing more, and the next one goes on as the same member.
  std::string HandOn();
  void TakeOver(std::string_view records);
  void Resume();
  void Reap() { link_.Reap(); }

  // Operators' calls.
  std::string Describe() const;
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;
  const fleet::MembershipProtocol& view() const { return machine_; }
  Duties* duties() { return duties_ ? &*duties_ : nullptr; }  // where the configuration has `duty`

 private:
  void OnDatagram(std::string_view bytes) override;
  std::string OnExchange(std::string_view bytes) override;
  void OnExchangeEnd(const Address& with, std::string_view bytes) override;

  void SendPayload(const std::string& to, std::uint8_t channel, std::string bytes) override;
  duty::UsageCounts OwnUse() const override { return own_use_(); }

  std::vector<std::pair<std::string, std::uint64_t>> FleetFigures() const;
  std::optional<fleet::GossipMessage> Decode(std::string_view bytes, std::size_t most);
  void Open();
  void Carry(fleet::ProtocolOutput out);
  void Tell(const fleet::MembershipChange& change);
  void Arm();

  struct ev_loop* loop_;
  const config::Fleet config_;
  log::Logger& logger_;
  fleet::MembershipProtocol machine_;
  net::FleetLink link_;
  net::TimerWatcher timer_, open_timer_;
  const std::function<duty::UsageCounts()> own_use_;
  std::optional<Duties> duties_;
  std::uint64_t told_version_of_view_ = 0;  // that duties know
  std::array<std::uint64_t, 5> dropped_{};  // by fleet::DropReason
  std::uint64_t changes_ = 0, stalls_ = 0;
  bool told_version_ = false, told_open_ = false, told_seeds_ = false, carrying_ = false;
};

}  // namespace curlewdoor::app
