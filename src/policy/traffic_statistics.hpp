// Traffic statistics: the latency of each class and the rate of arriving requests.
#ifndef GATEWAY_POLICY_TRAFFIC_STATISTICS_HPP_
#define GATEWAY_POLICY_TRAFFIC_STATISTICS_HPP_

#include <cstddef>
#include <vector>

#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/rate_estimator.hpp"

namespace gateway::policy {

// Estimates the latencies of served attempts and the arrival rate of requests.
class TrafficStatistics {
 public:
  explicit TrafficStatistics(const std::vector<TrafficClassSettings>& classes);

  // Decays the arrival rate by the elapsed time.
  void Advance(Millis elapsed);

  // Records the arrival of a request. Returns how long the client has already waited in earlier tries, or 0
  // for a first try. A request counts as a first try if its `time_left` is close to the longest observed
  // value of the class.
  Millis RecordArrival(std::size_t class_index, Millis time_left);

  // Records the latency of a served attempt.
  void RecordLatency(std::size_t class_index, Millis latency);

  // Return smoothed latencies in ms; 0 until a latency is recorded.
  double ClassLatency(std::size_t class_index) const { return classes_[class_index].latency; }
  double MeanLatency() const { return mean_latency_; }

  // Returns the latency of the class divided by the mean latency of all classes, or 1 until both latencies
  // are known.
  double RelativeLatency(std::size_t class_index) const;

  // Returns the rate of arriving first tries per ms.
  double ArrivalsPerMs() const { return arrivals_.Rate(); }

  // Returns the mean number of concurrent requests, by Little's law.
  double MeanConcurrency() const { return ArrivalsPerMs() * mean_latency_; }

  void Export(LearnedState& state) const;
  void Import(const LearnedState& state);

 private:
  struct Class : LearnedState::TrafficClass {
    Millis deadline = 0;
  };
  std::vector<Class> classes_;
  double mean_latency_ = 0;  // ms, over all classes
  int samples_ = 0;
  RateEstimator arrivals_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TRAFFIC_STATISTICS_HPP_
