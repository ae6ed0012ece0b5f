#include "lab/figures.hpp"

#include <algorithm>

namespace gateway::lab {
namespace {

const std::vector<std::string> kRuleFigures{"ran_twice",  "attempts_over", "unknown",
                                            "late_sends", "cold_falls",    "forged",
                                            "lost",       "crashed",       "peer_too_long"};

const std::vector<std::string> kMeasuredFigures{"requests",
                                                "goodput",
                                                "in_aim",
                                                "late",
                                                "served",
                                                "refused",
                                                "failed",
                                                "mean_ms",
                                                "p50_ms",
                                                "p90_ms",
                                                "p99_ms",
                                                "p999_ms",
                                                "recovery_s",
                                                "missed_in_aim",
                                                "first_answer_ms",
                                                "attempts_per_request",
                                                "turned_away",
                                                "host_connections",
                                                "list_calls",
                                                "list_lag_ms",
                                                "unheard",
                                                "excused",
                                                "peer_datagrams",
                                                "unplaced",
                                                "client_tries",
                                                "cpu_us_per_request",
                                                "core_requests_per_s",
                                                "rss_mb",
                                                "lateness_p50_ms",
                                                "lateness_p99_ms",
                                                "lateness_max_ms",
                                                "lab_cpu_us_per_request"};

std::vector<std::string> Concatenate(std::vector<std::string> first, const std::vector<std::string>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

}  // namespace

const std::vector<std::string>& RuleFigureNames() { return kRuleFigures; }

const std::vector<std::string>& FigureNames() {
  static const std::vector<std::string> names = Concatenate(kRuleFigures, kMeasuredFigures);
  return names;
}

std::string FigureBaseName(const std::string& name) { return name.substr(0, name.find('/')); }

bool IsFigure(const std::string& name) {
  const std::vector<std::string>& names = FigureNames();
  return std::find(names.begin(), names.end(), FigureBaseName(name)) != names.end();
}

}  // namespace gateway::lab
