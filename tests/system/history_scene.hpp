// Real processes with relays between them, operators that resend and readers that never stop; all that is
// seen from outside is kept as a history and judged at the end: src/systemkit/register_history.hpp.
#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "logs_on_failure.hpp"
#include "systemkit/register_history.hpp"
#include "systemkit/relays.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {

// A call, until and after its answer. `status` 0: there was no whole answer.
struct Asked {
  bool over = false;
  int gateway = -1, status = 0;
  std::string body;
  Sent sent, read;
  double called = 0, took = 0;
  std::function<void(const Asked&)> on_end;
  bool confirmed() const { return over && status == 200; }
  bool refused_5xx() const { return over && status >= 500 && status <= 599; }
};
using AskedPtr = std::shared_ptr<Asked>;

// What a core member says of itself and of its core.
struct CoreSeen {
  bool member = false, majority = false;
  std::uint64_t epoch = 0, committed = 0;
  int further_losses = -1;  // that it says the core bears
  int ballots_refused = 0;  // of its own
  std::vector<std::string> members;
};

class HistoryScene {
 public:
  static constexpr double kSoon = 20;    // seconds that anything may take at most: the machine may be busy
  static constexpr double kWithin = 2;   // seconds that a call waits for its answer
  static constexpr double kStep = 0.03;  // seconds from one step of the load to the next
  static constexpr double kProbeEvery = 0.1;
  static constexpr int kMostOpen = 8;  // of the load's calls at one machine

  struct Load {
    int operators = 2;
    bool reads = true;
    bool resends = true;  // of older orders that were confirmed, now and then
  };

  HistoryScene(int core, int others, int spares = 0);
  ~HistoryScene();
  HistoryScene(const HistoryScene&) = delete;
  HistoryScene& operator=(const HistoryScene&) = delete;

  // ---- Time
  bool Until(const std::function<bool()>& done, double within_s = kSoon);
  void Last(double seconds) {
    Until([] { return false; }, seconds);
  }
  // `each` runs every `every_s`.
  void LastWith(double seconds, double every_s, const std::function<void()>& each);

  // ---- Machines
  // All but these start for the first time, and serve a first version; then the load begins.
  bool Begin(const Load& load, const std::vector<int>& later = {});
  void Start(int machine, bool bootstrap = false);
  void Kill(const std::vector<int>& killed);
  void KillAndWipe(const std::vector<int>& killed);
  void Freeze(int machine);
  void Thaw(int machine);
  bool Asks(int machine);  // it runs, isn't frozen, and the load may call it
  void LeaveAlone(int machine) { left_alone_.push_back(machine); }
  void UseAgain(int machine) { std::erase(left_alone_, machine); }
  std::vector<int> Asking();  // machines that Asks() holds for

  // ---- Calls
  AskedPtr Order(int gateway, const Sent& sent, double within = kWithin, int extra_routes = 0);
  AskedPtr Read(int gateway, double within = kWithin);
  bool Over(const std::vector<AskedPtr>& calls);  // waits for all of them
  // Sends it on, at one gateway after the other, until it is confirmed; the status of the last answer.
  int OrderUntilClear(const Sent& sent, int first_gateway = 0, int extra_routes = 0);
  // As an operator whose connection breaks when `part` of the call's bytes are sent.
  void OrderAndReset(int gateway, const Sent& sent, double part);
  Sent Next(const std::string& content = "a") { return {++version_, content}; }
  bool Ready(int gateway);                          // asks its readiness door
  CoreSeen Core(int gateway);                       // asks its control door
  bool ServesNothing(int gateway);                  // no version sent so far is served by its data plane
  const std::string& ConfigText(const Sent& sent);  // of one that was sent

  // ---- What has come of it
  // So many more orders are confirmed, of those called from now on.
  bool Confirms(int more, double within_s = kSoon);
  bool AtConfirmation(std::function<void(int gateway)> act);  // of the load's next one
  std::uint64_t floor() const { return floor_; }              // highest confirmed or read
  std::uint64_t version() const { return version_; }
  std::uint64_t InForce(int gateway) const;
  std::size_t confirmed() const { return confirmed_.size(); }
  const std::vector<Sent>& confirmed_orders() const { return confirmed_; }
  // Seconds until this member counts again and holds what was confirmed when it came back, and says that the
  // core bears as many losses as one of so many members can; below 0: never.
  double UntilRedundant(int machine, int members);
  void StopLoad() { load_ = Load{0, false, false}; }

  // After the trouble: orders are confirmed again, all that run have the newest one in force and read it;
  // then the history is judged.
  void Judge();

  LoopOwner owner;
  Machines machines;
  Pace pace;
  Calls calls;
  Relays relays;

 private:
  struct Operator {
    Sent sent;
    bool busy = false;
    double next = 0, pause = 0;
    int tries = 0;
  };

  static Machines::Options MachinesOf(int core, int others, int spares);
  static std::size_t At(int machine) { return static_cast<std::size_t>(machine); }
  void Step();
  void StepOperator(Operator& each);
  int Pick();  // a machine that may be called; -1: none
  void Probe(int gateway);
  void ProbeRoute(int gateway, const Sent& sent);
  void OnOrderEnd(std::size_t index, Asked& asked, const Answer& answer);
  void OnReadEnd(Asked& asked, const Answer& answer);
  std::string MakeConfigText(const Sent& sent, int extra_routes) const;
  std::optional<Sent> Recognize(const std::string& body);

  const LogsOnFailure logs_{machines};
  std::mt19937_64 rng_{48};
  Load load_{0, false, false};
  std::vector<Operator> operators_;
  std::uint64_t version_ = 0, floor_ = 0;
  double stepped_ = 0, probed_ = 0;
  std::vector<int> open_, frozen_, left_alone_;
  std::vector<double> started_;
  std::vector<Sent> served_;  // newest seen, by gateway
  std::vector<OrderSeen> orders_;
  std::vector<ReadSeen> reads_;
  std::vector<ServedSeen> serving_;
  std::vector<Sent> confirmed_;
  std::map<std::uint64_t, std::vector<std::string>> contents_;  // sent, by version
  std::map<Sent, int> extra_routes_;
  std::map<Sent, std::string> texts_;
  std::function<void(int)> at_confirmation_;
  std::vector<std::string> broken_;  // that no rule of the register is about
};

}  // namespace curlewdoor::systemkit
