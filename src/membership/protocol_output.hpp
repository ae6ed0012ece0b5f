// What the membership protocol asks its owner to do, and reports to it.
#ifndef GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_
#define GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_

#include <optional>
#include <string>
#include <vector>

#include "membership/member.hpp"

namespace gateway::membership {

struct Datagram {
  Address to;
  std::string bytes;  // kMaxDatagramBytes at most
};

struct StatusChange {
  std::string name;
  MemberStatus status = MemberStatus::kAlive;
  Incarnation incarnation = 0;
};

struct ProtocolOutput {
  std::vector<Datagram> datagrams;  // to be sent
  std::vector<StatusChange> status_changes;
  // A member to exchange the whole state with, over a connection. Where that fails, updates take longer.
  std::optional<Address> sync_with;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_PROTOCOL_OUTPUT_HPP_
