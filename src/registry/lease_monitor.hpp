// Keeps the lease table in step with the catalog, proposes what it asks for, and logs it.
#ifndef GATEWAY_REGISTRY_LEASE_MONITOR_HPP_
#define GATEWAY_REGISTRY_LEASE_MONITOR_HPP_

#include <set>
#include <string>
#include <vector>

#include "registry/command.hpp"
#include "registry/durable_catalog.hpp"
#include "registry/lease_table.hpp"

namespace gateway::registry {

// In the thread of the service's io_context.
class LeaseMonitor {
 public:
  // `catalog` must outlive it; its members get their leases now.
  LeaseMonitor(DurableCatalog& catalog, LeaseOptions options);

  // Extends a lease. Proposes kRecover if the member was suspect.
  RenewalResult Renew(const RenewalRequest& renewal);
  // Suspects and removes members whose leases have lapsed. To be called every few hundred ms.
  void Tick(base::Millis now);

  // What became of a command; see CatalogObserver.
  void OnApplied(const Command& command, const CommandResult& result);
  void OnRejected(const Command& command) { leases_.OnProposalFailed(command); }
  void OnReopened(const std::vector<const Member*>& changed);

  const LeaseTable& leases() const { return leases_; }

 private:
  void ProposeRecovery(const RenewalRequest& renewal);
  void LogPreservedZones();

  DurableCatalog& catalog_;
  LeaseTable leases_;
  std::set<std::string> logged_zones_;  // zones that were last logged as preserved
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LEASE_MONITOR_HPP_
