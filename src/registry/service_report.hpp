// What the registry service says of itself: its status as JSON, its metrics in Prometheus' text format.
#ifndef ELDERHEAD_REGISTRY_SERVICE_REPORT_HPP_
#define ELDERHEAD_REGISTRY_SERVICE_REPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "registry/durable_catalog.hpp"
#include "registry/leases.hpp"

namespace elderhead::registry {

// Bytes of requests that were read and of responses whose writing began, and the former's number.
struct TrafficCounts {
  std::uint64_t requests = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;
};

// Totals since the service's start.
struct ServiceCounts {
  TrafficCounts all;
  TrafficCounts lists;  // of these, those for the list
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

}  // namespace elderhead::registry

#endif  // ELDERHEAD_REGISTRY_SERVICE_REPORT_HPP_
