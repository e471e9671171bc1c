// A member's Coordinator on the loop: its timer, its writes, its messages, and the calls that other gateways
// and this one have passed to it. Carries and decides nothing.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/coordinator.hpp"
#include "net/watcher.hpp"
#include "system/message.hpp"

namespace curlewdoor::system {

class CoordinationHost {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void SendToReplica(const agreement::Member& to, std::string bytes) = 0;
    virtual void SendTo(std::uint64_t stream, const Message& message) = 0;
    // False: the storage takes no more now. Else OnWritten() follows.
    virtual bool WriteLog(coordination::RecordBatch records) = 0;
    virtual void OnCoordinationReply(std::uint64_t number,
                                     coordination::Reply reply) = 0;  // to a call from here
    virtual void OnCoordinationLeader(std::uint64_t term, const std::string& name) = 0;  // this one leads
  };

  CoordinationHost(struct ev_loop* loop, Owner& owner, agreement::Member self,
                   coordination::ReplicaState from_disk, const coordination::CoordinatorOptions& options,
                   std::uint64_t seed);

  void SetRoster(const agreement::Membership& roster);
  void OnBytes(std::string_view bytes);
  void OnWritten(bool ok);
  void Tick();
  // `stream`: that the call came on; 0: from this process. Answered once by SendTo() or
  // OnCoordinationReply().
  void OnCall(std::uint64_t stream, std::uint64_t number, const coordination::Call& call,
              coordination::ProvenRenewals proven);
  void Forget(std::uint64_t stream, std::uint64_t number);
  void OnStreamDown(std::uint64_t stream);
  void Leave();  // the process is about to end
  bool leads() const { return coordinator_.replica().serving(); }
  // It leads, and there is another who could.
  bool has_lead_to_hand_over() const { return leads() && coordinator_.replica().voters().size() > 1; }
  const coordination::Coordinator& coordinator() const { return coordinator_; }

 private:
  using Steady = std::chrono::steady_clock::time_point;
  struct Origin {
    std::uint64_t stream = 0, number = 0;
    auto operator<=>(const Origin&) const = default;
  };
  static Steady Now() { return std::chrono::steady_clock::now(); }
  void Execute(coordination::CoordinatorOutput out);
  void Reply(coordination::CallId id, coordination::Reply reply);
  void SetTimer();

  struct ev_loop* loop_;
  Owner& owner_;
  coordination::Coordinator coordinator_;
  net::TimerWatcher timer_;
  std::map<coordination::CallId, Origin> origins_;
  std::multimap<Origin, coordination::CallId> ids_;
  coordination::CallId next_id_ = 1;
  bool led_ = false;
};

}  // namespace curlewdoor::system
