// One gateway: the loop's parts, and the queue that takes inputs through the reducer and carries out effects.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/handing.hpp"
#include "app/peers.hpp"
#include "config/config.hpp"
#include "host_overrides/host_overrides.hpp"
#include "log/log.hpp"
#include "memory/trim.hpp"
#include "net/admin_door.hpp"
#include "net/counter.hpp"
#include "net/discovery.hpp"
#include "net/listener.hpp"
#include "net/platform_dialect.hpp"
#include "net/shutdown.hpp"
#include "net/socket_io.hpp"
#include "net/uploads.hpp"
#include "net/upstream.hpp"

namespace curlewdoor::app {

class Service : net::Inputs, net::Uploads::Owner {
 public:
  // Reads the configuration anew, while the program runs; on nullopt the text tells the faulty key.
  using Reload =
      std::function<std::optional<config::Config>(const config::Config& running, std::string& error)>;

  Service(struct ev_loop* loop, const config::Config& config, Reload reload, log::Logger& logger,
          const GatewayCoreFactory& make_core = MakeReducer);
  ~Service() override;

  // Listens and asks discovery. Tells in `error` why it can't.
  bool Start(std::string& error);
  std::uint16_t port() const { return listener_.port(); }
  std::uint16_t admin_port() const { return admin_.port(); }
  void Stop() { shutdown_.Begin(); }
  std::size_t clients() const { return listener_.connections(); }
  // What is believed to be out, and what the sockets show.
  std::size_t attempts_out() const { return reducer_->attempts_in_flight(); }
  std::size_t attempts_on_sockets() const { return upstream_.attempts(); }

 private:
  void Post(Input input) override;
  void Handle(Input input);  // what Post() does once the layers before the core have had their say
  TimePoint Now() override { return clock_.Now(); }
  Duration Unseen(int socket) override {
    const TimePoint now = clock_.Now();
    return stalls_.InputDelay(now, stalls_.catching_up(now) ? net::SinceReceived(socket) : std::nullopt);
  }

  // Bodies in pieces: docs/streaming.md.
  void OnUpload(RequestId request) override { uploads_.Pump(request); }
  void OnWhole(RequestId request) override { Post(RequestBodyComplete{request}); }
  void OnBound(const AttemptId& attempt) override { Post(ReplayBufferReleased{attempt}); }
  void OnAnswerRoom(RequestId request) override { upstream_.ReadOn(request); }
  void OnAnswerLost(RequestId request) override { upstream_.DropStream(request); }
  bool WantsAnswer(RequestId request) override { return listener_.WantsBytes(request); }
  void OnAnswerBytes(RequestId request, std::string_view bytes) override {
    listener_.DeliverBytes(request, bytes);
  }
  void OnAnswerEnd(RequestId request, bool whole) override { listener_.EndDelivery(request, whole); }

  void Apply(const StartAttempt& effect);
  void Apply(const DropAttempt& effect) {
    uploads_.Forget(effect.attempt.request);
    upstream_.Drop(effect.attempt);
  }
  void Apply(const DeliverAnswer& effect);
  void Apply(const RespondRefused& effect);
  void Apply(const RespondFailed& effect);
  void Apply(const StartCall& effect);
  void Apply(const DropCall& effect) { counter_.Drop(effect.call); }
  void Apply(const StartProbe& effect) { upstream_.Start(effect); }
  void Apply(const DropProbe& effect) { upstream_.Drop(effect.probe); }
  void Apply(const CloseIdleConnections& effect) { upstream_.CloseKeptTo(effect.host); }
  void Apply(const StopSending& effect) { upstream_.StopSendingTo(effect.host, effect.deadline); }
  void Apply(const WatchMembers& effect) { discovery_.Watch(effect.on); }
  void Apply(const FetchMembers&) { discovery_.Fetch(); }
  void Apply(const WriteLog& effect) { logger_.Info("module: {}", effect.text); }

  // Operators' calls: one line to one answer.
  std::string AnswerCall(std::string_view line);
  std::string Answer(const admin::Status&);
  std::string Answer(const admin::Metrics&);
  std::string Answer(const admin::Suspend& call);
  std::string Answer(const admin::Restore& call);
  std::string Answer(const admin::Fleet&);
  std::string Answer(const admin::Duties&);
  std::string Answer(const admin::HandOver& call);
  std::string Answer(const admin::Bad& call);
  std::string AnswerByHand(handover::Kind kind, const std::string& name, std::string_view what);
  host_overrides::HostOverrides::Result CallByHand(handover::Kind kind, HostId host);

  // A new configuration: moves to its discovery and counter. A faulty one changes nothing.
  void OnHangUp();
  void BeforeWait();
  void KeepHouse();
  void LogFigures();
  Duties* duties() { return peers_ ? peers_->duties() : nullptr; }

  struct ev_loop* loop_;
  config::Config config_;  // in force
  const Reload reload_;
  log::Logger& logger_;
  WallClock clock_;
  StallMeter stalls_;
  memory::Budget memory_;
  net::Descriptors descriptors_;
  const std::unique_ptr<GatewayCore> reducer_;
  net::Listener listener_;
  net::PlatformDialect dialect_{config_.settings};
  net::Upstream upstream_;
  net::Counter counter_;
  net::Discovery discovery_;
  net::AdminDoor admin_;
  host_overrides::HostOverrides by_hand_;
  const std::unique_ptr<Peers> peers_;  // where the configuration has `fleet`
  Handing handing_;
  net::Shutdown shutdown_;
  net::SignalWatcher hang_up_;
  net::PrepareWatcher before_wait_;
  net::CheckWatcher after_wait_;
  net::TimerWatcher due_timer_, house_timer_, figures_timer_;
  memory::Trimmer trimmer_;
  int house_turns_ = 0;
  TimePoint house_due_;
  std::deque<Input> inputs_;
  std::vector<Effect> effects_;
  net::Uploads uploads_{listener_, upstream_, *this};
  bool handling_ = false;
  struct {
    std::uint64_t served = 0, refused = 0, failed = 0, attempts = 0, calls = 0;
    std::uint64_t reloads = 0, bad_reloads = 0;
  } counts_;
};

}  // namespace curlewdoor::app
