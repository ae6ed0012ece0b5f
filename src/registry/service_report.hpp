// Reports of the registry service: its status as JSON, and its metrics in the Prometheus text format.
#ifndef GATEWAY_REGISTRY_SERVICE_REPORT_HPP_
#define GATEWAY_REGISTRY_SERVICE_REPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "registry/durable_catalog.hpp"
#include "registry/lease_table.hpp"
#include "registry/session.hpp"

namespace gateway::registry {

// Totals since the start of the service.
struct ServiceTotals {
  TrafficTotals all;
  TrafficTotals list;  // requests for the list, including watches
  std::uint64_t renewals = 0;
  std::uint64_t full_lists = 0;
  std::uint64_t encoded_bodies = 0;
  std::uint64_t rejected = 0;  // requests and connections that admission control rejected
  std::uint64_t slow_readers_closed = 0;
};

// The data that the reports show. Valid only until the service handles its next event, because some fields
// refer to the state of the service.
struct ServiceView {
  const DurableCatalog& durable_catalog;
  const LeaseTable& leases;
  ServiceTotals totals;
  std::size_t watches = 0;
  std::size_t connections = 0;
  base::Millis now = 0;
  base::Millis start_time = 0;
};

std::string StatusReport(const ServiceView& view);
std::string MetricsReport(const ServiceView& view);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_REPORT_HPP_
