// What operators read: counters and histograms, raised where the thing happens. Each process counts from 0.
// Bounded memory: four histograms of 9 KB a class.
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

  // A request of the class has ended with an answer of this status, whose last byte was written; a broken one
  // has failed whatever its status.
  void Answered(const std::string& class_name, unsigned status, bool whole = true);
  // An attempt's last byte was written to a host.
  void Tried() { ++tries_; }

  // Spans of a request of the class, in ms.
  enum class Span { kFirstAttempt, kQueued, kAtHost, kAll };
  void Took(const std::string& class_name, Span span, Millis time);

  // One line of JSON. What is no counter is handed in: requests under way, hosts listed, hosts avoided.
  std::string ToJson(std::size_t active, std::size_t pool_size, std::size_t pool_ejected) const;

  // All of it in Prometheus' text form (version 0.0.4), lines ended. More gauges and counters are handed in
  // by name.
  struct Sample {
    const char* name;
    const char* type;  // gauge or counter
    const char* help;
    double value;
  };
  std::string ToPrometheus(const std::vector<Sample>& samples) const;

 private:
  static constexpr std::size_t kSpans = 4;
  struct Counts {
    std::uint64_t ok = 0, shed = 0, errors = 0;
    std::array<base::Histogram, kSpans> spans;  // microseconds
  };
  std::map<std::string, Counts> classes_;  // every class of the settings, from the start
  std::uint64_t tries_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_ADMIN_METRICS_HPP_
