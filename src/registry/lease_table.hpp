// Leases of the members. Determines which members have stopped renewing their leases, and when these members
// are suspected and removed.
#ifndef GATEWAY_REGISTRY_LEASE_TABLE_HPP_
#define GATEWAY_REGISTRY_LEASE_TABLE_HPP_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "registry/command.hpp"
#include "registry/self_preservation.hpp"

namespace gateway::registry {

struct LeaseOptions {
  base::Millis default_duration = 10000;  // for members that do not state a duration
  base::Millis removal_grace = 5000;      // time from suspicion to removal
  // If two ticks are further apart, this service was suspended or starved of CPU.
  base::Millis max_tick_interval = 1000;
  SelfPreservationOptions self_preservation;
};

enum class RenewalResult {
  kRenewed,
  kRecovered,         // the member was suspect; the caller must propose kRecover
  kUnknownMember,     // the member has no lease
  kStaleIncarnation,  // the lease belongs to another process of this member
  kExpiring           // the removal of the member was proposed; the member must register again
};

// Leases exist only in memory. After a restart of the service, every lease starts with its full duration.
// Does no I/O and reads no clock: the caller passes the time of a monotonic clock. Not thread-safe.
class LeaseTable {
 public:
  explicit LeaseTable(LeaseOptions options)
      : options_(options), self_preservation_(options.self_preservation) {}

  // Must be called at the start with each member of the catalog, and later with the new state of each member
  // that the catalog changed.
  void OnMemberChanged(const Member& member, base::Millis now);
  RenewalResult Renew(const std::string& id, Incarnation incarnation, base::Millis now);

  // Returns the kSuspect and kExpire commands to propose. Must be called every few hundred ms.
  std::vector<Command> Tick(base::Millis now);
  // Must be called if a proposed command was not applied, so that a later tick proposes it again.
  void OnProposalFailed(const Command& command);

  // Returns the zones in which self-preservation is active and suspends removals.
  std::vector<SelfPreservation::ActiveZone> zones_in_self_preservation() const {
    return self_preservation_.active_zones();
  }
  std::size_t size() const { return leases_.size(); }
  // Returns the number of listed members whose lease has expired.
  std::size_t CountExpiredLeases(base::Millis now) const;
  // Returns how often this service was suspended or starved of CPU.
  int pauses() const { return pauses_; }

 private:
  struct Lease {
    std::string zone;
    Incarnation incarnation = 0;
    base::Millis duration = 0;
    base::Millis expires_at = 0;
    bool suspect = false;
    bool suspect_proposed = false;
    bool expiry_proposed = false;

    // Returns whether the lease has expired. The member is removed only after the grace period.
    bool HasExpired(base::Millis now) const { return expires_at < now; }
  };

  bool DetectPause(base::Millis now);
  ZoneLeaseCounts CountLeases(base::Millis now) const;
  void ExtendAllLeases(base::Millis now);
  void ExtendExpiredLeases(const std::string& zone, base::Millis now);
  void Propose(const std::string& id, Lease& lease, base::Millis now, std::vector<Command>& proposals) const;

  const LeaseOptions options_;
  SelfPreservation self_preservation_;
  std::map<std::string, Lease> leases_;  // by member id
  base::Millis last_tick_ = -1;          // negative before the first tick
  int pauses_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LEASE_TABLE_HPP_
