#include "proxy/admin/management_commands.hpp"

#include <vector>

#include "base/log.hpp"

namespace gateway::proxy {
namespace {

const char* const kEndOfResponse = "EOT\n";

double CountValue(std::size_t value) { return static_cast<double>(value); }
double FlagValue(bool value) { return value ? 1 : 0; }

std::vector<Metrics::Sample> ConnectionSamples(const GatewayStatus& status) {
  const UpstreamCounts& counts = status.upstream_counts;
  return {
      {"client_connections", "gauge", "Connections from clients", CountValue(status.client_connections)},
      {"host_connections", "gauge", "Connections to hosts", CountValue(status.upstream_connections)},
      {"dials_total", "counter", "Connections opened to hosts", CountValue(counts.connects)},
      {"reuses_total", "counter", "Attempts sent on an idle connection", CountValue(counts.reuses)},
      {"stale_total", "counter", "Idle connections that were found closed when an attempt reused them",
       CountValue(counts.stale)},
      {"resets_total", "counter", "Connections that failed during an attempt",
       CountValue(counts.resets_new + counts.resets_reused)},
      {"clients_left_total", "counter", "Clients that disconnected before their response",
       CountValue(status.disconnected_clients)},
      {"held_bytes", "gauge", "Memory that clients make the process hold", CountValue(status.held_bytes)},
      {"resident_bytes", "gauge", "Memory of the process when it was last measured; 0 if it is not measured",
       CountValue(status.resident_bytes)},
      {"allocation_failures_total", "counter", "Allocations of memory that failed",
       CountValue(status.allocation_failures)},
      {"memory_refusals_total", "counter", "Requests refused to save memory",
       CountValue(status.memory_refusals)},
      {"evictions_total", "counter", "Connections from clients closed to make room for others",
       CountValue(status.evictions)},
      {"incomplete_refusals_total", "counter",
       "Incomplete requests refused because others use their share of the host connections",
       CountValue(status.incomplete_refusals)},
      {"repeated_ids_total", "counter", "Requests refused because their ID was used before",
       CountValue(status.repeated_requests)},
  };
}

std::vector<Metrics::Sample> ListSamples(const GatewayStatus& status) {
  return {
      {"list_age_seconds", "gauge", "Time since the host list was last known to be current",
       status.list_age / 1000},
      {"list_old", "gauge", "1 if no host list was received within the configured time, otherwise 0",
       FlagValue(status.list_stale)},
      {"list_service", "gauge", "Index of the watched list service, from 0", CountValue(status.list_service)},
      {"list_from_state", "gauge", "1 if the current host list was loaded from disk, otherwise 0",
       FlagValue(status.list_from_state)},
  };
}

// The order of the samples is the order in which the metrics are documented.
std::vector<Metrics::Sample> Samples(const GatewayStatus& status) {
  std::vector<Metrics::Sample> samples = {
      {"active_requests", "gauge", "Requests in progress", CountValue(status.active_requests)},
      {"hosts_listed", "gauge", "Hosts in the list, including draining hosts", CountValue(status.endpoints)},
      {"hosts_avoided", "gauge", "Listed hosts that are ejected and receive only trial requests",
       CountValue(status.ejected_endpoints)},
      {"list_revision", "gauge", "Revision of the current host list",
       static_cast<double>(status.list_revision)},
      {"ready", "gauge", "1 if this process accepts clients, otherwise 0", FlagValue(status.ready)},
  };
  for (const Metrics::Sample& sample : ConnectionSamples(status)) samples.push_back(sample);
  for (const Metrics::Sample& sample : ListSamples(status)) samples.push_back(sample);
  samples.push_back(
      {"state_ok", "gauge", "0 if saving the state has failed, otherwise 1", FlagValue(status.state_ok)});
  samples.push_back({"state_writes_total", "counter", "Number of times the state was written to disk",
                     CountValue(status.state_writes)});
  return samples;
}

}  // namespace

std::string ManagementCommands::Run(const std::string& command) {
  if (command == "vars") return Vars();
  if (command == "metrics") return PrometheusMetrics();
  if (command == "check") return Check();
  if (command == "drain-on") return SetDraining(command, true);
  if (command == "drain-off") return SetDraining(command, false);
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
  return json + "\n" + kEndOfResponse;
}

std::string ManagementCommands::PrometheusMetrics() const {
  return metrics_.ToPrometheus(Samples(gateway_.Status())) + kEndOfResponse;
}

std::string ManagementCommands::SetDraining(const std::string& command, bool draining) {
  if (gateway_.Status().stopping) return draining ? "SUCCESS stopping anyway\n" : "FAILURE stopping\n";
  gateway_.SetDraining(draining);
  base::Log(base::Level::kInfo, "operators", "drain", command + " requested by an operator",
            {{"call", command}});
  return draining ? "SUCCESS draining\n" : "SUCCESS takes clients\n";
}

}  // namespace gateway::proxy
