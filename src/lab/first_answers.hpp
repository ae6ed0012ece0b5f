// Measures the time from a fault at gateways to the first response to a request that was sent to one of these
// gateways after the fault.
#ifndef GATEWAY_LAB_FIRST_ANSWERS_HPP_
#define GATEWAY_LAB_FIRST_ANSWERS_HPP_

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/results.hpp"

namespace gateway::lab {

// Has no I/O and no clock. `experiment` must outlive this object.
class FirstAnswers {
 public:
  explicit FirstAnswers(const Experiment& experiment) : experiment_(experiment) {}

  // Sets the start of the traffic. The times of faults count from this start.
  void Begin(Millis start) {
    start_ = start;
    first_response_delays_.assign(experiment_.faults.size(), -1);
  }

  // Called when a gateway has served a request that was sent at `sent_at`.
  void OnServed(Millis now, int gateway, Millis sent_at) {
    for (std::size_t i = 0; i < first_response_delays_.size(); ++i) {
      const Fault& fault = experiment_.faults[i];
      const bool affects_gateway = std::ranges::find(fault.gateways, gateway) != fault.gateways.end();
      if (first_response_delays_[i] >= 0 || !affects_gateway || sent_at < start_ + fault.at) continue;
      first_response_delays_[i] = now - start_ - fault.at;
    }
  }

  void WriteTo(RunResult& run) const {
    for (std::size_t i = 0; i < first_response_delays_.size(); ++i) {
      const Millis delay = first_response_delays_[i];
      if (delay >= 0) run.figures[fmt::format("first_answer_ms/{}", i + 1)] = delay;
    }
  }

 private:
  const Experiment& experiment_;
  Millis start_ = 0;
  std::vector<Millis> first_response_delays_;  // by fault; negative: no response yet
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FIRST_ANSWERS_HPP_
