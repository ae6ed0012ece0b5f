// The metrics of a gateway process: counters and latency histograms, which are 0 at the start of the process.
// Each traffic class uses four histograms of 9 KB.
#ifndef GATEWAY_PROXY_ADMIN_METRICS_HPP_
#define GATEWAY_PROXY_ADMIN_METRICS_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/histogram.hpp"
#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

class Metrics {
 public:
  explicit Metrics(const policy::Settings& settings);

  // Counts the response to a request of the class. `complete` states whether the last byte of the response
  // was written. An incomplete response counts as an error, regardless of its status.
  void RecordResponse(const std::string& class_name, unsigned status, bool complete = true);
  // Counts an attempt. To be called when its last byte was written to an endpoint.
  void RecordAttempt() { ++attempts_; }

  // The measured time intervals of a request.
  enum class Interval {
    kFirstAttempt,  // from the last byte of the request to its first attempt
    kQueued,        // queued requests only: from the last byte to the first attempt or the rejection
    kUpstream,      // from sending an attempt to the response of the endpoint
    kTotal,         // from the last byte of the request to its response
  };
  void RecordDuration(const std::string& class_name, Interval interval, Millis duration);

  // Returns the counters and the passed gauges as one line of JSON, without a line feed.
  std::string ToJson(std::size_t active_requests, std::size_t endpoints, std::size_t ejected_endpoints) const;

  // A gauge or counter that the caller of ToPrometheus() provides.
  struct Sample {
    const char* name;  // without the prefix "elderhead_"
    const char* type;  // "gauge" or "counter"
    const char* help;
    double value;
  };
  // Returns all metrics and `samples` in the Prometheus text format, version 0.0.4.
  std::string ToPrometheus(const std::vector<Sample>& samples) const;

 private:
  static constexpr std::size_t kIntervals = 4;
  struct ClassMetrics {
    std::uint64_t ok = 0, shed = 0, errors = 0;
    std::array<base::Histogram, kIntervals> intervals;  // durations in microseconds
  };
  std::map<std::string, ClassMetrics> classes_;  // contains every class of the settings from the start
  std::uint64_t attempts_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_METRICS_HPP_
