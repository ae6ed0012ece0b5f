#include "proxy/admin/status_log.hpp"

#include <utility>

#include "base/log.hpp"
#include "proxy/format.hpp"

namespace gateway::proxy {
namespace {

constexpr Millis kLogIntervalMs = 5000;

unsigned long long Increase(std::uint64_t now, std::uint64_t before) { return now - before; }

}  // namespace

StatusLog::StatusLog(boost::asio::io_context& io, Millis list_stale_after,
                     std::function<GatewayStatus()> status)
    : timer_(io), list_stale_after_(list_stale_after), status_(std::move(status)) {}

void StatusLog::Start() {
  timer_.expires_after(TimerDuration(kLogIntervalMs));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Write();
  });
}

void StatusLog::Write() {
  Start();
  const GatewayStatus status = status_();
  WriteListAge(status);
  WriteConnections(status);
  WriteOverload(status);
}

void StatusLog::WriteListAge(const GatewayStatus& status) {
  if (std::exchange(list_stale_, status.list_stale) == status.list_stale) return;
  if (list_stale_) {
    base::Log(base::Level::kWarning, "discovery", "list_old",
              Format("discovery: no list received for %.0f s; the last one stays in force",
                     list_stale_after_ / 1000));
  } else {
    base::Log(base::Level::kInfo, "discovery", "list_fresh", "discovery: the list is current again");
  }
}

void StatusLog::WriteConnections(const GatewayStatus& status) {
  const UpstreamCounts& now = status.upstream_counts;
  const UpstreamCounts before = std::exchange(counts_, now);
  const std::uint64_t disconnected_before = std::exchange(disconnected_clients_, status.disconnected_clients);
  base::Log(
      base::Level::kInfo, "sockets", "counts",
      Format("connections: upstream %zu clients %zu disconnected %llu | connects %llu reuses %llu stale %llu "
             "not_started %llu resets new %llu reused %llu",
             status.upstream_connections, status.client_connections,
             Increase(status.disconnected_clients, disconnected_before),
             Increase(now.connects, before.connects), Increase(now.reuses, before.reuses),
             Increase(now.stale, before.stale), Increase(now.not_started, before.not_started),
             Increase(now.resets_new, before.resets_new), Increase(now.resets_reused, before.resets_reused)));
}

// Writes nothing if nothing was given up since the last call.
void StatusLog::WriteOverload(const GatewayStatus& status) {
  const Overload now = {status.memory_refusals, status.incomplete_refusals, status.evictions,
                        status.allocation_failures};
  const Overload before = std::exchange(overload_, now);
  if (now == before) return;
  base::Log(
      base::Level::kWarning, "memory", "counts",
      Format("overload: resident %zu kB held %zu kB | refused for memory %llu incomplete %llu evicted %llu "
             "allocations failed %llu",
             status.resident_bytes / 1024, status.held_bytes / 1024,
             Increase(now.memory_refusals, before.memory_refusals),
             Increase(now.incomplete_refusals, before.incomplete_refusals),
             Increase(now.evictions, before.evictions),
             Increase(now.allocation_failures, before.allocation_failures)));
}

}  // namespace gateway::proxy
