#include "registry/catalog.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "registry/bytes.hpp"

namespace gateway::registry {
namespace {

Outcome Refused(std::string code, std::string field, std::string text) {
  return {std::move(code), std::move(field), std::move(text), 0, false};
}

void Write(Writer& to, const Member& m) {
  for (const std::string* text : {&m.id, &m.address, &m.zone, &m.kind, &m.cell, &m.version}) to.Text(*text);
  to.Real(m.size);
  to.Real(m.term);
  to.Signed(m.incarnation);
  to.Number(m.draining | m.held_out << 1 | m.suspect << 2 | m.removed << 3 | m.expired << 4, 1);
  to.Signed(m.revision);
}

Member ReadMember(Reader& from) {
  Member m;
  for (std::string* text : {&m.id, &m.address, &m.zone, &m.kind, &m.cell, &m.version}) *text = from.Text();
  m.size = from.Real();
  m.term = from.Real();
  m.incarnation = from.Signed();
  const std::uint64_t flags = from.Number(1);
  m.draining = flags & 1, m.held_out = flags & 2, m.suspect = flags & 4, m.removed = flags & 8;
  m.expired = flags & 16;
  m.revision = from.Signed();
  return m;
}

// The condition that the command names and the member does not meet.
std::optional<Outcome> Unmet(const Command& command, const Member& known) {
  if (command.if_incarnation && *command.if_incarnation != known.incarnation) {
    return Refused("stale_incarnation", "if_incarnation",
                   "the member's process is of " + std::to_string(known.incarnation));
  }
  if (command.if_revision && known.revision > *command.if_revision) {
    return Refused("changed_since", "if_revision",
                   "the member has changed at revision " + std::to_string(known.revision));
  }
  return std::nullopt;
}

std::string WhatOf(const Command& command) {
  return std::to_string(static_cast<int>(command.action)) + " " + command.member.id;
}

}  // namespace

Catalog::Catalog(std::string epoch, Revision first, Bounds bounds)
    : epoch_(std::move(epoch)), revision_(first), bounds_(bounds) {}

const Member* Catalog::Find(const std::string& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

Outcome Catalog::Apply(const Command& command) {
  if (!command.key.empty()) {
    if (const auto known = answered_.find(command.key); known != answered_.end()) {
      if (known->second.what != WhatOf(command)) {
        return Refused("key_reused", "key", "this key was used for another request");
      }
      return {"", "", "", known->second.revision, false};
    }
  }
  Outcome outcome = Decide(command);
  if (outcome.ok() && !command.key.empty()) Remember(command, outcome);
  return outcome;
}

void Catalog::Remember(const Command& command, const Outcome& outcome) {
  answered_[command.key] = {WhatOf(command), outcome.revision};
  keys_.push_back(command.key);
  if (keys_.size() > bounds_.keys) {
    answered_.erase(keys_.front());
    keys_.pop_front();
  }
}

Outcome Catalog::Decide(const Command& command) {
  if (command.action == Action::kRegister) return Register(command);
  const Member* const known = Find(command.member.id);
  if (known == nullptr) {
    return Refused("unknown_member", "id", "no member '" + command.member.id + "' is listed");
  }
  if (auto refused = Unmet(command, *known)) return *refused;
  Member member = *known;
  switch (command.action) {
    case Action::kDrain: (command.by_operator ? member.held_out : member.draining) = true; break;
    case Action::kUndrain: member.held_out = false; break;
    case Action::kSetSize: member.size = command.member.size; break;
    case Action::kSuspect: member.suspect = true; break;
    case Action::kTrust: member.suspect = false; break;
    case Action::kRemove:
    case Action::kExpire:
      member.removed = true;
      member.expired = command.action == Action::kExpire;
      break;
    case Action::kRegister: break;
  }
  if (member == *known) return {"", "", "", revision_, false};
  Outcome outcome = Change(std::move(member));
  if (command.action == Action::kRemove && command.by_operator) confirmed_ = revision_;
  return outcome;
}

Outcome Catalog::Register(const Command& command) {
  Member member = command.member;
  member.draining = member.held_out = member.suspect = member.removed = member.expired = false;
  const Member* before = Find(member.id);
  if (const auto gone = removed_.find(member.id); before == nullptr && gone != removed_.end()) {
    const Member& last = gone->second;
    // A late message of a process that was taken off the list, or that another has followed.
    if (member.incarnation < last.incarnation) {
      return Refused("stale_incarnation", "incarnation",
                     "a process of " + std::to_string(last.incarnation) + " was listed after this one");
    }
    // A process removed by word stays so. One of an unstated start (0) may be any.
    if (!last.expired && member.incarnation == last.incarnation && member.incarnation != 0) {
      return Refused("removed", "incarnation", "this process was removed; a new one may register");
    }
    member.held_out = last.expired && last.held_out;  // a crash ends no drain of operators; a removal does
  }
  if (before != nullptr) {
    if (member.incarnation < before->incarnation) {
      return Refused("stale_incarnation", "incarnation",
                     "the listed process is of " + std::to_string(before->incarnation));
    }
    if (auto refused = Unmet(command, *before)) return *refused;
    const bool same = member.incarnation == before->incarnation;
    if (same && member.address != before->address) {
      return Refused("address_conflict", "address",
                     "a process of the same start is listed at " + before->address);
    }
    member.held_out = before->held_out;  // operators' word outlives the process
    member.draining = same && before->draining;
    member.revision = before->revision;
    if (member == *before) return {"", "", "", revision_, false};
  }
  return Change(std::move(member));
}

Outcome Catalog::Change(Member member) {
  member.revision = ++revision_;
  history_.push_back(member);
  if (member.removed) {
    removed_[member.id] = member;
    members_.erase(member.id);
  } else {
    removed_.erase(member.id);
    members_[member.id] = std::move(member);
  }
  if (history_.size() > bounds_.history) {
    const Member& oldest = history_.front();
    const auto gone = removed_.find(oldest.id);
    if (gone != removed_.end() && gone->second.revision == oldest.revision) removed_.erase(gone);
    history_.pop_front();
  }
  return {"", "", "", revision_, true};
}

std::optional<std::vector<const Member*>> Catalog::Since(Revision after) const {
  if (!Knows(after)) return std::nullopt;
  std::vector<const Member*> changed;
  std::unordered_set<std::string_view> seen;
  for (auto at = history_.rbegin(); at != history_.rend() && at->revision > after; ++at) {
    if (seen.insert(at->id).second) changed.push_back(&*at);
  }
  std::reverse(changed.begin(), changed.end());
  return changed;
}

std::string Catalog::Snapshot() const {
  Writer to;
  to.Text(epoch_);
  to.Signed(revision_);
  to.Signed(confirmed_);
  to.Number(members_.size());
  for (const auto& [id, member] : members_) Write(to, member);
  to.Number(history_.size());
  for (const Member& member : history_) Write(to, member);
  to.Number(keys_.size());
  for (const std::string& key : keys_) {
    const Answered& answered = answered_.at(key);
    to.Text(key);
    to.Text(answered.what);
    to.Signed(answered.revision);
  }
  return to.Take();
}

std::optional<Catalog> Catalog::FromSnapshot(std::string_view bytes, Bounds bounds, std::string& why) {
  Reader from(bytes);
  std::string epoch = from.Text();
  Catalog catalog(std::move(epoch), from.Signed(), bounds);
  catalog.confirmed_ = from.Signed();
  for (std::uint64_t left = from.Number(); left > 0 && from.ok(); --left) {
    Member member = ReadMember(from);
    std::string id = member.id;
    catalog.members_.emplace(std::move(id), std::move(member));
  }
  Revision last = 0;
  for (std::uint64_t left = from.Number(); left > 0 && from.ok(); --left) {
    Member member = ReadMember(from);
    if (last != 0 && member.revision != last + 1)
      return why = "revisions are missing in its history", std::nullopt;
    last = member.revision;
    if (member.removed) {
      catalog.removed_[member.id] = member;
    } else {
      catalog.removed_.erase(member.id);
    }
    catalog.history_.push_back(std::move(member));
  }
  for (std::uint64_t left = from.Number(); left > 0 && from.ok(); --left) {
    std::string key = from.Text(), what = from.Text();
    catalog.answered_[key] = {std::move(what), from.Signed()};
    catalog.keys_.push_back(std::move(key));
  }
  if (!from.done()) return why = "it is cut short or too long", std::nullopt;
  if (last != 0 && last != catalog.revision_)
    return why = "its history ends at another revision", std::nullopt;
  return catalog;
}

std::string ToRecord(const Command& command) {
  Writer to;
  to.Number(static_cast<std::uint64_t>(command.action), 1);
  to.Number(
      command.by_operator | command.if_revision.has_value() << 1 | command.if_incarnation.has_value() << 2,
      1);
  to.Text(command.key);
  Write(to, command.member);
  to.Signed(command.if_revision.value_or(0));
  to.Signed(command.if_incarnation.value_or(0));
  return to.Take();
}

std::optional<Command> CommandFromRecord(std::string_view bytes) {
  Reader from(bytes);
  Command command;
  const std::uint64_t action = from.Number(1), flags = from.Number(1);
  command.action = static_cast<Action>(action);
  command.by_operator = flags & 1;
  command.key = from.Text();
  command.member = ReadMember(from);
  const Revision revision = from.Signed();
  const Incarnation incarnation = from.Signed();
  if (flags & 2) command.if_revision = revision;
  if (flags & 4) command.if_incarnation = incarnation;
  if (!from.done() || action > static_cast<std::uint64_t>(Action::kExpire)) return std::nullopt;
  return command;
}

}  // namespace gateway::registry
