#include "proxy/admin/metrics.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

constexpr std::uint64_t kBounds[] = {1000,   2500,   5000,   10000,   25000,   50000,
                                     100000, 250000, 500000, 1000000, 2500000, 5000000};  // microseconds

struct SpanName {
  const char* name;
  const char* help;
};
constexpr SpanName kSpanNames[] = {
    {"first_attempt", "From a request's last byte to its first attempt"},
    {"queued", "Held by the decisions until its first attempt or its refusal, of those not sent at once"},
    {"at_host", "From an attempt's sending to a host's answer"},
    {"request", "From a request's last byte to its answer"}};

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}

// A label's value, with what the form wants escaped.
std::string Quoted(std::string_view value) {
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

void Head(std::string& text, const std::string& name, const char* type, const char* help) {
  text += "# HELP " + name + ' ' + help + "\n# TYPE " + name + ' ' + type + '\n';
}

}  // namespace

Metrics::Metrics(const policy::Settings& settings) {
  for (const policy::TrafficClassSettings& c : settings.classes) classes_[c.name];
}

void Metrics::Answered(const std::string& class_name, unsigned status, bool whole) {
  const auto found = classes_.find(class_name);
  if (found == classes_.end()) return;
  Counts& counts = found->second;
  ++(!whole                           ? counts.errors
     : status == 200                  ? counts.ok
     : status == 429 || status == 503 ? counts.shed
                                      : counts.errors);
}

std::string Metrics::ToJson(std::size_t active, std::size_t pool_size, std::size_t pool_ejected) const {
  nlohmann::ordered_json all;
  nlohmann::ordered_json& responses = all["responses"] = nlohmann::ordered_json::object();
  for (const auto& [name, c] : classes_) {
    responses[name] = {{"ok", c.ok}, {"shed", c.shed}, {"errors", c.errors}};
  }
  all["tries"] = tries_;
  all["active"] = active;
  all["pool_size"] = pool_size;
  all["pool_ejected"] = pool_ejected;
  return all.dump();
}

void Metrics::Took(const std::string& class_name, Span span, Millis time) {
  const auto found = classes_.find(class_name);
  if (found == classes_.end()) return;
  found->second.spans[static_cast<std::size_t>(span)].Add(
      static_cast<std::uint64_t>(std::max(0.0, time * 1000)));
}

std::string Metrics::ToPrometheus(const std::vector<Sample>& samples) const {
  std::string text;
  const std::string responses = "elderhead_responses_total";
  Head(text, responses, "counter", "Answers written, by class and result");
  for (const auto& [name, c] : classes_) {
    for (const auto& [result, count] :
         {std::pair{"served", c.ok}, {"refused", c.shed}, {"failed", c.errors}}) {
      text += responses + "{class=" + Quoted(name) + ",result=\"" + result + "\"} " + std::to_string(count) +
              '\n';
    }
  }
  Head(text, "elderhead_attempts_total", "counter", "Attempts written whole to hosts");
  text += "elderhead_attempts_total " + std::to_string(tries_) + '\n';
  for (const Sample& sample : samples) {
    const std::string name = std::string("elderhead_") + sample.name;
    Head(text, name, sample.type, sample.help);
    text += name + ' ' + Number(sample.value) + '\n';
  }
  for (std::size_t span = 0; span < kSpans; ++span) {
    const std::string name = std::string("elderhead_") + kSpanNames[span].name + "_seconds";
    Head(text, name, "histogram", kSpanNames[span].help);
    for (const auto& [class_name, c] : classes_) {
      const auto& histogram = c.spans[span];
      const std::string label = "{class=" + Quoted(class_name);
      for (const std::uint64_t bound : kBounds) {
        text += name + "_bucket" + label + ",le=\"" + Number(static_cast<double>(bound) / 1e6) + "\"} " +
                std::to_string(histogram.CountAtMost(bound)) + '\n';
      }
      text += name + "_bucket" + label + ",le=\"+Inf\"} " + std::to_string(histogram.count()) + '\n';
      text += name + "_sum" + label + "} " + Number(histogram.sum() / 1e6) + '\n';
      text += name + "_count" + label + "} " + std::to_string(histogram.count()) + '\n';
    }
  }
  return text;
}

}  // namespace gateway::proxy
