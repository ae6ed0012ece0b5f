// What the registry service says of itself: its status as JSON, its metrics in Prometheus' text format.
#ifndef GATEWAY_REGISTRY_SERVICE_REPORT_HPP_
#define GATEWAY_REGISTRY_SERVICE_REPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "registry/durable_catalog.hpp"
#include "registry/leases.hpp"
#include "registry/session.hpp"

namespace gateway::registry {

// Totals since the service's start.
struct ServiceCounts {
  Traffic all;
  Traffic list;  // requests for the list, watches among them
  std::uint64_t renewals = 0;
  std::uint64_t whole_lists = 0;
  std::uint64_t encoded = 0;
  std::uint64_t turned_away = 0;
  std::uint64_t cut_off = 0;
};

// What a report is made of; valid while the service does not change.
struct ServiceView {
  const DurableCatalog& store;
  const Leases& leases;
  ServiceCounts counts;
  std::size_t watches = 0;
  std::size_t connections = 0;
  base::Millis now = 0;
  base::Millis started = 0;
};

std::string StatusText(const ServiceView& view);
std::string MetricsText(const ServiceView& view);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_REPORT_HPP_
