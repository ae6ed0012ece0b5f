// The schedule of arrivals: fixed by the experiment and the seed, whatever the answers are.
#ifndef GATEWAY_LAB_SCHEDULE_HPP_
#define GATEWAY_LAB_SCHEDULE_HPP_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace gateway::lab {

// One request.
struct Arrival {
  std::uint64_t number = 0;  // from 0
  Millis at = 0;             // from the start of arrivals
  int class_index = 0;
  int tenant = 0;
  int zone = 0;
  double gateway_draw = 0;  // uniform from 0 to 1: which gateway of the zone gets it
  Millis work = 0;          // of a core of speed 1

  std::string ToText() const;
};

// An open-loop schedule in constant memory. The engine and the distributions are those of Boost, which give
// the same numbers with every compiler; the standard library's distributions do not.
class Schedule {
 public:
  // `experiment` outlives the schedule.
  Schedule(const Experiment& experiment, std::uint64_t seed);

  // The next arrival in the order of time; nothing after the last.
  std::optional<Arrival> Next();

  const std::vector<std::string>& tenants() const { return tenants_; }

 private:
  double RateAt(Millis time) const;
  Millis NextRateChange() const;
  bool AdvanceToNextArrival();
  Arrival DrawArrival();
  void DrawBurstChange();
  double Uniform();

  const Experiment& experiment_;
  boost::random::mt19937_64 arrival_random_;
  boost::random::mt19937_64 detail_random_;
  std::vector<std::string> tenants_;
  std::vector<double> tenant_shares_;
  std::vector<double> class_shares_;
  std::uint64_t number_ = 0;
  Millis now_ = 0;
  bool burst_on_ = false;
  Millis burst_changes_at_ = 0;
};

// A line for the start and one for the end of each fault, in the order of time.
std::vector<std::string> FaultTimeline(const Experiment& experiment);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCHEDULE_HPP_
