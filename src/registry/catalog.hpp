// The list of members as a deterministic state machine, which applies commands and produces revisions. The
// same commands in the same order always produce the same catalog, so the catalog can be recovered by
// applying the logged commands again. Only durable commands may be applied. Does no I/O and uses neither a
// clock nor randomness. See docs/design/registry.md for the rationale.
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

// Limits of the retained history.
struct RetentionLimits {
  std::size_t changes = 100000;          // newest changes to retain; a watch can continue only from these
  std::size_t idempotency_keys = 10000;  // newest idempotency keys whose results to retain
};

// Not thread-safe.
class Catalog {
 public:
  // `epoch` permanently identifies this history of changes. `initial_revision` is the revision before the
  // first change. A service that has lost its state starts a new epoch. The initial revision of the new epoch
  // must be higher than any revision that the previous epoch can have reached.
  Catalog(std::string epoch, Revision initial_revision, RetentionLimits limits = {});

  // Applies the command. Every accepted change creates exactly one revision; a failed command creates none.
  CommandResult Apply(const Command& command);

  const std::string& epoch() const { return epoch_; }
  Revision revision() const { return revision_; }
  // Returns the oldest revision that ChangedSince() supports. Older revisions are compacted.
  Revision oldest_revision() const { return history_.empty() ? revision_ : history_.front().revision - 1; }
  // Returns whether ChangedSince() supports this revision.
  bool HasHistorySince(Revision after) const { return after >= oldest_revision() && after <= revision_; }
  // Returns the revision of the last removal by operators, or 0 if there was none. Gateways accept a list
  // that lacks many members of the previous list only if operators have removed a member since that list.
  Revision last_operator_removal() const { return last_operator_removal_; }
  const std::map<std::string, Member>& members() const { return members_; }
  // Returns null if the member is not listed. The pointer is valid until the next Apply().
  const Member* Find(const std::string& id) const;

  // Returns the delta from the revision `after`: the newest state of each member that changed since then, in
  // the order of the changes. Removed members are included. Returns std::nullopt if the revision is compacted
  // or in the future. The pointers are valid until the next Apply().
  std::optional<std::vector<const Member*>> ChangedSince(Revision after) const;
  // Returns the retained changes, oldest first. Each entry is the state of the changed member after the
  // change.
  const std::deque<Member>& history() const { return history_; }

  // Returns the complete state in binary form.
  std::string Snapshot() const;
  // Returns std::nullopt, and sets `error`, if the bytes are not a complete snapshot.
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
  std::deque<Member> history_;                       // retained changes, oldest first
  std::unordered_map<std::string, Member> removed_;  // by id: members whose removal is still in the history
  IdempotencyTable results_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_CATALOG_HPP_
