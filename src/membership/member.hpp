// Members of the group, and the updates about them that gateways exchange.
#ifndef GATEWAY_MEMBERSHIP_MEMBER_HPP_
#define GATEWAY_MEMBERSHIP_MEMBER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.hpp"

namespace gateway::membership {

inline constexpr std::size_t kMaxNameBytes = 24;

// Orders what is said of a member: a higher one is newer. The first 48 bits are the start of its process
// (Unix time in ms, or above what others last knew of the name), the last 16 count its refutations.
using Incarnation = std::uint64_t;
inline constexpr int kRefutationBits = 16;

struct Address {  // IPv4
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in it for a pointer
  auto operator<=>(const Address&) const = default;
};

// Of the same incarnation, a higher status overrides a lower one. The values are on the wire.
enum class MemberStatus : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

struct Member {
  std::string name;
  Address address;
  Incarnation incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;
  base::Millis status_since = 0;  // by the own clock
  // Members that suspect it independently of each other, sorted; empty unless it is suspect. Never itself.
  std::vector<std::string> suspectors;

  // Suspects count as alive until their suspicion times out.
  bool IsAlive() const { return status <= MemberStatus::kSuspect; }
};

// What one member says of another.
struct GossipUpdate {
  std::string name;
  Address address;
  Incarnation incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;
  std::string suspector;  // of kSuspect and kDead: who says so; may be empty
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBER_HPP_
