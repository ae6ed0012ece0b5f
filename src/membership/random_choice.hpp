// Random choices of the membership protocol, from an engine that the caller seeds.
#ifndef GATEWAY_MEMBERSHIP_RANDOM_CHOICE_HPP_
#define GATEWAY_MEMBERSHIP_RANDOM_CHOICE_HPP_

#include <cstddef>
#include <random>

namespace gateway::membership {

using RandomEngine = std::mt19937_64;

// From 0 to below 1.
inline double RandomFraction(RandomEngine& random) {
  constexpr double kTwoToThe53 = 9007199254740992.0;
  return static_cast<double>(random() >> 11) / kTwoToThe53;
}

// From 0 to below `size`, which must be above 0.
inline std::size_t RandomIndex(RandomEngine& random, std::size_t size) { return random() % size; }

// A factor within `spread` of 1 on either side.
inline double Jitter(RandomEngine& random, double spread) {
  return 1 - spread + 2 * spread * RandomFraction(random);
}

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_RANDOM_CHOICE_HPP_
