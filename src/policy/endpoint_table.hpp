// The endpoints that service discovery has listed, with their machine types and zones.
#ifndef GATEWAY_POLICY_ENDPOINT_TABLE_HPP_
#define GATEWAY_POLICY_ENDPOINT_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/events.hpp"
#include "gateway/time.hpp"
#include "policy/endpoint.hpp"
#include "policy/endpoint_ring.hpp"

namespace gateway::policy {

// Pointers to an endpoint stay valid until RemoveUnreferenced() erases it.
class EndpointTable {
 public:
  explicit EndpointTable(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  // A list event is applied by BeginListUpdate(), Update() for each endpoint it names, RemoveUnlisted() if it
  // is a snapshot, and RemoveUnreferenced() once no subset names the removed endpoints any more.
  void BeginListUpdate() { ++list_generation_; }

  struct UpdateResult {
    Endpoint& endpoint;
    bool started;  // it is new, or a new process
  };
  UpdateResult Update(const EndpointInfo& info);
  void RemoveUnlisted();
  // Erases the endpoints that are not up and that no active request names.
  void RemoveUnreferenced();

  Endpoint* Find(const std::string& id);
  bool IsInOwnZone(const Endpoint& endpoint) const { return endpoint.info.zone == own_zone_; }

  // The endpoints that are up.
  const EndpointRing& ring() const { return ring_; }
  int up_count() const { return static_cast<int>(ring_.size()); }
  int own_zone_up_count() const { return own_zone_up_count_; }
  std::size_t zone_count() const { return zones_.size(); }

  // Ordered by name and id, so that iteration is the same in every run.
  using Endpoints = std::map<std::string, Endpoint>;
  using MachineTypes = std::map<std::string, MachineType>;
  Endpoints& endpoints() { return endpoints_; }
  const Endpoints& endpoints() const { return endpoints_; }
  MachineTypes& machine_types() { return machine_types_; }
  const MachineTypes& machine_types() const { return machine_types_; }

  // Marks an endpoint whose latency was measured.
  void MarkMeasured(Endpoint& endpoint) { measured_.insert(&endpoint); }
  // Median of the latencies of the endpoints that are up and measured; 0 if there is none.
  Millis MedianLatency() const;

 private:
  void SetIsUp(Endpoint& endpoint, bool up);
  bool Erase(Endpoint& endpoint);

  const std::string own_zone_;
  Endpoints endpoints_;
  MachineTypes machine_types_;
  std::map<std::string, Zone> zones_;
  EndpointRing ring_;
  std::set<Endpoint*> measured_;
  std::set<Endpoint*> removal_candidates_;  // a superset, checked by RemoveUnreferenced()
  mutable std::vector<Millis> latencies_;   // kept for its memory
  int own_zone_up_count_ = 0;
  std::uint64_t list_generation_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_TABLE_HPP_
