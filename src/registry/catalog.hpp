// src/registry: the project's own list service: who serves, by whose word, since which revision. What decides
// has no I/O, no clock and no randomness: Catalog (commands in, revisions out) and Leases (who has lapsed).
// Service is the shell of sockets and disk round them. Uses src/base and src/store.
//
// Catalog: the replicated part. The same commands in the same order give the same catalog on every machine,
// so a command is applied once it is on the disk and never before. docs/design/registry.md says why.
#ifndef GATEWAY_REGISTRY_CATALOG_HPP_
#define GATEWAY_REGISTRY_CATALOG_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/millis.hpp"

namespace gateway::registry {

using Revision = std::int64_t;     // of the whole list; strictly rises
using Incarnation = std::int64_t;  // when a member's process started: Unix time in ms; 0: long ago

struct Member {
  std::string id;
  std::string address;  // "10.1.0.18:3000"
  std::string zone, kind;
  std::string cell;       // JSON, as the gateways compare it; empty: none
  std::string version;    // label of what it runs
  double size = 1;        // relative
  base::Millis term = 0;  // of its lease; 0: listed until it is removed by word
  Incarnation incarnation = 0;
  bool draining = false;  // it said so itself; ends with its process
  bool held_out = false;  // drained by operators; outlives its processes
  bool suspect = false;   // its lease has lapsed
  bool removed = false;
  bool expired = false;   // removed because its lease lapsed: the same process may come back
  Revision revision = 0;  // of its last change
  bool operator==(const Member&) const = default;
  const char* phase() const { return removed ? "removed" : draining || held_out ? "draining" : "up"; }
};

enum class Action : std::uint8_t {
  kRegister,  // new, a new incarnation of a known one, or what changed of it
  kDrain,
  kUndrain,
  kRemove,
  kSetSize,
  kSuspect,  // by Leases, as are the next two
  kTrust,
  kExpire
};

struct Command {
  Action action = Action::kRegister;
  std::string key;           // of the request: a repeated one is answered as the first was; empty: none
  bool by_operator = false;  // else by the member's own process
  Member member;             // `id` of all; `size` of kSetSize; all of kRegister
  std::optional<Revision> if_revision;        // only if the member has not changed since that revision
  std::optional<Incarnation> if_incarnation;  // only if this is its process
  bool operator==(const Command&) const = default;
};

struct Outcome {
  std::string code;       // empty if it was done, else stable: "unknown_member", "stale_incarnation" ...
  std::string field;      // that it is about
  std::string text;       // a sentence
  Revision revision = 0;  // made by it, or the newest where nothing had to change
  bool changed = false;
  bool ok() const { return code.empty(); }
};

struct Bounds {
  std::size_t history = 100000;  // changes that a watch can go back
  std::size_t keys = 10000;      // requests whose outcome is remembered
};

class Catalog {
 public:
  // `epoch` names this history for ever; `first` is the revision before its first change. A service that lost
  // its disk begins with a new epoch and a `first` above all that the lost one can have given.
  Catalog(std::string epoch, Revision first, Bounds bounds = {});

  // Every accepted change makes exactly one new revision.
  Outcome Apply(const Command& command);

  const std::string& epoch() const { return epoch_; }
  Revision revision() const { return revision_; }
  // The oldest revision from which Since() answers.
  Revision oldest() const { return history_.empty() ? revision_ : history_.front().revision - 1; }
  // Whether Since() answers from there.
  bool Knows(Revision after) const { return after >= oldest() && after <= revision_; }
  // Of the last removal that operators ordered: gateways take a list that lost many members only with such a
  // word.
  Revision confirmed() const { return confirmed_; }
  const std::map<std::string, Member>& members() const { return members_; }
  const Member* Find(const std::string& id) const;

  // The newest state of each member that changed since, in the order of these changes, removed ones too;
  // nothing if that is not known any more, or not yet. Valid until the next Apply.
  std::optional<std::vector<const Member*>> Since(Revision after) const;
  // All changes with their revisions, oldest first.
  const std::deque<Member>& history() const { return history_; }

  std::string Snapshot() const;
  // Nothing, and why, if the bytes are not right.
  static std::optional<Catalog> FromSnapshot(std::string_view bytes, Bounds bounds, std::string& why);

 private:
  Outcome Decide(const Command& command);
  Outcome Register(const Command& command);
  Outcome Change(Member member);
  void Remember(const Command& command, const Outcome& outcome);

  std::string epoch_;
  Revision revision_, confirmed_ = 0;
  Bounds bounds_;
  std::map<std::string, Member> members_;            // ordered: what is written must be repeatable
  std::deque<Member> history_;                       // as they were after each change
  std::unordered_map<std::string, Member> removed_;  // those whose removal is in the history
  struct Answered {
    std::string what;  // the command's action and member
    Revision revision = 0;
  };
  std::unordered_map<std::string, Answered> answered_;  // by request key
  std::deque<std::string> keys_;                        // oldest first
};

// A command as a record of the store.
inline constexpr std::uint16_t kCommandVersion = 1, kSnapshotVersion = 1;
std::string ToRecord(const Command& command);
std::optional<Command> CommandFromRecord(std::string_view bytes);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_CATALOG_HPP_
