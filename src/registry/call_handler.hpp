// Handles the calls of members and operators: lease renewals and commands that change the list.
#ifndef GATEWAY_REGISTRY_CALL_HANDLER_HPP_
#define GATEWAY_REGISTRY_CALL_HANDLER_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "registry/durable_catalog.hpp"
#include "registry/lease_monitor.hpp"
#include "registry/session.hpp"

namespace gateway::registry {

// Must be used in the thread of the sessions' io_context.
class CallHandler {
 public:
  // `catalog` and `leases` must outlive the handler. Members that register without a lease duration get the
  // default.
  CallHandler(DurableCatalog& catalog, LeaseMonitor& leases, base::Millis default_lease_duration)
      : catalog_(catalog), leases_(leases), default_lease_duration_(default_lease_duration) {}

  // Handles POST /registry/CALL. Responds to a renewal or an invalid call at once, and to a command when the
  // command is durable.
  void Handle(const std::shared_ptr<Session>& session, std::string_view call, const std::string& body);

  // Returns the number of renewals received since the start.
  std::uint64_t renewals() const { return renewals_; }

 private:
  void HandleCommand(const std::shared_ptr<Session>& session, Command command);
  CommandResult Renew(const RenewalRequest& renewal);

  DurableCatalog& catalog_;
  LeaseMonitor& leases_;
  const base::Millis default_lease_duration_;
  std::uint64_t renewals_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_CALL_HANDLER_HPP_
