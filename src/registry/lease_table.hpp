// The members' leases: who has stopped renewing, and when a member is removed for it.
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
  base::Millis default_duration = 10000;  // for members that state none
  base::Millis removal_grace = 5000;      // from suspect to removed
  // A longer time between two ticks means that this service was stopped or starved.
  base::Millis max_tick_interval = 1000;
  SelfPreservationOptions self_preservation;
};

enum class RenewalResult {
  kRenewed,
  kRecovered,         // the member was suspect: kRecover is to be proposed
  kUnknownMember,     // there is no lease of this member
  kStaleIncarnation,  // the lease is of another process of this member
  kExpiring           // the removal was proposed: the member has to register again
};

// Leases are in memory only; after a restart every lease begins anew. No I/O and no clock: times are of the
// caller's monotonic clock. Not thread-safe.
class LeaseTable {
 public:
  explicit LeaseTable(LeaseOptions options)
      : options_(options), self_preservation_(options.self_preservation) {}

  // To be called with each member that the catalog holds at the start, and with each change that it applied.
  void OnMemberChanged(const Member& member, base::Millis now);
  RenewalResult Renew(const std::string& id, Incarnation incarnation, base::Millis now);

  // Returns the commands to propose now: kSuspect and kExpire. To be called every few hundred ms.
  std::vector<Command> Tick(base::Millis now);
  // To be called if a proposed command was not applied: a later tick proposes it again.
  void OnProposalFailed(const Command& command);

  // Zones in which removals are suspended.
  std::vector<SelfPreservation::ActiveZone> preserved_zones() const { return self_preservation_.active(); }
  std::size_t size() const { return leases_.size(); }
  std::size_t CountLapsed(base::Millis now) const;
  // Number of times that this service was stopped or starved.
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

    bool IsLapsed(base::Millis now) const { return expires_at < now; }
  };

  bool DetectPause(base::Millis now);
  ZoneLeaseCounts CountLeases(base::Millis now) const;
  void ExtendAll(base::Millis now);
  void ExtendLapsed(const std::string& zone, base::Millis now);
  void Propose(const std::string& id, Lease& lease, base::Millis now, std::vector<Command>& proposals) const;

  const LeaseOptions options_;
  SelfPreservation self_preservation_;
  std::map<std::string, Lease> leases_;  // by member id
  base::Millis last_tick_ = -1;          // negative: none
  int pauses_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LEASE_TABLE_HPP_
