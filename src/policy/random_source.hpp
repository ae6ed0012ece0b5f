// The random numbers of one Policy: the same seed gives the same sequence on every platform.
#ifndef GATEWAY_POLICY_RANDOM_SOURCE_HPP_
#define GATEWAY_POLICY_RANDOM_SOURCE_HPP_

#include <cstddef>
#include <cstdint>
#include <random>

namespace gateway::policy {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> 11) / 9007199254740992.0; }

  // Uniform in [0, count); `count` must be above 0.
  std::size_t Index(std::size_t count) { return engine_() % count; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RANDOM_SOURCE_HPP_
