// A catalog that is simple enough to be checked by reading, to compare the real one with.
#ifndef GATEWAY_TESTS_REGISTRY_REFERENCE_CATALOG_HPP_
#define GATEWAY_TESTS_REGISTRY_REFERENCE_CATALOG_HPP_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "registry/command.hpp"

namespace gateway::registry {

// The simplest catalog: the state of each member after each change, in order; each result is searched in it
// from the end.
struct ReferenceCatalog {
  std::vector<Member> changes;
  std::map<std::string, std::pair<std::string, Revision>> keys;
  Revision first = 0;

  const Member* Last(const std::string& id) const {
    for (auto at = changes.rbegin(); at != changes.rend(); ++at) {
      if (at->id == id) return &*at;
    }
    return nullptr;
  }
  Revision revision() const { return first + static_cast<Revision>(changes.size()); }
  std::map<std::string, Member> ListAt(Revision revision) const {
    std::map<std::string, Member> list;
    for (const Member& m : changes) {
      if (m.revision > revision) break;
      list.erase(m.id);
      if (!m.removed) list[m.id] = m;
    }
    return list;
  }

  // The code of the result.
  ErrorCode Apply(const Command& c) {
    const std::string what = std::to_string(static_cast<int>(c.action)) + c.member.id;
    if (const auto known = keys.find(c.idempotency_key); !c.idempotency_key.empty() && known != keys.end()) {
      return known->second.first == what ? ErrorCode::kNone : ErrorCode::kKeyReused;
    }
    const Member* const last = Last(c.member.id);
    const bool listed = last != nullptr && !last->removed;
    Member next = listed ? *last : c.member;
    if (c.action == Action::kRegister) {
      if (last != nullptr && c.member.incarnation < last->incarnation) return ErrorCode::kStaleIncarnation;
      const bool same = last != nullptr && c.member.incarnation == last->incarnation;
      if (!listed && same && !last->expired && c.member.incarnation != 0) return ErrorCode::kRemoved;
      if (listed && c.if_incarnation && *c.if_incarnation != last->incarnation)
        return ErrorCode::kStaleIncarnation;
      if (listed && c.if_revision && last->revision > *c.if_revision) return ErrorCode::kChangedSince;
      if (listed && same && c.member.address != last->address) return ErrorCode::kAddressConflict;
      next = c.member;
      next.drained_by_operator = last != nullptr && (listed || last->expired) && last->drained_by_operator;
      next.draining = listed && same && last->draining;
      if (listed) next.revision = last->revision;
    } else {
      if (!listed) return ErrorCode::kUnknownMember;
      if (c.if_incarnation && *c.if_incarnation != last->incarnation) return ErrorCode::kStaleIncarnation;
      if (c.if_revision && last->revision > *c.if_revision) return ErrorCode::kChangedSince;
      if (c.action == Action::kDrain && c.by_operator) next.drained_by_operator = true;
      if (c.action == Action::kDrain && !c.by_operator) next.draining = true;
      if (c.action == Action::kUndrain) next.drained_by_operator = false;
      if (c.action == Action::kSetSize) next.size = c.member.size;
      if (c.action == Action::kSuspect) next.suspect = true;
      if (c.action == Action::kRecover) next.suspect = false;
      if (c.action == Action::kRemove || c.action == Action::kExpire) next.removed = true;
      if (c.action == Action::kExpire) next.expired = true;
    }
    if (!listed || !(next == *last)) {
      next.revision = revision() + 1;
      changes.push_back(next);
    }
    if (!c.idempotency_key.empty()) keys[c.idempotency_key] = {what, revision()};
    return ErrorCode::kNone;
  }
};

}  // namespace gateway::registry

#endif  // GATEWAY_TESTS_REGISTRY_REFERENCE_CATALOG_HPP_
