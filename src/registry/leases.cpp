#include "registry/leases.hpp"

#include <algorithm>

namespace gateway::registry {

void Leases::Changed(const Member& member, Millis now) {
  if (member.removed || member.term <= 0) {
    if (member.expired) expired_.emplace_back(now, member.zone);
    leases_.erase(member.id);
    return;
  }
  const auto [entry, added] = leases_.try_emplace(member.id);
  Lease& lease = entry->second;
  if (added || member.incarnation != lease.incarnation || lease.expiring) {
    lease = {member.zone, member.incarnation, member.term, now + member.term};
  }
  lease.zone = member.zone;
  lease.term = member.term;
  lease.suspect = member.suspect;
  lease.suspected = lease.suspected && !member.suspect;
}

Leases::Renewal Leases::Renew(const std::string& id, Incarnation incarnation, Millis now) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return Renewal::kUnknown;
  Lease& lease = found->second;
  if (lease.incarnation != incarnation) return Renewal::kStale;
  if (lease.expiring) return Renewal::kLeaving;
  lease.until = now + lease.term;
  return lease.suspect || lease.suspected ? Renewal::kLifted : Renewal::kGood;
}

void Leases::GrantAnew(Millis now) {
  for (auto& [id, lease] : leases_) lease.until = std::max(lease.until, now + lease.term);
}

// Whether removals are held in this part.
bool Leases::UpdateHold(const std::string& zone, const Part& part, Millis now) {
  const bool many = part.lapsed > options_.least_lapsed && part.lapsed > options_.most_lapsed * part.all;
  const auto held = holds_.find(zone);
  if (!many) {
    given_up_.erase(zone);
    if (held == holds_.end()) return false;
    // They are coming back, one after the other: those still out get a full term to do so, too.
    for (auto& [id, lease] : leases_) {
      if ((zone.empty() || lease.zone == zone) && lease.until < now) lease.until = now + lease.term;
    }
    holds_.erase(held);
    return true;
  }
  if (given_up_.contains(zone)) return false;
  if (held == holds_.end()) {
    holds_[zone] = {zone, part.lapsed, part.all, now};
    return true;
  }
  held->second.lapsed = part.lapsed;
  held->second.of = part.all;
  if (now - held->second.since < options_.longest_hold) return true;
  given_up_[zone] = now;
  holds_.erase(held);
  return false;
}

std::vector<Command> Leases::Tick(Millis now) {
  const bool away = last_tick_ >= 0 && now - last_tick_ > options_.starved;
  last_tick_ = now;
  if (away) {
    ++absences_;
    GrantAnew(now);
  }
  while (!expired_.empty() && expired_.front().first < now - options_.window) expired_.pop_front();
  std::map<std::string, Part> parts;  // by zone; "" is all
  const auto count = [&](const std::string& zone, bool lapsed) {
    for (const std::string& part : {std::string(), zone}) {
      parts[part].all += 1;
      parts[part].lapsed += lapsed;
      if (zone.empty()) break;
    }
  };
  for (const auto& [id, lease] : leases_) count(lease.zone, lease.until < now);
  for (const auto& [at, zone] : expired_) count(zone, true);
  std::map<std::string, bool> held;
  for (const auto& [zone, part] : parts) held[zone] = UpdateHold(zone, part, now);
  std::vector<Command> proposals;
  if (held[""]) return proposals;
  for (auto& [id, lease] : leases_) {
    if (lease.until >= now || held[lease.zone]) continue;
    Command command;
    command.member.id = id;
    command.if_incarnation = lease.incarnation;
    if (!lease.suspect && !lease.suspected) {
      lease.suspected = true;
      command.action = Action::kSuspect;
      proposals.push_back(command);
    }
    if (!lease.expiring && lease.until + options_.grace < now) {
      lease.expiring = true;
      command.action = Action::kExpire;
      proposals.push_back(command);
    }
  }
  return proposals;
}

void Leases::Failed(const Command& command) {
  const auto found = leases_.find(command.member.id);
  if (found == leases_.end()) return;
  if (command.action == Action::kSuspect) found->second.suspected = false;
  if (command.action == Action::kExpire) found->second.expiring = false;
}

std::vector<Leases::Hold> Leases::holds() const {
  std::vector<Hold> all;
  for (const auto& [zone, hold] : holds_) all.push_back(hold);
  return all;
}

std::size_t Leases::overdue(Millis now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(leases_, [now](const auto& entry) { return entry.second.until < now; }));
}

}  // namespace gateway::registry
