// The random number generator of a Policy. The same seed gives the same sequence on every platform.
#ifndef GATEWAY_POLICY_RANDOM_SOURCE_HPP_
#define GATEWAY_POLICY_RANDOM_SOURCE_HPP_

#include <cstddef>
#include <cstdint>
#include <random>

namespace gateway::policy {

// A seeded generator of uniformly distributed numbers.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Returns a number in [0, 1), a multiple of 1 / 2^53 = 1 / 9007199254740992.
  double Uniform() { return static_cast<double>(engine_() >> 11) / 9007199254740992.0; }

  // Returns an integer in [0, count). `count` must be positive.
  std::size_t Index(std::size_t count) { return engine_() % count; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RANDOM_SOURCE_HPP_
