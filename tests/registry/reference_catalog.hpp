// Reference implementation of the catalog for property tests, simple enough to be verified by reading.
#ifndef GATEWAY_TESTS_REGISTRY_REFERENCE_CATALOG_HPP_
#define GATEWAY_TESTS_REGISTRY_REFERENCE_CATALOG_HPP_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "registry/command.hpp"

namespace gateway::registry {

// Stores one entry per change: the state of the changed member after the change. Determines each result from
// these entries by a linear search from the newest to the oldest.
struct ReferenceCatalog {
  std::vector<Member> changes;
  std::map<std::string, std::pair<std::string, Revision>> keys;
  Revision initial_revision = 0;

  const Member* FindLast(const std::string& id) const {
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
      if (change->id == id) return &*change;
    }
    return nullptr;
  }
  Revision revision() const { return initial_revision + static_cast<Revision>(changes.size()); }
  std::map<std::string, Member> ListAt(Revision revision) const {
    std::map<std::string, Member> list;
    for (const Member& change : changes) {
      if (change.revision > revision) break;
      list.erase(change.id);
      if (!change.removed) list[change.id] = change;
    }
    return list;
  }

  // Applies the command. Returns the error code of its result.
  ErrorCode Apply(const Command& command) {
    const std::string request = std::to_string(static_cast<int>(command.action)) + command.member.id;
    if (const auto known = keys.find(command.idempotency_key);
        !command.idempotency_key.empty() && known != keys.end()) {
      return known->second.first == request ? ErrorCode::kNone : ErrorCode::kKeyReused;
    }
    const Member* const last = FindLast(command.member.id);
    const bool listed = last != nullptr && !last->removed;
    Member next = listed ? *last : command.member;
    if (command.action == Action::kRegister) {
      if (last != nullptr && command.member.incarnation < last->incarnation)
        return ErrorCode::kStaleIncarnation;
      const bool same_process = last != nullptr && command.member.incarnation == last->incarnation;
      if (!listed && same_process && !last->expired && command.member.incarnation != 0)
        return ErrorCode::kRemoved;
      if (listed && command.if_incarnation && *command.if_incarnation != last->incarnation)
        return ErrorCode::kStaleIncarnation;
      if (listed && command.if_revision && last->revision > *command.if_revision)
        return ErrorCode::kChangedSince;
      if (listed && same_process && command.member.address != last->address)
        return ErrorCode::kAddressConflict;
      next = command.member;
      next.drained_by_operator = last != nullptr && (listed || last->expired) && last->drained_by_operator;
      next.draining = listed && same_process && last->draining;
      if (listed) next.revision = last->revision;
    } else {
      if (!listed) return ErrorCode::kUnknownMember;
      if (command.if_incarnation && *command.if_incarnation != last->incarnation)
        return ErrorCode::kStaleIncarnation;
      if (command.if_revision && last->revision > *command.if_revision) return ErrorCode::kChangedSince;
      if (command.action == Action::kDrain && command.by_operator) next.drained_by_operator = true;
      if (command.action == Action::kDrain && !command.by_operator) next.draining = true;
      if (command.action == Action::kUndrain) next.drained_by_operator = false;
      if (command.action == Action::kSetSize) next.size = command.member.size;
      if (command.action == Action::kSuspect) next.suspect = true;
      if (command.action == Action::kRecover) next.suspect = false;
      if (command.action == Action::kRemove || command.action == Action::kExpire) next.removed = true;
      if (command.action == Action::kExpire) next.expired = true;
    }
    if (!listed || !(next == *last)) {
      next.revision = revision() + 1;
      changes.push_back(next);
    }
    if (!command.idempotency_key.empty()) keys[command.idempotency_key] = {request, revision()};
    return ErrorCode::kNone;
  }
};

}  // namespace gateway::registry

#endif  // GATEWAY_TESTS_REGISTRY_REFERENCE_CATALOG_HPP_
