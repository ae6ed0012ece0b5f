#include "policy/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/hash.hpp"

namespace gateway::policy {

EndpointTable::UpdateResult EndpointTable::Update(const EndpointInfo& info) {
  const auto [entry, added] = endpoints_.try_emplace(info.id);
  Endpoint& endpoint = entry->second;
  const bool started = added || info.started_at > endpoint.info.started_at;
  const bool moved = info.machine_type != endpoint.info.machine_type || info.zone != endpoint.info.zone;
  if (moved) SetIsUp(endpoint, false);  // removes the endpoint from the ring before its position changes
  endpoint.info = info;
  endpoint.listed_generation = list_generation_;
  endpoint.machine_type = &machine_types_[info.machine_type];
  endpoint.zone = &zones_[info.zone];
  if (added) endpoint.hash = Hash(info.id);
  SetIsUp(endpoint, info.state == EndpointState::kUp);
  const bool valid_weight = info.weight > 0 && std::isfinite(info.weight);
  if (!valid_weight) endpoint.info.weight = 1;
  return {endpoint, started};
}

void EndpointTable::RemoveUnlisted() {
  for (auto& [id, endpoint] : endpoints_) {
    SetIsUp(endpoint, endpoint.up && endpoint.listed_generation == list_generation_);
  }
}

void EndpointTable::RemoveUnreferenced() {
  std::erase_if(removal_candidates_, [this](Endpoint* endpoint) {
    return endpoint->up || (endpoint->references == 0 && Erase(*endpoint));
  });
}

void EndpointTable::SetIsUp(Endpoint& endpoint, bool up) {
  if (!up) removal_candidates_.insert(&endpoint);
  if (std::exchange(endpoint.up, up) == up) return;
  up ? ring_.Insert(endpoint) : ring_.Erase(endpoint);
  if (IsInOwnZone(endpoint)) own_zone_up_count_ += up ? 1 : -1;
}

bool EndpointTable::Erase(Endpoint& endpoint) {
  measured_.erase(&endpoint);
  return endpoints_.erase(endpoint.info.id) > 0;
}

Endpoint* EndpointTable::Find(const std::string& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

Millis EndpointTable::MedianLatency() const {
  latencies_.clear();
  for (const Endpoint* const endpoint : measured_) {
    const Millis latency = endpoint->concurrency.latency.current;
    if (endpoint->up && latency > 0) latencies_.push_back(latency);
  }
  if (latencies_.empty()) return 0;
  const auto middle = latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() / 2);
  std::ranges::nth_element(latencies_, middle);
  return *middle;
}

}  // namespace gateway::policy
