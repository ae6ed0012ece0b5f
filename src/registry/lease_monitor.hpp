// Keeps the lease table consistent with the catalog, proposes the commands of the lease table to the catalog,
// and logs lease events.
#ifndef GATEWAY_REGISTRY_LEASE_MONITOR_HPP_
#define GATEWAY_REGISTRY_LEASE_MONITOR_HPP_

#include <set>
#include <string>
#include <vector>

#include "registry/command.hpp"
#include "registry/durable_catalog.hpp"
#include "registry/lease_table.hpp"

namespace gateway::registry {

// Must be used in the thread of the service's io_context.
class LeaseMonitor {
 public:
  // Creates leases for all members of the catalog. `catalog` must outlive the monitor.
  LeaseMonitor(DurableCatalog& catalog, LeaseOptions options);

  // Extends a lease, and proposes kRecover if the member was suspect.
  RenewalResult Renew(const RenewalRequest& renewal);
  // Proposes to suspect and to remove members whose leases have expired. Must be called every few hundred ms.
  void Tick(base::Millis now);

  // Handle the outcome of commands; see CatalogObserver.
  void OnApplied(const Command& command, const CommandResult& result);
  void OnRejected(const Command& command) { leases_.OnProposalFailed(command); }
  void OnReopened(const std::vector<const Member*>& changed);

  const LeaseTable& leases() const { return leases_; }

 private:
  void ProposeRecovery(const RenewalRequest& renewal);
  void LogSelfPreservation();

  DurableCatalog& catalog_;
  LeaseTable leases_;
  std::set<std::string> logged_zones_;  // zones for which suspended removals were logged
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LEASE_MONITOR_HPP_
