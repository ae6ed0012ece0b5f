#include "membership/member_table.hpp"

#include <tuple>
#include <utility>

#include "membership/suspicion.hpp"

namespace gateway::membership {
namespace {

using base::Millis;

// Orders updates by incarnation, then by status. Compares the address last, so that the order is total.
template <typename Update>
auto PrecedenceOf(const Update& update) {
  return std::tuple(update.incarnation, update.status, update.address);
}

}  // namespace

MemberTable::MemberTable(const MembershipOptions& options, const std::string& own_name, Address address,
                         Incarnation incarnation)
    : options_(options), own_name_(own_name) {
  Member& self = members_[own_name];
  self.name = own_name;
  self.address = address;
  self.incarnation = incarnation;
  in_discovery_order_.push_back(&self);
}

const Member* MemberTable::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

bool MemberTable::Merge(Millis now, const GossipUpdate& update, ProtocolOutput& out) {
  Member& member = members_[update.name];
  member.name = update.name;
  const bool newer = PrecedenceOf(update) > PrecedenceOf(member);
  if (newer) ApplyUpdate(now, member, update, out);
  const bool is_suspicion = update.status == MemberStatus::kSuspect && !update.suspector.empty();
  const bool is_current = member.status == MemberStatus::kSuspect && member.incarnation == update.incarnation;
  if (!is_suspicion || !is_current) return newer;
  return AddSuspector(member.suspectors, update.suspector, options_.expected_confirmations) || newer;
}

void MemberTable::ApplyUpdate(Millis now, Member& member, const GossipUpdate& update, ProtocolOutput& out) {
  const bool is_new = member.incarnation == 0;
  const bool was_alive = !is_new && member.IsAlive();
  const bool was_unhealthy = !is_new && member.status != MemberStatus::kAlive;
  const bool status_changed = is_new || member.status != update.status;
  if (is_new) in_discovery_order_.push_back(&member);
  if (status_changed || member.incarnation != update.incarnation) member.suspectors.clear();
  if (status_changed) member.status_since = now;
  member.address = update.address;
  member.incarnation = update.incarnation;
  member.status = update.status;
  alive_count_ += (member.IsAlive() ? 1 : 0) - (was_alive ? 1 : 0);
  unhealthy_count_ += (member.status != MemberStatus::kAlive ? 1 : 0) - (was_unhealthy ? 1 : 0);
  const bool is_new_and_not_alive = is_new && !member.IsAlive();
  if (status_changed && !is_new_and_not_alive) {
    out.status_changes.push_back({member.name, member.status, member.incarnation});
  }
}

std::vector<GossipUpdate> MemberTable::ExpireSuspicions(Millis now, ProtocolOutput& out) {
  std::vector<GossipUpdate> expired;
  if (all_healthy()) return expired;
  for (auto& [name, member] : members_) {
    if (member.status != MemberStatus::kSuspect) continue;
    const Millis timeout = SuspicionTimeout(options_, alive_count_, member.suspectors.size());
    if (now - member.status_since < timeout) continue;
    expired.push_back({name, member.address, member.incarnation, MemberStatus::kDead, own_name_});
    ApplyUpdate(now, member, expired.back(), out);
  }
  return expired;
}

void MemberTable::RemoveExpiredMembers(Millis now) {
  if (all_healthy()) return;
  for (auto entry = members_.begin(); entry != members_.end();) {
    Member& member = entry->second;
    const bool retained = now - member.status_since <= options_.dead_retention;
    if (member.IsAlive() || retained || member.name == own_name_) {
      ++entry;
      continue;
    }
    std::erase(in_discovery_order_, &member);
    --unhealthy_count_;
    entry = members_.erase(entry);
  }
}

void MemberTable::DelayTimeouts(Millis delay) {
  for (auto& [name, member] : members_) member.status_since += delay;
}

}  // namespace gateway::membership
