// Members of the group, and the updates about members that gateways exchange.
#ifndef GATEWAY_MEMBERSHIP_MEMBER_HPP_
#define GATEWAY_MEMBERSHIP_MEMBER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.hpp"

namespace gateway::membership {

inline constexpr std::size_t kMaxNameBytes = 24;

// Orders the updates about a member: an update with a higher incarnation is newer. The upper 48 bits are the
// start time of the member's process (Unix time in ms). If other members know a later start time for this
// name, for example because the clock was set back, the member uses a higher value instead. The lower 16 bits
// count the member's refutations.
using Incarnation = std::uint64_t;
inline constexpr int kRefutationBits = 16;

struct Address {  // IPv4
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes a generated 0 for a pointer
  auto operator<=>(const Address&) const = default;
};

// If two updates have the same incarnation, the update with the higher status takes precedence. The values
// are part of the wire format.
enum class MemberStatus : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

struct Member {
  std::string name;
  Address address;
  Incarnation incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;
  base::Millis status_since = 0;  // time of the last change of `status`, on the local clock
  // Names of the members that suspect this member independently of each other, sorted. Empty unless this
  // member is suspect. Never contains this member.
  std::vector<std::string> suspectors;

  // Returns whether the member is alive. A suspect counts as alive until its suspicion times out.
  bool IsAlive() const { return status <= MemberStatus::kSuspect; }
};

// A report about the status of a member, which members pass on to each other.
struct GossipUpdate {
  std::string name;
  Address address;
  Incarnation incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;
  std::string suspector;  // kSuspect and kDead: the reporting member; may be empty
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBER_HPP_
