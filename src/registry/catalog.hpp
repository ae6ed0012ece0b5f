// The list itself, as a deterministic state machine: commands in, revisions out. The same commands in the
// same order give the same catalog on every machine, so a command is applied only once it is durable. No I/O,
// no clock and no randomness. docs/design/registry.md has the reasons.
#ifndef GATEWAY_REGISTRY_CATALOG_HPP_
#define GATEWAY_REGISTRY_CATALOG_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "registry/command.hpp"
#include "registry/idempotency_table.hpp"
#include "registry/member.hpp"

namespace gateway::registry {

// How much of the past is retained.
struct RetentionLimits {
  std::size_t changes = 100000;          // revisions from which a watch can continue
  std::size_t idempotency_keys = 10000;  // requests whose result is known
};

// Not thread-safe.
class Catalog {
 public:
  // `epoch` identifies this history for ever; `initial_revision` is the revision before its first change. A
  // service that lost its state begins a new epoch, with an initial revision above all that the lost one can
  // have reached.
  Catalog(std::string epoch, Revision initial_revision, RetentionLimits limits = {});

  // Applies the command. Every accepted change makes exactly one new revision; a failed command makes none.
  CommandResult Apply(const Command& command);

  const std::string& epoch() const { return epoch_; }
  Revision revision() const { return revision_; }
  // Oldest revision from which ChangedSince() has an answer: older ones are compacted.
  Revision oldest() const { return history_.empty() ? revision_ : history_.front().revision - 1; }
  // Whether ChangedSince() has an answer for this revision.
  bool HasHistorySince(Revision after) const { return after >= oldest() && after <= revision_; }
  // Revision of the last removal by operators; 0: none. Gateways accept a list that lost many members only if
  // a removal by operators explains it.
  Revision last_operator_removal() const { return last_operator_removal_; }
  const std::map<std::string, Member>& members() const { return members_; }
  // Returns null if no such member is listed. Valid until the next Apply().
  const Member* Find(const std::string& id) const;

  // The delta from a revision: the newest state of each member that changed after it, removed members
  // included, in the order of these changes. Returns nothing if the revision is compacted or in the future.
  // Valid until the next Apply().
  std::optional<std::vector<const Member*>> ChangedSince(Revision after) const;
  // The member's state after each retained change, oldest first.
  const std::deque<Member>& history() const { return history_; }

  // The whole state in binary form.
  std::string Snapshot() const;
  // Returns nothing, and the reason in `error`, if the bytes are no complete snapshot.
  static std::optional<Catalog> FromSnapshot(std::string_view bytes, RetentionLimits limits,
                                             std::string& error);

 private:
  CommandResult Execute(const Command& command);
  CommandResult Register(const Command& command);
  CommandResult RegisterListed(const Command& command, Member member, const Member& listed);
  CommandResult Commit(Member member);
  void CompactHistory();
  bool ReadHistory(ByteReader& reader, std::string& error);

  std::string epoch_;
  Revision revision_;
  Revision last_operator_removal_ = 0;
  RetentionLimits limits_;
  std::map<std::string, Member> members_;            // ordered, so that snapshots are reproducible
  std::deque<Member> history_;                       // as they were after each change
  std::unordered_map<std::string, Member> removed_;  // those whose removal is in the history
  IdempotencyTable results_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_CATALOG_HPP_
