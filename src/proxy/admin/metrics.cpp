#include "proxy/admin/metrics.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

constexpr std::uint64_t kBucketBoundsMicros[] = {1000,   2500,   5000,   10000,   25000,   50000,
                                                 100000, 250000, 500000, 1000000, 2500000, 5000000};
constexpr double kMicrosPerMilli = 1000;
constexpr double kMicrosPerSecond = 1e6;

struct IntervalDescription {
  const char* name;
  const char* help;
};
// The index of an element is its Metrics::Interval.
constexpr IntervalDescription kIntervalDescriptions[] = {
    {"first_attempt", "Time from the last byte of a request to its first attempt"},
    {"queued", "Time from the last byte of a queued request to its first attempt or its rejection"},
    {"at_host", "Time from sending an attempt to the response of the host"},
    {"request", "Time from the last byte of a request to its response"}};

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}

// Returns the label value, quoted and escaped for the Prometheus text format.
std::string QuoteLabelValue(std::string_view value) {
  std::string text = "\"";
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') text += '\\';
    text += c;
  }
  return text + '"';
}

void AppendMetricHeader(std::string& text, const std::string& name, const char* type, const char* help) {
  text += "# HELP " + name + ' ' + help + "\n# TYPE " + name + ' ' + type + '\n';
}

}  // namespace

Metrics::Metrics(const policy::Settings& settings) {
  for (const policy::TrafficClassSettings& traffic_class : settings.classes) classes_[traffic_class.name];
}

void Metrics::RecordResponse(const std::string& class_name, unsigned status, bool complete) {
  const auto found = classes_.find(class_name);
  if (found == classes_.end()) return;
  ClassMetrics& metrics = found->second;
  ++(!complete                        ? metrics.errors
     : status == 200                  ? metrics.ok
     : status == 429 || status == 503 ? metrics.shed
                                      : metrics.errors);
}

std::string Metrics::ToJson(std::size_t active_requests, std::size_t endpoints,
                            std::size_t ejected_endpoints) const {
  nlohmann::ordered_json json;
  nlohmann::ordered_json& responses = json["responses"] = nlohmann::ordered_json::object();
  for (const auto& [name, metrics] : classes_) {
    responses[name] = {{"ok", metrics.ok}, {"shed", metrics.shed}, {"errors", metrics.errors}};
  }
  json["tries"] = attempts_;
  json["active"] = active_requests;
  json["pool_size"] = endpoints;
  json["pool_ejected"] = ejected_endpoints;
  return json.dump();
}

void Metrics::RecordDuration(const std::string& class_name, Interval interval, Millis duration) {
  const auto found = classes_.find(class_name);
  if (found == classes_.end()) return;
  found->second.intervals[static_cast<std::size_t>(interval)].Add(
      static_cast<std::uint64_t>(std::max(0.0, duration * kMicrosPerMilli)));
}

std::string Metrics::ToPrometheus(const std::vector<Sample>& samples) const {
  std::string text;
  const std::string responses = "elderhead_responses_total";
  AppendMetricHeader(text, responses, "counter", "Responses written to clients, by class and result");
  for (const auto& [name, metrics] : classes_) {
    for (const auto& [result, count] :
         {std::pair{"served", metrics.ok}, {"refused", metrics.shed}, {"failed", metrics.errors}}) {
      text += responses + "{class=" + QuoteLabelValue(name) + ",result=\"" + result + "\"} " +
              std::to_string(count) + '\n';
    }
  }
  AppendMetricHeader(text, "elderhead_attempts_total", "counter", "Attempts written completely to hosts");
  text += "elderhead_attempts_total " + std::to_string(attempts_) + '\n';
  for (const Sample& sample : samples) {
    const std::string name = std::string("elderhead_") + sample.name;
    AppendMetricHeader(text, name, sample.type, sample.help);
    text += name + ' ' + FormatNumber(sample.value) + '\n';
  }
  for (std::size_t interval = 0; interval < kIntervals; ++interval) {
    const std::string name = std::string("elderhead_") + kIntervalDescriptions[interval].name + "_seconds";
    AppendMetricHeader(text, name, "histogram", kIntervalDescriptions[interval].help);
    for (const auto& [class_name, metrics] : classes_) {
      const auto& histogram = metrics.intervals[interval];
      const std::string label = "{class=" + QuoteLabelValue(class_name);
      for (const std::uint64_t bound : kBucketBoundsMicros) {
        text += name + "_bucket" + label + ",le=\"" +
                FormatNumber(static_cast<double>(bound) / kMicrosPerSecond) + "\"} " +
                std::to_string(histogram.CountAtMost(bound)) + '\n';
      }
      text += name + "_bucket" + label + ",le=\"+Inf\"} " + std::to_string(histogram.count()) + '\n';
      text += name + "_sum" + label + "} " + FormatNumber(histogram.sum() / kMicrosPerSecond) + '\n';
      text += name + "_count" + label + "} " + std::to_string(histogram.count()) + '\n';
    }
  }
  return text;
}

}  // namespace gateway::proxy
