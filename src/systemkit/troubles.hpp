// Troubles of machines, each of which ends by itself, so that several overlap: processes that are stopped or
// killed and started again, and ways between machines that are cut. For a World with relays.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {

class Troubles {
 public:
  explicit Troubles(World& world) : world_(world) {}

  // SIGSTOP, and SIGCONT after so many seconds. Nothing for one that is stopped or doesn't run.
  void Stop(int machine, double seconds);
  // SIGKILL of all at the same moment; they start again after so many seconds, with their disks.
  void Kill(const std::vector<int>& machines, double seconds);
  // The same for one that loses its disk meanwhile.
  void LoseDisk(int machine, double seconds);
  // SIGTERM; it starts again after so many seconds, once it has ended. Until then it isn't troubled
  // otherwise.
  void EndInOrder(int machine, double seconds);
  // The ways from the one to each of the others and, unless it is one way only, back.
  void Cut(int machine, const std::vector<int>& others, bool one_way, double seconds);
  // All streams of the machine are reset.
  void Reset(int machine);

  void EndDue();  // to be called again and again
  void EndAll();

  bool Ending(int machine) const { return ending_.contains(machine); }
  bool Stopped(int machine) const { return stopped_.contains(machine); }
  bool Runs(int machine) const { return world_.machines.Running(machine) && !Stopped(machine); }
  // Both ways.
  bool Reaches(int a, int b) const { return a == b || (!IsCut(a, b) && !IsCut(b, a)); }
  double last_reset() const { return last_reset_; }

 private:
  void Later(double seconds, std::function<void()> end);
  void Go(int machine);
  void StartOnceEnded(int machine, int life);
  void CutWay(int from, int to);
  void JoinWay(int from, int to);
  bool IsCut(int from, int to) const;

  World& world_;
  std::multimap<double, std::function<void()>> ends_;  // by their time
  std::set<int> stopped_, ending_;
  std::map<std::pair<int, int>, int> cuts_;  // how many hold each way cut
  double last_reset_ = -1;
};

// When something held of a machine, as it was looked at again and again.
class Spans {
 public:
  void Sample(double now, bool holds);
  bool Touches(double from, double to) const;

 private:
  std::vector<std::pair<double, double>> spans_;
  bool open_ = false;
};

// Which gateways no majority of the core could answer, and when. That a gateway was paused is none of it.
class OutOfReach {
 public:
  // The machines from 0 to `core` - 1 are the members.
  OutOfReach(int core, int all) : core_(core), spans_(static_cast<std::size_t>(all)) {}
  void Sample(double now, World& world, const Troubles& troubles);
  bool Touches(int gateway, double from, double to) const;

 private:
  const int core_;
  std::vector<Spans> spans_;
};

}  // namespace curlewdoor::systemkit
