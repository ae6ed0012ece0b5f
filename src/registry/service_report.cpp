#include "registry/service_report.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace gateway::registry {
namespace {

using nlohmann::json;

constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerSecond = 1e6;

json CountPhases(const Catalog& catalog) {
  int up = 0;
  int draining = 0;
  int suspect = 0;
  for (const auto& [id, member] : catalog.members()) {
    if (member.suspect) {
      ++suspect;
    } else if (member.phase() == MemberPhase::kDraining) {
      ++draining;
    } else {
      ++up;
    }
  }
  return {{"up", up}, {"draining", draining}, {"suspect", suspect}};
}

json EncodeSelfPreservation(const ServiceView& view) {
  json zones = json::array();
  for (const SelfPreservation::ActiveZone& active : view.leases.zones_in_self_preservation()) {
    zones.push_back({{"zone", active.zone},
                     {"lapsed", active.leases.expired},
                     {"of", active.leases.total},
                     {"for_s", (view.now - active.since) / kMillisPerSecond}});
  }
  return zones;
}

// Writes metrics in the Prometheus text exposition format.
class MetricsWriter {
 public:
  template <typename Value>
  void Gauge(const char* name, const char* help, Value value) {
    Add(name, "gauge", help, value);
  }
  template <typename Value>
  void Counter(const char* name, const char* help, Value value) {
    Add(name, "counter", help, value);
  }
  std::string Take() { return std::move(text_); }

 private:
  template <typename Value>
  void Add(const char* name, const char* type, const char* help, Value value) {
    text_ += fmt::format(
        "# HELP elderhead_registry_{0} {2}\n# TYPE elderhead_registry_{0} {1}\nelderhead_registry_{0} {3}\n",
        name, type, help, value);
  }

  std::string text_;
};

void AddStateMetrics(const ServiceView& view, MetricsWriter& metrics) {
  const Catalog& catalog = view.durable_catalog.catalog();
  metrics.Gauge("revision", "Newest revision of the list", catalog.revision());
  metrics.Gauge("oldest_revision", "Oldest revision that a watch can continue from",
                catalog.oldest_revision());
  metrics.Gauge("members", "Listed members", catalog.members().size());
  metrics.Gauge("leases_overdue", "Members whose lease has expired",
                view.leases.CountExpiredLeases(view.now));
  metrics.Gauge("holds", "Scopes in which removals are suspended; a scope is one zone or all zones together",
                view.leases.zones_in_self_preservation().size());
  metrics.Counter("absences_total", "Number of times that this service was suspended or starved of CPU",
                  view.leases.pauses());
  metrics.Gauge("watches", "Pending watches", view.watches);
  metrics.Gauge("connections", "Open connections", view.connections);
  metrics.Gauge("storage_ok", "1 if the storage accepts writes, otherwise 0",
                view.durable_catalog.storage_error().empty() ? 1 : 0);
}

void AddTotals(const ServiceView& view, MetricsWriter& metrics) {
  metrics.Counter("calls_total", "Requests received", view.totals.all.requests);
  metrics.Counter("renewals_total", "Lease renewals received", view.totals.renewals);
  metrics.Counter("writes_total", "Commands written to the log", view.durable_catalog.commands_written());
  metrics.Counter("syncs_total", "Batches written to the log, each with one sync",
                  view.durable_catalog.batches_written());
  metrics.Counter("whole_lists_total", "Full lists sent", view.totals.full_lists);
  metrics.Counter("list_calls_total", "Requests for the list, including watches", view.totals.list.requests);
  metrics.Counter("bytes_received_total", "Bytes of requests received", view.totals.all.bytes_received);
  metrics.Counter("bytes_sent_total", "Bytes of responses; each response is counted when its sending begins",
                  view.totals.all.bytes_sent);
  metrics.Counter("list_bytes_received_total", "Bytes of requests for the list",
                  view.totals.list.bytes_received);
  metrics.Counter(
      "list_bytes_sent_total",
      "Bytes of responses to requests for the list; each response is counted when its sending begins",
      view.totals.list.bytes_sent);
  metrics.Counter("encoded_total", "Encoded response bodies that contain a full list or a delta",
                  view.totals.encoded_bodies);
  metrics.Counter("turned_away_total", "Requests and connections rejected by admission control",
                  view.totals.rejected);
  metrics.Counter("cut_off_total", "Connections closed because the client read too slowly",
                  view.totals.slow_readers_closed);
}

void AddCommitTimes(const base::Histogram& times_us, MetricsWriter& metrics) {
  const auto seconds = [&](double quantile) {
    return static_cast<double>(times_us.Quantile(quantile)) / kMicrosPerSecond;
  };
  metrics.Gauge("sync_seconds_p50", "Median time to write a batch to the log, in seconds", seconds(0.5));
  metrics.Gauge("sync_seconds_p99", "99th percentile of the time to write a batch to the log, in seconds",
                seconds(0.99));
}

}  // namespace

std::string StatusReport(const ServiceView& view) {
  const Catalog& catalog = view.durable_catalog.catalog();
  const std::string& storage_error = view.durable_catalog.storage_error();
  return json{{"epoch", catalog.epoch()},
              {"revision", catalog.revision()},
              {"oldest", catalog.oldest_revision()},
              {"members", CountPhases(catalog)},
              {"leases", view.leases.size()},
              {"overdue", view.leases.CountExpiredLeases(view.now)},
              {"holds", EncodeSelfPreservation(view)},
              {"watches", view.watches},
              {"connections", view.connections},
              {"storage", storage_error.empty() ? "ok" : storage_error},
              {"log_bytes", view.durable_catalog.log_bytes()},
              {"up_s", (view.now - view.start_time) / kMillisPerSecond}}
      .dump();
}

std::string MetricsReport(const ServiceView& view) {
  MetricsWriter metrics;
  AddStateMetrics(view, metrics);
  AddTotals(view, metrics);
  AddCommitTimes(view.durable_catalog.commit_time_us(), metrics);
  return metrics.Take();
}

}  // namespace gateway::registry
