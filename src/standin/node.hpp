// A stand-in article node: cores that share the work in hand, slots and a queue, cold start, thrashing,
// falling over, drains and faults. A pure state machine: requests in at a time, answers out when Advance() is
// called at the time that NextDue() names. It draws no clock and opens nothing; sockets and virtual time both
// play it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

#include "logic.hpp"
#include "standin/random.hpp"

namespace curlewdoor::standin {

enum class WorkTimes { kLognormal, kExponential };

struct WorkClass {
  Duration mean{};  // of one core at speed 1
  double cv = 0.5;  // lognormal only
  WorkTimes times = WorkTimes::kLognormal;
};

struct NodeKind {
  int cores = 2;
  double speed = 1;
  int slots_per_core = 8;
  int queue_per_core = 20;
  double thrash = 0.1;     // share of its work lost ...
  double thrash_at = 5;    // ... for each request in hand a core beyond this many
  double cold_from = 0.3;  // part of its work it can do when it has just started
  Duration cold_time = std::chrono::seconds(10);
  double fall_multiple = 4;                      // times what it can do while cold ...
  Duration fall_time = std::chrono::seconds(3);  // ... over this long, and it falls over
  int connections = 1000;
  Duration handshake = std::chrono::microseconds(800);  // work that a new connection costs it
  double error_rate = 0;
};

// What the faults do to it at present.
struct NodeTrouble {
  double slowness = 1;
  bool stalled = false;  // takes requests and works on none
  bool silent = false;   // cut off: hears nothing and says nothing
  double errors = 0;     // part answered 500
  double spoilt = 0;     // part answered with bytes that are no answer
  double resets = 0;     // part whose connection is reset after the work is done
  bool operator==(const NodeTrouble&) const = default;
};

using JobId = std::uint64_t;  // given by whoever plays the node

struct Job {
  JobId id = 0;
  std::uint64_t request = 0;  // the id that the client gave
  int work_class = 0;
  int gateway = 0;
  bool new_connection = false;
};

enum class NodeSays { kAnswer, kTurnedAway, kError, kSpoilt, kReset };

struct NodeOutput {
  JobId job = 0;
  NodeSays says = NodeSays::kAnswer;
};

// One job done, whether its answer got out or not: an effect has happened.
struct NodeRan {
  TimePoint at;
  std::uint64_t request = 0;
  int times = 1;  // how often this node has run this id by now
};

struct NodeFell {
  TimePoint at;
  std::vector<double> work_by_gateway;  // seconds of work within the window that pushed it over
};

class Node {
 public:
  Node(const NodeKind& kind, const std::vector<WorkClass>& classes, int gateways, std::uint64_t seed);

  // Starts, or starts again: cold, with nothing in hand. What it has run it still knows.
  void Start(TimePoint now, bool cold);
  // Dies: every job in hand ends in a reset.
  void Kill(TimePoint now, std::vector<NodeOutput>& out);
  void SetDraining(TimePoint now, bool draining);
  void SetTrouble(TimePoint now, const NodeTrouble& trouble);

  // A connection is made or ends. False: over its limit.
  bool Connect();
  void Disconnect() { --connections_; }

  void Take(TimePoint now, const Job& job, std::vector<NodeOutput>& out);
  // The gateway closed the connection: the work is given up.
  void Drop(TimePoint now, JobId job);
  void Advance(TimePoint now, std::vector<NodeOutput>& out);
  std::optional<TimePoint> NextDue() const;

  bool up() const { return up_; }
  bool reachable() const { return up_ && !trouble_.silent; }
  std::size_t in_hand() const { return active_.size() + queue_.size(); }
  // Gathered since the last call.
  std::vector<NodeRan> TakeRan() { return std::exchange(ran_, {}); }
  std::optional<NodeFell> TakeFall() { return std::exchange(fell_, {}); }
  // The nearest it came to falling over: work that came within the window over what pushes it over.
  double nearest_fall() const { return nearest_fall_; }

 private:
  struct Active {
    Job job;
    double finish = 0;  // in work done for each job since the beginning, seconds
  };
  struct Arrival {
    TimePoint at;
    double work = 0;
    int gateway = 0;
  };

  double Warmth(TimePoint now) const;
  double RatePerJob(TimePoint now) const;
  void Progress(TimePoint now);
  void Activate(const Job& job);
  void Finish(TimePoint now, const Job& job, std::vector<NodeOutput>& out);
  double Draw(const Job& job);
  // True if this arrival pushes it over.
  bool CountArrival(TimePoint now, const Job& job);
  void Say(JobId job, NodeSays says, std::vector<NodeOutput>& out) const;

  const NodeKind kind_;
  const std::vector<WorkClass> classes_;
  const int gateways_;
  Random random_;
  NodeTrouble trouble_;
  bool up_ = false, draining_ = false;
  TimePoint started_, draining_since_;
  bool cold_ = false;  // as of the start
  int connections_ = 0;
  TimePoint last_;       // progress is counted up to here
  double progress_ = 0;  // work done for each job, seconds
  std::unordered_map<JobId, Active> active_;
  std::set<std::pair<double, JobId>> by_finish_;
  std::deque<Job> queue_;
  std::deque<Arrival> arrivals_;  // while cold, within the window
  double arrived_ = 0;
  double nearest_fall_ = 0;
  std::unordered_map<std::uint64_t, int> times_run_;
  std::vector<NodeRan> ran_;
  std::optional<NodeFell> fell_;
};

}  // namespace curlewdoor::standin
