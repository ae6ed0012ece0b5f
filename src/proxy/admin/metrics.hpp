// The metrics of one gateway process, for operators: counters and latency histograms, which start at 0 with
// the process. Memory is bounded: four histograms of 9 KB for each traffic class.
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

  // Counts the response to a request of the class. `complete` is whether the last byte of the response was
  // written. An incomplete response counts as an error, regardless of its status.
  void RecordResponse(const std::string& class_name, unsigned status, bool complete = true);
  // Counts an attempt whose last byte was written to an endpoint.
  void RecordAttempt() { ++attempts_; }

  // The intervals of a request that are measured.
  enum class Interval {
    kFirstAttempt,  // from the end of the request to its first attempt
    kQueued,        // for a queued request: from its end to its first attempt or its rejection
    kUpstream,      // from sending an attempt to the response of the endpoint
    kTotal,         // from the end of the request to its response
  };
  void RecordDuration(const std::string& class_name, Interval interval, Millis duration);

  // Returns one line of JSON without its line feed: the counters, and the gauges that the caller passes.
  std::string ToJson(std::size_t active_requests, std::size_t endpoints, std::size_t ejected_endpoints) const;

  // A gauge or counter that the caller of ToPrometheus() provides.
  struct Sample {
    const char* name;  // without the common prefix
    const char* type;  // gauge or counter
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
  std::map<std::string, ClassMetrics> classes_;  // has every class of the settings from the start
  std::uint64_t attempts_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_METRICS_HPP_
