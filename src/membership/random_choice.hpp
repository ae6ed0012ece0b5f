// Random choices of the membership protocol. The caller seeds the random engine.
#ifndef GATEWAY_MEMBERSHIP_RANDOM_CHOICE_HPP_
#define GATEWAY_MEMBERSHIP_RANDOM_CHOICE_HPP_

#include <cstddef>
#include <random>

namespace gateway::membership {

using RandomEngine = std::mt19937_64;

// Returns a number in [0, 1).
inline double RandomFraction(RandomEngine& random) {
  constexpr double kTwoToThe53 = 9007199254740992.0;
  return static_cast<double>(random() >> 11) / kTwoToThe53;
}

// Returns an index in [0, size). `size` must be positive.
inline std::size_t RandomIndex(RandomEngine& random, std::size_t size) { return random() % size; }

// Returns a factor in [1 - spread, 1 + spread).
inline double Jitter(RandomEngine& random, double spread) {
  return 1 - spread + 2 * spread * RandomFraction(random);
}

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_RANDOM_CHOICE_HPP_
