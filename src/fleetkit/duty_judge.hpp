// The judge of duties: at most one holder at a time, tokens that rise, and no act taken under a token that
// was overtaken. It goes by what gateways say of their own holding, each moment in true time, by what befell
// their processes, and by what came to the ledger. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curlewdoor::fleetkit {

struct Verdict {
  std::string property;
  std::string broken;  // empty: it held
};

class DutyJudge {
 public:
  // `lease_s`: the longest that a stopped process can hold on; `slack_s`: of the times that gateways tell.
  DutyJudge(double lease_s, double slack_s) : lease_s_(lease_s), slack_s_(slack_s) {}

  void Gained(double at, int process, const std::string& duty, std::uint64_t token);
  // `until`: the last moment that it might have acted at. `handed_on`: as planned.
  void Ended(double until, int process, const std::string& duty, std::uint64_t token, bool handed_on = false);
  void Stopped(double at, int process) { stopped_[process] = at; }
  void Continued(double at, int process);
  void Gone(double at, int process);  // killed, or ended
  // It holds something, as far as it has told.
  bool Holds(int process) const;
  // What has come to the ledger, whenever that was sent, and whether the ledger took it.
  void Appended(double at, const std::string& duty, std::uint64_t token, const std::string& by, bool taken);

  void Finish(double now, std::vector<Verdict>& verdicts,
              std::vector<std::pair<std::string, double>>& figures) const;

 private:
  struct Holding {
    int process = 0;
    std::uint64_t token = 0;
    double from = 0;
    std::optional<double> until;
    std::optional<double>
        latest;  // it stood still for longer than a lease: the end, whatever it says of it later
    bool handed_on = false;
  };
  std::string Overlap(const std::string& duty, std::vector<Holding> holdings) const;

  const double lease_s_, slack_s_;
  std::map<std::string, std::vector<Holding>> holdings_;  // by duty
  std::map<int, double> stopped_;
  std::map<std::string, std::pair<std::uint64_t, std::string>> highest_;  // taken by the ledger, by duty
  std::map<std::pair<std::string, std::uint64_t>, std::string> by_;       // who acted under a token
  std::string ledger_broken_;
  std::uint64_t taken_ = 0, refused_ = 0;
};

}  // namespace curlewdoor::fleetkit
