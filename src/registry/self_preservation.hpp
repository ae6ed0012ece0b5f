// Self-preservation, as in Netflix's Eureka: if many leases expire at about the same time, the cause is
// likely the network or this service. No member is suspected or removed then.
#ifndef GATEWAY_REGISTRY_SELF_PRESERVATION_HPP_
#define GATEWAY_REGISTRY_SELF_PRESERVATION_HPP_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/millis.hpp"

namespace gateway::registry {

struct SelfPreservationOptions {
  // Self-preservation starts in a zone, or in all zones together, if more than this fraction and more than
  // `min_expired` of the leases have expired. Members that were removed within `window` because their lease
  // expired are counted too.
  double max_expired_fraction = 0.25;
  int min_expired = 3;
  base::Millis window = 60000;
  // Maximum duration of self-preservation. Afterwards, members are removed even if many leases are still
  // expired.
  base::Millis max_duration = 3600000;
};

// The zone name that represents all zones together.
inline constexpr const char* kAllZones = "";

struct LeaseCount {
  int expired = 0;  // expired leases
  int total = 0;
};
// Lease counts by zone, with an additional entry for all zones together.
class ZoneLeaseCounts {
 public:
  // Counts one lease, both in its zone and in the entry for all zones.
  void Add(const std::string& zone, bool expired);
  const std::map<std::string, LeaseCount>& zones() const { return zones_; }

 private:
  std::map<std::string, LeaseCount> zones_;
};

// Decides in which zones removals are suspended. Does no I/O and reads no clock: the caller passes the time
// of a monotonic clock. Not thread-safe.
class SelfPreservation {
 public:
  struct ActiveZone {
    std::string zone;  // kAllZones for all zones together
    LeaseCount leases;
    base::Millis since = 0;
  };
  struct Decision {
    std::set<std::string> suspended;  // zones in which no member may be removed
    std::set<std::string> ended;      // subset of `suspended` in which self-preservation has just ended
  };

  explicit SelfPreservation(SelfPreservationOptions options) : options_(options) {}

  // Records a member that was removed because its lease expired.
  void RecordExpiry(const std::string& zone, base::Millis now) { expiries_.push_back({now, zone}); }
  // Updates the state of all zones. `leases` counts the leases of the listed members.
  Decision Decide(ZoneLeaseCounts leases, base::Millis now);

  std::vector<ActiveZone> active_zones() const;

 private:
  enum class State { kInactive, kActive, kEnded };
  struct Expiry {
    base::Millis at = 0;
    std::string zone;
  };

  State Update(const std::string& zone, const LeaseCount& leases, base::Millis now);
  State UpdateActive(ActiveZone& active, const LeaseCount& leases, base::Millis now);

  const SelfPreservationOptions options_;
  std::map<std::string, ActiveZone> active_;
  // Zones that reached the maximum duration and still have too many expired leases.
  std::set<std::string> timed_out_zones_;
  std::deque<Expiry> expiries_;  // expiries within the window, oldest first
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SELF_PRESERVATION_HPP_
