// The table of endpoints listed by service discovery, with their machine types and zones.
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

// All known endpoints by id. Pointers to an endpoint stay valid until RemoveUnreferenced() erases it.
class EndpointTable {
 public:
  explicit EndpointTable(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  // To apply a list event, call these methods in this order: BeginListUpdate(), Update() for each endpoint of
  // the event, RemoveUnlisted() if the event is a snapshot, and RemoveUnreferenced() once the subset no
  // longer contains the removed endpoints.
  void BeginListUpdate() { ++list_generation_; }

  struct UpdateResult {
    Endpoint& endpoint;
    bool started;  // the endpoint is new in the table or its process has restarted
  };
  UpdateResult Update(const EndpointInfo& info);
  // Marks each endpoint as not up unless Update() was called for it since BeginListUpdate().
  void RemoveUnlisted();
  // Erases each endpoint that is not up, unless an active request refers to it.
  void RemoveUnreferenced();

  // Returns the endpoint with this id, or null.
  Endpoint* Find(const std::string& id);
  bool IsInOwnZone(const Endpoint& endpoint) const { return endpoint.info.zone == own_zone_; }

  // Returns the ring of the endpoints that are up.
  const EndpointRing& ring() const { return ring_; }
  int up_count() const { return static_cast<int>(ring_.size()); }
  int own_zone_up_count() const { return own_zone_up_count_; }
  std::size_t zone_count() const { return zones_.size(); }

  // Endpoints by id and machine types by name. The maps are ordered, so that iteration is deterministic.
  using Endpoints = std::map<std::string, Endpoint>;
  using MachineTypes = std::map<std::string, MachineType>;
  Endpoints& endpoints() { return endpoints_; }
  const Endpoints& endpoints() const { return endpoints_; }
  MachineTypes& machine_types() { return machine_types_; }
  const MachineTypes& machine_types() const { return machine_types_; }

  // Marks an endpoint as measured. Must be called once the endpoint has a latency sample.
  void MarkMeasured(Endpoint& endpoint) { measured_.insert(&endpoint); }
  // Returns the median latency of the endpoints that are up and measured; 0 if there are none.
  Millis MedianLatency() const;

 private:
  void SetIsUp(Endpoint& endpoint, bool up);
  bool Erase(Endpoint& endpoint);

  const std::string own_zone_;
  Endpoints endpoints_;
  MachineTypes machine_types_;
  std::map<std::string, Zone> zones_;
  EndpointRing ring_;
  std::set<Endpoint*> measured_;            // endpoints that had a latency sample, even if since reset
  std::set<Endpoint*> removal_candidates_;  // endpoints marked as not up; some may be up again
  mutable std::vector<Millis> latencies_;   // reused buffer of MedianLatency()
  int own_zone_up_count_ = 0;
  std::uint64_t list_generation_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_TABLE_HPP_
