#include "registry/lease_table.hpp"

#include <algorithm>

namespace gateway::registry {
namespace {

using base::Millis;

Command ProposalFor(const std::string& id, Incarnation incarnation, Action action) {
  Command command;
  command.action = action;
  command.member.id = id;
  command.if_incarnation = incarnation;
  return command;
}

}  // namespace

void LeaseTable::OnMemberChanged(const Member& member, Millis now) {
  if (member.removed || member.lease_duration <= 0) {
    if (member.expired) self_preservation_.RecordExpiry(member.zone, now);
    leases_.erase(member.id);
    return;
  }
  const auto [entry, added] = leases_.try_emplace(member.id);
  Lease& lease = entry->second;
  if (added || member.incarnation != lease.incarnation || lease.expiry_proposed) {
    lease = {};
    lease.incarnation = member.incarnation;
    lease.expires_at = now + member.lease_duration;
  }
  lease.zone = member.zone;
  lease.duration = member.lease_duration;
  lease.suspect = member.suspect;
  lease.suspect_proposed = lease.suspect_proposed && !member.suspect;
}

RenewalResult LeaseTable::Renew(const std::string& id, Incarnation incarnation, Millis now) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return RenewalResult::kUnknownMember;
  Lease& lease = found->second;
  if (lease.incarnation != incarnation) return RenewalResult::kStaleIncarnation;
  if (lease.expiry_proposed) return RenewalResult::kExpiring;
  lease.expires_at = now + lease.duration;
  return lease.suspect || lease.suspect_proposed ? RenewalResult::kRecovered : RenewalResult::kRenewed;
}

std::vector<Command> LeaseTable::Tick(Millis now) {
  if (DetectPause(now)) ExtendAllLeases(now);
  const SelfPreservation::Decision decision = self_preservation_.Decide(CountLeases(now), now);
  // When self-preservation ends, some members have not resumed their renewals yet. Their expired leases are
  // extended by the full duration.
  for (const std::string& zone : decision.ended) ExtendExpiredLeases(zone, now);
  std::vector<Command> proposals;
  if (decision.suspended.contains(kAllZones)) return proposals;
  for (auto& [id, lease] : leases_) {
    if (!decision.suspended.contains(lease.zone)) Propose(id, lease, now, proposals);
  }
  return proposals;
}

// Returns whether this service was suspended or starved of CPU since the last tick and may have missed
// renewals.
bool LeaseTable::DetectPause(Millis now) {
  const bool paused = last_tick_ >= 0 && now - last_tick_ > options_.max_tick_interval;
  last_tick_ = now;
  if (paused) ++pauses_;
  return paused;
}

ZoneLeaseCounts LeaseTable::CountLeases(Millis now) const {
  ZoneLeaseCounts counts;
  for (const auto& [id, lease] : leases_) counts.Add(lease.zone, lease.HasExpired(now));
  return counts;
}

void LeaseTable::ExtendAllLeases(Millis now) {
  for (auto& [id, lease] : leases_) lease.expires_at = std::max(lease.expires_at, now + lease.duration);
}

void LeaseTable::ExtendExpiredLeases(const std::string& zone, Millis now) {
  for (auto& [id, lease] : leases_) {
    if (zone != kAllZones && lease.zone != zone) continue;
    if (lease.HasExpired(now)) lease.expires_at = now + lease.duration;
  }
}

void LeaseTable::Propose(const std::string& id, Lease& lease, Millis now,
                         std::vector<Command>& proposals) const {
  if (!lease.HasExpired(now)) return;
  if (!lease.suspect && !lease.suspect_proposed) {
    lease.suspect_proposed = true;
    proposals.push_back(ProposalFor(id, lease.incarnation, Action::kSuspect));
  }
  if (!lease.expiry_proposed && lease.expires_at + options_.removal_grace < now) {
    lease.expiry_proposed = true;
    proposals.push_back(ProposalFor(id, lease.incarnation, Action::kExpire));
  }
}

void LeaseTable::OnProposalFailed(const Command& command) {
  const auto found = leases_.find(command.member.id);
  if (found == leases_.end()) return;
  if (command.action == Action::kSuspect) found->second.suspect_proposed = false;
  if (command.action == Action::kExpire) found->second.expiry_proposed = false;
}

std::size_t LeaseTable::CountExpiredLeases(Millis now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(leases_, [now](const auto& entry) { return entry.second.HasExpired(now); }));
}

}  // namespace gateway::registry
