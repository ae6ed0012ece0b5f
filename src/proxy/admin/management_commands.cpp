#include "proxy/admin/management_commands.hpp"

#include <vector>

#include "base/log.hpp"

namespace gateway::proxy {
namespace {

const char* const kEndOfText = "EOT\n";

double Number(std::size_t value) { return static_cast<double>(value); }
double Flag(bool value) { return value ? 1 : 0; }

std::vector<Metrics::Sample> ConnectionSamples(const GatewayStatus& status) {
  const UpstreamPool::Counts& counts = status.upstream_counts;
  return {
      {"client_connections", "gauge", "Connections from clients", Number(status.client_connections)},
      {"host_connections", "gauge", "Connections to hosts", Number(status.upstream_connections)},
      {"dials_total", "counter", "Connections dialled to hosts", Number(counts.dialled)},
      {"reuses_total", "counter", "Attempts on a connection that was open", Number(counts.reused)},
      {"stale_total", "counter", "Connections found closed when they were to be reused",
       Number(counts.stale)},
      {"resets_total", "counter", "Connections that broke under an attempt",
       Number(counts.reset_new + counts.reset_reused)},
      {"clients_left_total", "counter", "Clients that left unanswered", Number(status.disconnected_clients)},
  };
}

std::vector<Metrics::Sample> ListSamples(const GatewayStatus& status) {
  return {
      {"list_age_seconds", "gauge", "Since the list was last known to hold", status.list_age / 1000},
      {"list_old", "gauge", "1 while no list service has answered for too long", Flag(status.list_stale)},
      {"list_service", "gauge", "Which of the list services is watched, from 0", Number(status.list_service)},
      {"list_from_state", "gauge", "1 while the list in force is from the disk",
       Flag(status.list_from_state)},
  };
}

// In the order of the metrics page.
std::vector<Metrics::Sample> Samples(const GatewayStatus& status) {
  std::vector<Metrics::Sample> samples = {
      {"active_requests", "gauge", "Requests taken and not ended", Number(status.active_requests)},
      {"hosts_listed", "gauge", "Hosts in the list", Number(status.endpoints)},
      {"hosts_avoided", "gauge", "Listed hosts that get no more than trials",
       Number(status.ejected_endpoints)},
      {"list_revision", "gauge", "Revision of the list in force", static_cast<double>(status.list_revision)},
      {"ready", "gauge", "1 while this process takes clients", Flag(status.ready)},
  };
  for (const Metrics::Sample& sample : ConnectionSamples(status)) samples.push_back(sample);
  for (const Metrics::Sample& sample : ListSamples(status)) samples.push_back(sample);
  samples.push_back({"state_ok", "gauge", "0 once keeping state has failed", Flag(status.state_ok)});
  samples.push_back(
      {"state_writes_total", "counter", "States written to the disk", Number(status.state_writes)});
  return samples;
}

}  // namespace

std::string ManagementCommands::Run(const std::string& call) {
  if (call == "vars") return Vars();
  if (call == "metrics") return PrometheusMetrics();
  if (call == "check") return Check();
  if (call == "drain-on") return SetDraining(call, true);
  if (call == "drain-off") return SetDraining(call, false);
  return "FAILURE unknown call\n";
}

std::string ManagementCommands::Check() const {
  const GatewayStatus status = gateway_.Status();
  if (status.ready) return "SUCCESS takes clients\n";
  if (status.stopping) return "FAILURE stopping\n";
  if (status.draining) return "FAILURE draining\n";
  return "FAILURE no host is known yet\n";
}

std::string ManagementCommands::Vars() const {
  const GatewayStatus status = gateway_.Status();
  std::string json = metrics_.ToJson(status.active_requests, status.endpoints, status.ejected_endpoints);
  if (status.saves_state) {
    const char* const source = status.list_from_state ? "state" : "discovery";
    json.insert(json.size() - 1, std::string(",\"list_from\":\"") + source + "\"");
  }
  return json + "\n" + kEndOfText;
}

std::string ManagementCommands::PrometheusMetrics() const {
  return metrics_.ToPrometheus(Samples(gateway_.Status())) + kEndOfText;
}

std::string ManagementCommands::SetDraining(const std::string& call, bool draining) {
  if (gateway_.Status().stopping) return draining ? "SUCCESS stopping anyway\n" : "FAILURE stopping\n";
  gateway_.SetDraining(draining);
  base::Log(base::Level::kInfo, "operators", "drain", call + " by the operators' call", {{"call", call}});
  return draining ? "SUCCESS draining\n" : "SUCCESS takes clients\n";
}

}  // namespace gateway::proxy
