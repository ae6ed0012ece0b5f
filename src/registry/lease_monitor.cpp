#include "registry/lease_monitor.hpp"

#include <fmt/format.h>

#include <utility>

#include "base/clock.hpp"
#include "base/log.hpp"

namespace gateway::registry {
namespace {

using base::Level;
using base::Millis;
using base::MonotonicNow;

std::string ZoneText(const std::string& zone) {
  return zone == kAllZones ? "in all zones" : "in zone " + zone;
}

bool IsLeaseEvent(Action action) {
  return action == Action::kSuspect || action == Action::kRecover || action == Action::kExpire;
}

const char* LeaseEventText(Action action) {
  switch (action) {
    case Action::kSuspect: return "is suspect because its lease expired";
    case Action::kExpire: return "was removed because its lease expired";
    default: return "has renewed its lease again";
  }
}

void LogLeaseEvent(const Command& command, Revision revision) {
  base::Log(Level::kWarning, "registry", "lease",
            fmt::format("registry: member {} {}, revision {}", command.member.id,
                        LeaseEventText(command.action), revision));
}

}  // namespace

LeaseMonitor::LeaseMonitor(DurableCatalog& catalog, LeaseOptions options)
    : catalog_(catalog), leases_(options) {
  for (const auto& [id, member] : catalog_.catalog().members())
    leases_.OnMemberChanged(member, MonotonicNow());
}

RenewalResult LeaseMonitor::Renew(const RenewalRequest& renewal) {
  const RenewalResult result = leases_.Renew(renewal.id, renewal.incarnation, MonotonicNow());
  if (result == RenewalResult::kRecovered) ProposeRecovery(renewal);
  return result;
}

void LeaseMonitor::ProposeRecovery(const RenewalRequest& renewal) {
  Command recover;
  recover.action = Action::kRecover;
  recover.member.id = renewal.id;
  recover.if_incarnation = renewal.incarnation;
  catalog_.Propose(std::move(recover), {});
}

void LeaseMonitor::Tick(Millis now) {
  const int pauses = leases_.pauses();
  for (Command& command : leases_.Tick(now)) catalog_.Propose(std::move(command), {});
  if (leases_.pauses() != pauses) {
    base::Log(Level::kWarning, "registry", "was_away",
              "registry: the process was suspended or starved of CPU; all leases were extended");
  }
  LogSelfPreservation();
}

void LeaseMonitor::OnApplied(const Command& command, const CommandResult& result) {
  if (!result.ok()) return leases_.OnProposalFailed(command);
  const Catalog& catalog = catalog_.catalog();
  if (const Member* const member = catalog.Find(command.member.id)) {
    leases_.OnMemberChanged(*member, MonotonicNow());
  } else if (result.changed) {  // the member was removed; the newest change contains its last state
    leases_.OnMemberChanged(catalog.history().back(), MonotonicNow());
  }
  if (result.changed && IsLeaseEvent(command.action)) LogLeaseEvent(command, result.revision);
}

void LeaseMonitor::OnReopened(const std::vector<const Member*>& changed) {
  for (const Member* member : changed) leases_.OnMemberChanged(*member, MonotonicNow());
}

void LeaseMonitor::LogSelfPreservation() {
  std::set<std::string> zones;
  for (const SelfPreservation::ActiveZone& active : leases_.zones_in_self_preservation()) {
    zones.insert(active.zone);
    if (logged_zones_.contains(active.zone)) continue;
    base::Log(Level::kWarning, "registry", "hold",
              fmt::format("registry: removals suspended {}: {} of {} leases expired within a short time",
                          ZoneText(active.zone), active.leases.expired, active.leases.total));
  }
  for (const std::string& zone : logged_zones_) {
    if (zones.contains(zone)) continue;
    base::Log(Level::kInfo, "registry", "hold_ended", "registry: removals resumed " + ZoneText(zone));
  }
  logged_zones_ = std::move(zones);
}

}  // namespace gateway::registry
