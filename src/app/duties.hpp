// The duties of one gateway: the machine that holds them, on the link of its peers, what it does while it
// holds one, the log and the answers to operators. Made only where the configuration has `duty`.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "duty/duty_manager.hpp"
#include "duty/usage.hpp"
#include "fleet/membership_protocol.hpp"
#include "log/log.hpp"
#include "net/ledger.hpp"
#include "net/watcher.hpp"

namespace curlewdoor::app {

inline constexpr std::string_view kRecord = "record";  // writes the fleet's use to the ledger

class Duties : net::Ledger::Owner {
 public:
  // What it stands on: the members' link, and what this gateway has done so far.
  class Ground {
   public:
    virtual ~Ground() = default;
    virtual void SendPayload(const std::string& to, std::uint8_t channel, std::string bytes) = 0;
    virtual duty::UsageCounts OwnUse() const = 0;
  };

  Duties(struct ev_loop* loop, const config::Config& config, std::uint64_t boot,
         net::Descriptors& descriptors, log::Logger& logger, Ground& ground);
  ~Duties() override;

  void Start();
  void OnView(const fleet::MembershipProtocol& machine);
  void OnPayload(const fleet::ReceivedPayload& payload);
  void Leave();

  // An upgrade.
  std::string HandOn();
  void TakeOver(std::string_view bytes);
  void Resume();

  // Empty: the new configuration may take the place of the one in force.
  std::string WhyNot(const config::Config& next) const;
  void Retune(const config::Config& next);

  // Operators' calls: DUTIES, and HANDOVER, which gives the reason why not or nothing.
  std::string Describe() const;
  std::string HandOver(const std::string& duty, const std::string& to);
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  std::optional<std::string> OnReady() override;
  void OnTaken(std::uint64_t number) override;
  void OnStale(std::uint64_t highest) override;
  void OnFailed(const std::string& why) override;

  void Carry(duty::DutyOutput out);
  void Tell(const duty::DutyChange& change);
  void Arm();
  void RecordDue();

  struct ev_loop* loop_;
  const std::chrono::milliseconds record_every_;
  log::Logger& logger_;
  Ground& ground_;
  duty::DutyManager machine_;
  duty::UsageTable uses_;
  std::optional<net::Ledger> ledger_;
  net::TimerWatcher timer_, record_timer_;
  bool started_ = false, failing_ = false;
  std::uint64_t dropped_ = 0, taken_ = 0, failed_ = 0;
};

}  // namespace curlewdoor::app
