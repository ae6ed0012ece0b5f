// Output of the membership protocol: actions that the caller must perform, and status changes.
#ifndef GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_
#define GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_

#include <optional>
#include <string>
#include <vector>

#include "membership/member.hpp"

namespace gateway::membership {

struct Datagram {
  Address to;
  std::string bytes;  // at most kMaxDatagramBytes
};

struct StatusChange {
  std::string name;
  MemberStatus status = MemberStatus::kAlive;
  Incarnation incarnation = 0;
};

struct ProtocolOutput {
  std::vector<Datagram> datagrams;  // datagrams to send
  std::vector<StatusChange> status_changes;
  // Address of a member with which the caller must exchange the complete state over a connection. If the
  // exchange fails, some updates take longer to spread.
  std::optional<Address> sync_with;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_
