// Hash functions with the same results in every gateway and every build.
#ifndef GATEWAY_POLICY_HASH_HPP_
#define GATEWAY_POLICY_HASH_HPP_

#include <cstdint>
#include <string_view>

namespace gateway::policy {

// Returns the FNV-1a hash with a finalizer. std::hash is not used, since its results may differ between
// builds. Gateways of different builds would then order the endpoints differently.
inline std::uint64_t Hash(std::string_view text, std::uint64_t hash = 1469598103934665603ULL) {
  for (const unsigned char character : text) hash = (hash ^ character) * 1099511628211ULL;
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33);
}

// Maps a hash to a fraction strictly between 0 and 1. Uses 53 bits, as many as a double represents exactly;
// 9007199254740992 is 2^53.
inline double HashToFraction(std::uint64_t hash) {
  hash *= 0x9e3779b97f4a7c15ULL;
  hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
  return (static_cast<double>((hash ^ (hash >> 32)) >> 11) + 0.5) / 9007199254740992.0;
}

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_HASH_HPP_
