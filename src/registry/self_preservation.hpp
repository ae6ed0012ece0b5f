// Self-preservation, as in Netflix's Eureka: where many leases expire together, the cause is likely the
// network or this service, so no member is suspected or removed for it.
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
  // Self-preservation begins where more leases than this share of a zone, or of all zones, and more than
  // `min_lapsed` have lapsed now or were removed within the window.
  double max_lapsed_share = 0.25;
  int min_lapsed = 3;
  base::Millis window = 60000;
  base::Millis max_duration = 3600000;  // after that, members are removed all the same
};

// Stands for all zones together.
inline constexpr const char* kAllZones = "";

struct LeaseCount {
  int lapsed = 0;
  int total = 0;
};
// By zone, with an entry for all zones together.
class ZoneLeaseCounts {
 public:
  void Add(const std::string& zone, bool lapsed);
  const std::map<std::string, LeaseCount>& zones() const { return zones_; }

 private:
  std::map<std::string, LeaseCount> zones_;
};

// Decides in which zones removals are suspended. No I/O and no clock: times are of the caller's monotonic
// clock. Not thread-safe.
class SelfPreservation {
 public:
  struct ActiveZone {
    std::string zone;  // kAllZones: all
    LeaseCount leases;
    base::Millis since = 0;
  };
  struct Decision {
    std::set<std::string> suspended;  // zones in which no member is removed now
    std::set<std::string> ended;      // those of them in which self-preservation has just ended
  };

  explicit SelfPreservation(SelfPreservationOptions options) : options_(options) {}

  // Counts a member that was removed because its lease expired.
  void RecordExpiry(const std::string& zone, base::Millis now) { expiries_.push_back({now, zone}); }
  // `leases`: those that are listed now.
  Decision Decide(ZoneLeaseCounts leases, base::Millis now);

  std::vector<ActiveZone> active() const;

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
  std::set<std::string> given_up_;  // zones in which it lasted its maximum, until fewer leases are lapsed
  std::deque<Expiry> expiries_;     // within the window, oldest first
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SELF_PRESERVATION_HPP_
