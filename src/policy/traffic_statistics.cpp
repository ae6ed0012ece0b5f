#include "policy/traffic_statistics.hpp"

#include <algorithm>

namespace gateway::policy {
namespace {

constexpr double kMinimumLatencySampleWeight = 0.01;  // weight of a sample in a smoothed latency
// A request counts as a client's retry if its time left is less than this share of the longest time left that
// was observed in its class.
constexpr double kFirstTryTimeLeftShare = 0.95;
constexpr Millis kArrivalTimeConstantMs = 10000;

}  // namespace

TrafficStatistics::TrafficStatistics(const std::vector<TrafficClassSettings>& classes) {
  for (const TrafficClassSettings& settings : classes) {
    Class& added = classes_.emplace_back();
    added.name = settings.name;
    added.deadline = settings.deadline;
  }
}

void TrafficStatistics::Advance(Millis elapsed) { arrivals_.Advance(elapsed, kArrivalTimeConstantMs); }

Millis TrafficStatistics::RecordArrival(std::size_t class_index, Millis time_left) {
  Class& traffic_class = classes_[class_index];
  traffic_class.longest_time_left = std::max(traffic_class.longest_time_left, time_left);
  const bool is_retry = time_left < kFirstTryTimeLeftShare * traffic_class.longest_time_left;
  const Millis client_waited = is_retry ? std::max(0.0, traffic_class.deadline - time_left) : 0;
  if (client_waited <= 0) arrivals_.Add(1 / kArrivalTimeConstantMs);
  return client_waited;
}

void TrafficStatistics::RecordLatency(std::size_t class_index, Millis latency) {
  Class& traffic_class = classes_[class_index];
  const double class_weight = std::max(kMinimumLatencySampleWeight, 1.0 / ++traffic_class.samples);
  traffic_class.latency += class_weight * (latency - traffic_class.latency);
  const double mean_weight = std::max(kMinimumLatencySampleWeight, 1.0 / ++samples_);
  mean_latency_ += mean_weight * (latency - mean_latency_);
}

double TrafficStatistics::RelativeLatency(std::size_t class_index) const {
  const double latency = classes_[class_index].latency;
  return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
}

void TrafficStatistics::Export(LearnedState& state) const {
  state.mean_latency = mean_latency_;
  state.samples = samples_;
  for (const Class& traffic_class : classes_) state.classes.push_back(traffic_class);
}

void TrafficStatistics::Import(const LearnedState& state) {
  mean_latency_ = state.mean_latency;
  samples_ = state.samples;
  for (const LearnedState::TrafficClass& learned : state.classes) {
    const auto same_name = [&learned](const Class& traffic_class) {
      return traffic_class.name == learned.name;
    };
    const auto found = std::find_if(classes_.rbegin(), classes_.rend(), same_name);
    if (found != classes_.rend()) static_cast<LearnedState::TrafficClass&>(*found) = learned;
  }
}

}  // namespace gateway::policy
