// When which request arrives: fixed by the experiment and the seed, whatever the answers do.
#ifndef GATEWAY_LAB_SCHEDULE_HPP_
#define GATEWAY_LAB_SCHEDULE_HPP_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace gateway::lab {

struct Arrival {
  std::uint64_t number = 0;
  Millis at = 0;  // from the start of the play
  int class_index = 0;
  int tenant = 0;
  int zone = 0;
  double gateway_draw = 0;  // 0 to 1: which gateway of the zone the front picks
  Millis work = 0;
  std::string ToText() const;
};

// Open loop: draws one arrival after the other, in constant memory. Boost.Random's engine and distributions
// give the same numbers with every compiler and library, which the standard ones don't promise.
class Schedule {
 public:
  Schedule(const Experiment& experiment, std::uint64_t seed);

  std::optional<Arrival> Next();  // in order of time; nothing after the last

  const std::vector<std::string>& tenants() const { return tenants_; }

 private:
  double RateAt(Millis time) const;
  void Dwell();
  double Uniform();

  const Experiment& experiment_;
  boost::random::mt19937_64 arrivals_, details_;
  std::vector<std::string> tenants_;
  std::vector<double> tenant_shares_, class_shares_;
  std::uint64_t number_ = 0;
  Millis now_ = 0;
  bool high_ = false;
  Millis changes_at_ = 0;
};

// One line a fault, start and end: what happens when, fixed by the experiment.
std::vector<std::string> FaultTimeline(const Experiment& experiment);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCHEDULE_HPP_
