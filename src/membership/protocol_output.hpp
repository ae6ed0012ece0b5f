// Output of the membership protocol: actions for its owner to perform, and status changes.
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
  // Address of a member with which the owner must exchange the complete state over a connection. The exchange
  // may fail; some updates then take longer to spread.
  std::optional<Address> sync_with;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_
