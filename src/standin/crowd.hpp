// Stand-in clients: customers on plans who ask, wait, give up and try again. Arrivals are open-loop: a
// request is due at its time whatever became of the ones before it, and its time counts from then. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "logic.hpp"
#include "standin/random.hpp"

namespace curlewdoor::standin {

enum class Demand { kCalm, kHeavy, kSpiky };

struct CrowdPlan {
  std::string name;
  int customers = 1;
  double rate = 0;  // the quota, units a second; 0: none
  double burst = 0;
  Demand demand = Demand::kCalm;
  double asks = 1;        // units a second that a customer asks for on average
  double spikes = 3;      // spiky: times that while a spike lasts
  int spread = 1;         // gateways of a customer's set
  double skew = 0;        // 0: evenly over its set; 1: all through the first of it
  double most_units = 1;  // units of a request: whole numbers from 1 to this, the smaller the likelier
};

// Mean units of a request: u units have the weight 1/u.
double MeanUnits(double most);

struct CrowdClass {
  std::string name;
  double share = 1;
  Duration aim{}, deadline{};
  double worth = 1, late_worth = 0;
  RepeatSafety repeat = RepeatSafety::kSafe;
};

struct CrowdHabits {
  double retry_share = 0.8;   // customers that try again
  double honour_share = 0.6;  // of these, that keep to a Retry-After
  int most_tries = 3;
  Duration backoff = std::chrono::milliseconds(60);
  Duration longest_retry_after = std::chrono::seconds(2);
};

struct Customer {
  std::uint64_t number = 0;  // below 2^33
  std::string name;          // 16 hex digits
  int plan = 0;
  int set_first = 0, set_size = 1;
};

struct Ask {
  std::uint64_t id = 0;     // of this try
  std::uint64_t first = 0;  // of the first try: the request that the client is about
  int customer = 0;
  int request_class = 0;
  int gateway = 0;
  int tries = 1;  // this one counted
  double units = 1;
  TimePoint due;         // of this try
  TimePoint asked_at;    // of the first try: service counts from here
  Duration patience{};   // of this try, from `due`
  bool in_quota = true;  // of the first try, by the plan's figures
};

enum class Ending { kServed, kRefused, kFailed, kBroken, kNotReached };

class Crowd {
 public:
  // `load`: how demand goes over the rehearsal, as a factor at each time since the start.
  using Shape = std::function<double(double seconds)>;
  Crowd(std::vector<CrowdPlan> plans, std::vector<CrowdClass> classes, CrowdHabits habits, int gateways,
        TimePoint start, Duration length, Shape shape, double most_shape, std::uint64_t seed);

  std::optional<TimePoint> NextDue() const;
  // Asks that are due by now, each once.
  void Advance(TimePoint now, std::vector<Ask>& out);
  // What became of a try. May bring a further one, later.
  void Ended(TimePoint now, const Ask& ask, Ending ending, Duration retry_after);

  // Demand is multiplied by this from now on; at most `most_shape` together with the shape.
  void SetBurst(double factor) { burst_ = factor; }
  // Names a gateway that does not answer: the front leaves it out until told otherwise.
  void SetDown(int gateway, bool down) { down_[static_cast<std::size_t>(gateway)] = down; }

  const std::vector<Customer>& customers() const { return customers_; }
  const std::vector<CrowdPlan>& plans() const { return plans_; }
  const std::vector<CrowdClass>& classes() const { return classes_; }

 private:
  struct Person {
    double per_s = 0;  // requests, on average
    bool retries = false, honours = false;
    TimePoint spike_changes;
    bool in_spike = false;
    double quota_left = 0;
    TimePoint quota_at;
    double skewed = 0;
    // Its own, so that what it asks does not hang on what became of other requests.
    Random random;
  };
  struct Waiting {
    TimePoint due;
    std::uint64_t order = 0;
    int customer = 0;
    std::optional<Ask> again;  // a further try; else a new request
    bool operator<(const Waiting& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  double PaceOf(int customer, TimePoint now);
  void PlanNext(int customer, TimePoint after);
  int GatewayFor(int customer, Random& random);
  bool TakeQuota(int customer, TimePoint now, double units);
  void AskNew(TimePoint due, int customer, std::vector<Ask>& out);

  const std::vector<CrowdPlan> plans_;
  const std::vector<CrowdClass> classes_;
  const CrowdHabits habits_;
  const int gateways_;
  const TimePoint start_, end_;
  const Shape shape_;
  const double most_shape_;
  Random random_;  // of further tries
  std::discrete_distribution<int> draw_class_;
  std::vector<Customer> customers_;
  std::vector<Person> persons_;
  std::vector<char> down_;
  std::priority_queue<Waiting> waiting_;
  double burst_ = 1;
  std::uint64_t next_id_ = 1, order_ = 0;
};

}  // namespace curlewdoor::standin
