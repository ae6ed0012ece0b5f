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
  if (moved) SetUp(endpoint, false);  // leaves the ring before its position changes
  endpoint.info = info;
  endpoint.last_list = list_number_;
  endpoint.machine_type = &machine_types_[info.machine_type];
  endpoint.zone = &zones_[info.zone];
  if (added) endpoint.hash = Hash(info.id);
  SetUp(endpoint, info.state == EndpointState::kUp);
  const bool valid_weight = info.weight > 0 && std::isfinite(info.weight);
  if (!valid_weight) endpoint.info.weight = 1;
  return {endpoint, started};
}

void EndpointTable::RemoveUnlisted() {
  for (auto& [id, endpoint] : endpoints_) {
    SetUp(endpoint, endpoint.up && endpoint.last_list == list_number_);
  }
}

void EndpointTable::RemoveUnreferenced() {
  std::erase_if(not_up_, [this](Endpoint* endpoint) {
    return endpoint->up || (endpoint->references == 0 && Erase(*endpoint));
  });
}

void EndpointTable::SetUp(Endpoint& endpoint, bool up) {
  if (!up) not_up_.insert(&endpoint);
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
