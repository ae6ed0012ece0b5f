#include "registry/self_preservation.hpp"

#include <utility>

namespace gateway::registry {

using base::Millis;

void ZoneLeaseCounts::Add(const std::string& zone, bool expired) {
  const auto add = [&](const std::string& name) {
    LeaseCount& count = zones_[name];
    ++count.total;
    count.expired += expired ? 1 : 0;
  };
  add(kAllZones);
  if (zone != kAllZones) add(zone);
}

SelfPreservation::Decision SelfPreservation::Decide(ZoneLeaseCounts leases, Millis now) {
  while (!expiries_.empty() && expiries_.front().at < now - options_.window) expiries_.pop_front();
  for (const Expiry& expiry : expiries_) leases.Add(expiry.zone, /*expired=*/true);
  Decision decision;
  for (const auto& [zone, count] : leases.zones()) {
    const State state = Update(zone, count, now);
    if (state != State::kInactive) decision.suspended.insert(zone);
    if (state == State::kEnded) decision.ended.insert(zone);
  }
  return decision;
}

SelfPreservation::State SelfPreservation::Update(const std::string& zone, const LeaseCount& leases,
                                                 Millis now) {
  const bool many_expired =
      leases.expired > options_.min_expired && leases.expired > options_.max_expired_fraction * leases.total;
  if (!many_expired) {
    timed_out_zones_.erase(zone);
    return active_.erase(zone) > 0 ? State::kEnded : State::kInactive;
  }
  if (timed_out_zones_.contains(zone)) return State::kInactive;
  const auto [entry, added] = active_.try_emplace(zone, ActiveZone{zone, leases, now});
  if (added) return State::kActive;
  return UpdateActive(entry->second, leases, now);
}

SelfPreservation::State SelfPreservation::UpdateActive(ActiveZone& active, const LeaseCount& leases,
                                                       Millis now) {
  active.leases = leases;
  if (now - active.since < options_.max_duration) return State::kActive;
  const std::string zone = active.zone;
  timed_out_zones_.insert(zone);
  active_.erase(zone);
  return State::kInactive;
}

std::vector<SelfPreservation::ActiveZone> SelfPreservation::active_zones() const {
  std::vector<ActiveZone> zones;
  for (const auto& [name, zone] : active_) zones.push_back(zone);
  return zones;
}

}  // namespace gateway::registry
