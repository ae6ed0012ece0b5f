#include "registry/service_report.hpp"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>

namespace gateway::registry {
namespace {

using nlohmann::json;

constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerSecond = 1e6;

std::map<std::string, int> CountPhases(const Catalog& catalog) {
  std::map<std::string, int> phases{{"up", 0}, {"draining", 0}, {"suspect", 0}};
  for (const auto& [id, member] : catalog.members()) ++phases[member.suspect ? "suspect" : member.phase()];
  return phases;
}

json HoldsOf(const ServiceView& view) {
  json holds = json::array();
  for (const Leases::Hold& hold : view.leases.holds()) {
    holds.push_back({{"zone", hold.zone},
                     {"lapsed", hold.lapsed},
                     {"of", hold.of},
                     {"for_s", (view.now - hold.since) / kMillisPerSecond}});
  }
  return holds;
}

// A text of metrics in Prometheus' exposition format.
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

void WriteState(const ServiceView& view, MetricsWriter& metrics) {
  const Catalog& catalog = view.store.catalog();
  metrics.Gauge("revision", "Newest revision", catalog.revision());
  metrics.Gauge("oldest_revision", "Oldest that a watch can go on from", catalog.oldest());
  metrics.Gauge("members", "Members listed", catalog.members().size());
  metrics.Gauge("leases_overdue", "Members whose lease has lapsed", view.leases.overdue(view.now));
  metrics.Gauge("holds", "Zones (or all) in which removals are held", view.leases.holds().size());
  metrics.Counter("absences_total", "Times that this service was stopped or starved", view.leases.absences());
  metrics.Gauge("watches", "Watches that wait", view.watches);
  metrics.Gauge("connections", "Connections", view.connections);
  metrics.Gauge("storage_ok", "0 while the disk takes no writes", view.store.storage_error().empty() ? 1 : 0);
}

void WriteCounts(const ServiceView& view, MetricsWriter& metrics) {
  metrics.Counter("calls_total", "Requests", view.counts.all.requests);
  metrics.Counter("renewals_total", "Renewals", view.counts.renewals);
  metrics.Counter("writes_total", "Commands kept", view.store.writes());
  metrics.Counter("syncs_total", "Syncs of the log", view.store.syncs());
  metrics.Counter("whole_lists_total", "Whole lists told", view.counts.whole_lists);
  metrics.Counter("list_calls_total", "Requests for the list, watches among them", view.counts.list.requests);
  metrics.Counter("bytes_received_total", "Bytes of requests", view.counts.all.bytes_in);
  metrics.Counter("bytes_sent_total", "Bytes of answers begun", view.counts.all.bytes_out);
  metrics.Counter("list_bytes_received_total", "The same, of requests for the list",
                  view.counts.list.bytes_in);
  metrics.Counter("list_bytes_sent_total", "The same, of answers to them", view.counts.list.bytes_out);
  metrics.Counter("encoded_total", "Bodies encoded", view.counts.encoded);
  metrics.Counter("turned_away_total", "Callers told to come back", view.counts.turned_away);
  metrics.Counter("cut_off_total", "Readers that were too slow", view.counts.cut_off);
}

void WriteCommitTimes(const base::Histogram& times_us, MetricsWriter& metrics) {
  const auto seconds = [&](double quantile) {
    return static_cast<double>(times_us.Quantile(quantile)) / kMicrosPerSecond;
  };
  metrics.Gauge("sync_seconds_p50", "Median of a batch on its way to the disk", seconds(0.5));
  metrics.Gauge("sync_seconds_p99", "99th percentile of the same", seconds(0.99));
}

}  // namespace

std::string StatusText(const ServiceView& view) {
  const Catalog& catalog = view.store.catalog();
  const std::string& storage_error = view.store.storage_error();
  return json{{"epoch", catalog.epoch()},
              {"revision", catalog.revision()},
              {"oldest", catalog.oldest()},
              {"members", CountPhases(catalog)},
              {"leases", view.leases.count()},
              {"overdue", view.leases.overdue(view.now)},
              {"holds", HoldsOf(view)},
              {"watches", view.watches},
              {"connections", view.connections},
              {"storage", storage_error.empty() ? "ok" : storage_error},
              {"log_bytes", view.store.log_bytes()},
              {"up_s", (view.now - view.started) / kMillisPerSecond}}
      .dump();
}

std::string MetricsText(const ServiceView& view) {
  MetricsWriter metrics;
  WriteState(view, metrics);
  WriteCounts(view, metrics);
  WriteCommitTimes(view.store.commit_time_us(), metrics);
  return metrics.Take();
}

}  // namespace gateway::registry
