// What is learned of the traffic itself: the latency of each class and the rate of arriving requests.
#ifndef GATEWAY_POLICY_TRAFFIC_STATISTICS_HPP_
#define GATEWAY_POLICY_TRAFFIC_STATISTICS_HPP_

#include <cstddef>
#include <vector>

#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/rate_estimator.hpp"

namespace gateway::policy {

class TrafficStatistics {
 public:
  explicit TrafficStatistics(const std::vector<TrafficClassSettings>& classes);

  void Advance(Millis passed);

  // Records the arrival of a request and returns how long its client has waited in earlier tries: 0 for a
  // first try, which is recognised by having nearly the longest time left of its class.
  Millis RecordArrival(std::size_t class_index, Millis time_left);

  // Records the latency of a served attempt.
  void RecordLatency(std::size_t class_index, Millis latency);

  // Smoothed; 0 until one was recorded.
  double ClassLatency(std::size_t class_index) const { return classes_[class_index].latency; }
  double MeanLatency() const { return mean_latency_; }

  // Latency of the class over the mean of all; 1 until both are known.
  double RelativeLatency(std::size_t class_index) const;

  // First tries that arrive per ms.
  double ArrivalsPerMs() const { return arrivals_.Rate(); }

  // Requests being served at a time, by Little's law.
  double MeanConcurrency() const { return ArrivalsPerMs() * mean_latency_; }

  void Export(LearnedState& state) const;
  void Import(const LearnedState& state);

 private:
  struct Class : LearnedState::TrafficClass {
    Millis deadline = 0;
  };
  std::vector<Class> classes_;
  double mean_latency_ = 0;  // over all classes
  int samples_ = 0;
  RateEstimator arrivals_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TRAFFIC_STATISTICS_HPP_
