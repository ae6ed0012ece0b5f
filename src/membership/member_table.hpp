// Table of all known members. Merges updates about members.
#ifndef GATEWAY_MEMBERSHIP_MEMBER_TABLE_HPP_
#define GATEWAY_MEMBERSHIP_MEMBER_TABLE_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/member.hpp"
#include "membership/membership_options.hpp"
#include "membership/protocol_output.hpp"

namespace gateway::membership {

// Merging is commutative, associative and idempotent, so the result does not depend on the order of updates.
// Not thread-safe.
class MemberTable {
 public:
  // Creates a table that contains only the local member.
  MemberTable(const MembershipOptions& options, const std::string& own_name, Address address,
              Incarnation incarnation);

  // Returns all members by name, including the local member.
  const std::map<std::string, Member>& members() const { return members_; }
  const Member& self() const { return members_.at(own_name_); }
  // Returns null if the member is not known. The pointer is valid until the member is removed.
  const Member* Find(const std::string& name) const;
  // Returns the members in the order in which they became known.
  const std::vector<Member*>& in_discovery_order() const { return in_discovery_order_; }
  // Returns the number of alive members, including suspects.
  std::size_t alive_count() const { return alive_count_; }
  // Returns whether every member is alive and none is suspect.
  bool all_healthy() const { return unhealthy_count_ == 0; }

  void SetOwnIncarnation(Incarnation incarnation) { members_.at(own_name_).incarnation = incarnation; }

  // Merges an update about another member. Returns whether the table changed. If so, the caller should
  // disseminate the update.
  bool Merge(base::Millis now, const GossipUpdate& update, ProtocolOutput& out);
  // Marks each suspect as dead if its suspicion timeout has elapsed. Returns the updates about these members.
  std::vector<GossipUpdate> ExpireSuspicions(base::Millis now, ProtocolOutput& out);
  // Removes each member that died or left more than the retention time ago.
  void RemoveExpiredMembers(base::Millis now);
  // Postpones the suspicion timeouts and the removal of members by `delay`.
  void DelayTimeouts(base::Millis delay);

 private:
  void ApplyUpdate(base::Millis now, Member& member, const GossipUpdate& update, ProtocolOutput& out);

  const MembershipOptions options_;
  const std::string own_name_;
  std::map<std::string, Member> members_;  // ordered, so that random choices are reproducible
  std::vector<Member*> in_discovery_order_;
  std::size_t alive_count_ = 1;
  std::size_t unhealthy_count_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBER_TABLE_HPP_
