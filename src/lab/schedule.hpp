// The schedule of arrivals, which depends only on the experiment and the seed, not on the responses.
#ifndef GATEWAY_LAB_SCHEDULE_HPP_
#define GATEWAY_LAB_SCHEDULE_HPP_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace gateway::lab {

// The arrival of one request, before any retries.
struct Arrival {
  std::uint64_t number = 0;  // from 0
  Millis at = 0;             // from the start of the traffic
  int class_index = 0;       // in Experiment::classes
  int tenant = 0;            // index in Schedule::tenants()
  int zone = 0;              // index in Fleet::zones
  double gateway_draw = 0;   // uniform from 0 to 1; selects the gateway in the zone
  Millis work = 0;           // CPU time on a core of speed 1

  std::string ToText() const;
};

// An open-loop schedule that needs constant memory. It uses the random engine and distributions of Boost,
// because they give the same numbers with every compiler. The distributions of the standard library do not.
class Schedule {
 public:
  // `experiment` must outlive the schedule.
  Schedule(const Experiment& experiment, std::uint64_t seed);

  // Returns the next arrival in order of time; empty after the last arrival.
  std::optional<Arrival> Next();

  const std::vector<std::string>& tenants() const { return tenants_; }

 private:
  double RateAt(Millis time) const;
  Millis NextRateChange() const;
  bool AdvanceToNextArrival();
  Arrival DrawArrival();
  void DrawNextRateSwitch();
  double Uniform();

  const Experiment& experiment_;
  boost::random::mt19937_64 arrival_random_;
  boost::random::mt19937_64 detail_random_;
  std::vector<std::string> tenants_;
  std::vector<double> tenant_shares_;
  std::vector<double> class_shares_;
  std::uint64_t next_number_ = 0;
  Millis now_ = 0;
  bool at_high_rate_ = false;
  Millis next_rate_switch_at_ = 0;
};

// Returns one line for the start of each fault and one line for its end, in order of time. A fault without a
// duration has no line for its end.
std::vector<std::string> FaultTimeline(const Experiment& experiment);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCHEDULE_HPP_
