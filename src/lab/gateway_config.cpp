#include "lab/gateway_config.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr int kSeedsPerGateway = 1000;
constexpr int kSeedShift = 20;  // room for the process numbers of a run: seeds of runs never collide

json Classes(const Experiment& experiment) {
  json classes = json::array();
  for (const TrafficClass& traffic_class : experiment.classes) {
    classes.push_back({{"name", traffic_class.name},
                       {"sloMs", traffic_class.latency_objective},
                       {"deadlineMs", traffic_class.deadline},
                       {"importance", traffic_class.priority_weight},
                       {"lateWorth", traffic_class.late_weight},
                       {"idempotency", traffic_class.idempotent ? "pure" : "side_effect"},
                       {"group", "all"},
                       {"repeatWindowMs", 0}});
  }
  return classes;
}

// The quota of each tenant is its share of the capacity of all hosts.
json Tenants(const Experiment& experiment) {
  double shares = 0;
  for (const auto& [name, share] : experiment.traffic.tenants) shares += share;
  json tenants = json::array();
  for (const auto& [name, share] : experiment.traffic.tenants) {
    tenants.push_back({{"name", name}, {"quotaPerS", experiment.Capacity() * share / shares}});
  }
  return tenants;
}

json Settings(const Experiment& experiment, int gateway) {
  const Fleet& fleet = experiment.fleet;
  const HostWarmUp& warm_up = experiment.host_warm_up;
  return {{"zone", fleet.zones[static_cast<std::size_t>(GatewayZoneIndex(experiment, gateway))]},
          {"peersTotal", fleet.gateways},
          {"selfIndex", gateway},
          {"membershipMode", "ask"},
          {"categories", Classes(experiment)},
          {"projects", Tenants(experiment)},
          {"limits",
           {{"maxAttempts", fleet.max_attempts},
            {"cancelling", true},
            {"retryAfter", fleet.retry_after},
            {"maxRetryAfterMs", 2000},
            {"dialTimeoutMs", 250},
            {"connIdleMs", experiment.host_groups.front().idle_timeout}}},
          {"rules",
           {{"askWithinMs", 10000},
            {"coldFrom", warm_up.initial_fraction},
            {"coldMs", warm_up.duration},
            {"fallMultiple", warm_up.overload_factor}}}};
}

// Returns the addresses at which the gateway reaches each other gateway. The entry for the gateway itself is
// the address at which it listens.
json Peers(const Experiment& experiment, const Addresses& addresses, int gateway) {
  json peers = json::array();
  if (!experiment.fleet.peer_network) return peers;
  for (int other = 0; other < experiment.fleet.gateways; ++other) {
    peers.push_back(
        Addresses::Text(other == gateway ? addresses.PeerListen(other) : addresses.Peer(gateway, other)));
  }
  return peers;
}

}  // namespace

int GatewayZoneIndex(const Experiment& experiment, int gateway) {
  return gateway % static_cast<int>(experiment.fleet.zones.size());
}

std::string GatewayConfigText(const Experiment& experiment, const Addresses& addresses,
                              const GatewayStart& start) {
  const Fleet& fleet = experiment.fleet;
  const int gateway = start.gateway;
  const int process_number = gateway * kSeedsPerGateway + start.number;
  const auto process = static_cast<std::uint64_t>(process_number);
  const std::string list = Addresses::Text(addresses.List(gateway));
  json config{
      {"name", fmt::format("n{}", gateway)},
      {"peer_listen", Addresses::Text(addresses.PeerListen(gateway))},
      {"peers", Peers(experiment, addresses, gateway)},
      {"listen", Addresses::Text(addresses.Gateway(gateway))},
      {"discovery", list},
      {"mgmt", Addresses::Text(addresses.Management(gateway, start.number))},
      {"seed", fmt::format("{:x}", (start.seed << kSeedShift) + process)},
      {"limits", {{"cores", 1.0}, {"memory_mb", fleet.memory_mb}, {"sockets", fleet.max_descriptors}}},
      {"known", json::parse(start.known_list)},
      {"settings", Settings(experiment, gateway)}};
  if (fleet.uses_registry_process) config["discovery_endpoints"] = {list};
  if (!start.state_folder.empty()) config["state_dir"] = start.state_folder;
  return config.dump();
}

}  // namespace gateway::lab
