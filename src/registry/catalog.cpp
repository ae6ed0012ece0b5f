#include "registry/catalog.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace gateway::registry {
namespace {

CommandResult Failed(ErrorCode code, std::string field, std::string message) {
  return CommandResult::Failed({code, std::move(field), std::move(message)});
}

// Returns an error if the member does not meet a precondition of the command.
std::optional<Error> CheckPreconditions(const Command& command, const Member& listed) {
  if (command.if_incarnation && *command.if_incarnation != listed.incarnation) {
    return Error(ErrorCode::kStaleIncarnation, "if_incarnation",
                 "the listed process has incarnation " + std::to_string(listed.incarnation));
  }
  if (command.if_revision && listed.revision > *command.if_revision) {
    return Error(ErrorCode::kChangedSince, "if_revision",
                 "the member changed at revision " + std::to_string(listed.revision));
  }
  return std::nullopt;
}

// Returns an error if the process of `member` must not register again after a removal. `removed` is the
// member's state at its removal.
std::optional<Error> CheckReregistration(const Member& member, const Member& removed) {
  // The request was delayed: a later process has replaced the process that sent it.
  if (member.incarnation < removed.incarnation) {
    return Error(ErrorCode::kStaleIncarnation, "incarnation",
                 "a later process with incarnation " + std::to_string(removed.incarnation) + " was listed");
  }
  // A process that was removed explicitly must not register again. If the incarnation is 0 (not stated), the
  // request may come from a new process.
  const bool same_process = member.incarnation == removed.incarnation && member.incarnation != 0;
  if (same_process && !removed.expired) {
    return Error(ErrorCode::kRemoved, "incarnation",
                 "this process was removed; only a new process may register");
  }
  return std::nullopt;
}

// Returns a text that identifies the action and the member, to detect an idempotency key that is reused for
// another request.
std::string DescribeRequest(const Command& command) {
  return std::to_string(static_cast<int>(command.action)) + " " + command.member.id;
}

void ClearStatus(Member& member) {
  member.draining = false;
  member.drained_by_operator = false;
  member.suspect = false;
  member.removed = false;
  member.expired = false;
}

// Returns the member's state after a command other than kRegister.
Member ApplyToMember(Member member, const Command& command) {
  switch (command.action) {
    case Action::kDrain: (command.by_operator ? member.drained_by_operator : member.draining) = true; break;
    case Action::kUndrain: member.drained_by_operator = false; break;
    case Action::kSetSize: member.size = command.member.size; break;
    case Action::kSuspect: member.suspect = true; break;
    case Action::kRecover: member.suspect = false; break;
    case Action::kRemove:
    case Action::kExpire:
      member.removed = true;
      member.expired = command.action == Action::kExpire;
      break;
    case Action::kRegister: break;
  }
  return member;
}

}  // namespace

Catalog::Catalog(std::string epoch, Revision initial_revision, RetentionLimits limits)
    : epoch_(std::move(epoch)),
      revision_(initial_revision),
      limits_(limits),
      results_(limits.idempotency_keys) {}

const Member* Catalog::Find(const std::string& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

CommandResult Catalog::Apply(const Command& command) {
  const std::string& key = command.idempotency_key;
  if (key.empty()) return Execute(command);
  if (const IdempotencyTable::Entry* const executed = results_.Find(key)) {
    if (executed->request != DescribeRequest(command)) {
      return Failed(ErrorCode::kKeyReused, "key", "the idempotency key was already used for another request");
    }
    return CommandResult::Unchanged(executed->revision);
  }
  CommandResult result = Execute(command);
  if (result.ok()) results_.Insert(key, {DescribeRequest(command), result.revision});
  return result;
}

CommandResult Catalog::Execute(const Command& command) {
  if (command.action == Action::kRegister) return Register(command);
  const Member* const listed = Find(command.member.id);
  if (listed == nullptr) {
    return Failed(ErrorCode::kUnknownMember, "id", "member '" + command.member.id + "' is not listed");
  }
  if (auto error = CheckPreconditions(command, *listed)) return CommandResult::Failed(*std::move(error));
  Member member = ApplyToMember(*listed, command);
  if (member == *listed) return CommandResult::Unchanged(revision_);
  CommandResult result = Commit(std::move(member));
  if (command.action == Action::kRemove && command.by_operator) last_operator_removal_ = revision_;
  return result;
}

CommandResult Catalog::Register(const Command& command) {
  Member member = command.member;
  ClearStatus(member);
  if (const Member* const listed = Find(member.id)) {
    return RegisterListed(command, std::move(member), *listed);
  }
  if (const auto found = removed_.find(member.id); found != removed_.end()) {
    const Member& removed = found->second;
    if (auto error = CheckReregistration(member, removed)) return CommandResult::Failed(*std::move(error));
    // A drain by operators survives the expiry of the lease, but not an explicit removal.
    member.drained_by_operator = removed.expired && removed.drained_by_operator;
  }
  return Commit(std::move(member));
}

CommandResult Catalog::RegisterListed(const Command& command, Member member, const Member& listed) {
  if (member.incarnation < listed.incarnation) {
    return Failed(ErrorCode::kStaleIncarnation, "incarnation",
                  "the listed process has the later incarnation " + std::to_string(listed.incarnation));
  }
  if (auto error = CheckPreconditions(command, listed)) return CommandResult::Failed(*std::move(error));
  const bool same_process = member.incarnation == listed.incarnation;
  if (same_process && member.address != listed.address) {
    return Failed(ErrorCode::kAddressConflict, "address",
                  "a process with the same incarnation is listed at " + listed.address);
  }
  member.drained_by_operator = listed.drained_by_operator;
  member.draining = same_process && listed.draining;
  member.revision = listed.revision;
  if (member == listed) return CommandResult::Unchanged(revision_);
  return Commit(std::move(member));
}

// Stores the new state of the member and creates a new revision of the list.
CommandResult Catalog::Commit(Member member) {
  member.revision = ++revision_;
  history_.push_back(member);
  if (member.removed) {
    removed_[member.id] = member;
    members_.erase(member.id);
  } else {
    removed_.erase(member.id);
    members_[member.id] = std::move(member);
  }
  CompactHistory();
  return CommandResult::Changed(revision_);
}

void Catalog::CompactHistory() {
  if (history_.size() <= limits_.changes) return;
  const Member& oldest = history_.front();
  const auto removed = removed_.find(oldest.id);
  if (removed != removed_.end() && removed->second.revision == oldest.revision) removed_.erase(removed);
  history_.pop_front();
}

std::optional<std::vector<const Member*>> Catalog::ChangedSince(Revision after) const {
  if (!HasHistorySince(after)) return std::nullopt;
  std::vector<const Member*> changed;
  std::unordered_set<std::string_view> seen;
  for (auto change = history_.rbegin(); change != history_.rend() && change->revision > after; ++change) {
    if (seen.insert(change->id).second) changed.push_back(&*change);
  }
  std::reverse(changed.begin(), changed.end());
  return changed;
}

}  // namespace gateway::registry
