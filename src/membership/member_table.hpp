// What is known of each member, and how updates change it.
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

// Merging updates is commutative, associative and idempotent: the result does not depend on their order. Not
// thread-safe.
class MemberTable {
 public:
  // Begins with the own member.
  MemberTable(const MembershipOptions& options, const std::string& own_name, Address address,
              Incarnation incarnation);

  // The own member included, by name.
  const std::map<std::string, Member>& members() const { return members_; }
  const Member& self() const { return members_.at(own_name_); }
  // Returns null if no such member is known. Valid until it is removed.
  const Member* Find(const std::string& name) const;
  // The members in the order in which they became known.
  const std::vector<Member*>& by_arrival() const { return by_arrival_; }
  // Suspects included.
  std::size_t alive_count() const { return alive_count_; }
  // Whether every member is alive and none is suspect.
  bool all_healthy() const { return unhealthy_count_ == 0; }

  void SetOwnIncarnation(Incarnation incarnation) { members_.at(own_name_).incarnation = incarnation; }

  // Merges an update about another member. Returns whether anything has changed, so that it is to be passed
  // on.
  bool Merge(base::Millis now, const GossipUpdate& update, ProtocolOutput& out);
  // Declares the members dead whose suspicion has timed out, and returns the updates about them.
  std::vector<GossipUpdate> ExpireSuspicions(base::Millis now, ProtocolOutput& out);
  // Removes members that are dead or have left for the retention time.
  void ForgetDead(base::Millis now);
  // Starts the time in each member's status later.
  void DelayTimeouts(base::Millis delay);

 private:
  void Set(base::Millis now, Member& member, const GossipUpdate& update, ProtocolOutput& out);

  const MembershipOptions options_;
  const std::string own_name_;
  std::map<std::string, Member> members_;  // ordered, so that random choices are reproducible
  std::vector<Member*> by_arrival_;
  std::size_t alive_count_ = 1;
  std::size_t unhealthy_count_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBER_TABLE_HPP_
