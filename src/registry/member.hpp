// Member of the list: a server process to which gateways may send requests.
#ifndef GATEWAY_REGISTRY_MEMBER_HPP_
#define GATEWAY_REGISTRY_MEMBER_HPP_

#include <cstdint>
#include <string>

#include "base/millis.hpp"

namespace gateway::registry {

// Version of the complete list. Each accepted change increases it by one.
using Revision = std::int64_t;

// Start time of a member's process (Unix time in ms). A higher value denotes a later process. 0 means that
// the start time is not stated.
using Incarnation = std::int64_t;

enum class MemberPhase { kUp, kDraining, kRemoved };

struct Member {
  std::string id;
  std::string address;  // "10.1.0.18:3000"
  std::string zone;
  std::string machine_type;
  std::string cell;     // JSON value that gateways compare as text; empty if there is none
  std::string version;  // version of the software that the process runs
  double size = 1;      // capacity relative to other members
  // Time between a renewal and the expiry of the lease. If the value is 0, the member has no lease and is
  // listed until it is removed explicitly.
  base::Millis lease_duration = 0;
  Incarnation incarnation = 0;
  bool draining = false;             // requested by the process itself; ends when the process is replaced
  bool drained_by_operator = false;  // survives restarts of the process
  bool suspect = false;              // the lease has expired; the member is removed unless it renews
  bool removed = false;
  bool expired = false;   // removed because the lease expired; the same process may register again
  Revision revision = 0;  // revision of the member's last change

  bool operator==(const Member&) const = default;

  MemberPhase phase() const {
    if (removed) return MemberPhase::kRemoved;
    return draining || drained_by_operator ? MemberPhase::kDraining : MemberPhase::kUp;
  }
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_MEMBER_HPP_
