// Detects requests whose ID was used before, so that a request that must not be repeated is executed once.
#ifndef GATEWAY_REPEAT_DETECTION_HPP_
#define GATEWAY_REPEAT_DETECTION_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "gateway/time.hpp"

namespace gateway::policy {

// Identifies a request ID without storing it. Builds of all versions compute the same digest.
struct RequestDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const RequestDigest&) const = default;
};

RequestDigest DigestOf(std::string_view request_id);

// The IDs of requests that an endpoint may have executed, or that another process of this gateway may
// execute.
//
// Remembers each ID for kRetentionMs to 2 * kRetentionMs. If more than `max_ids` come in this time, forgets
// the oldest half of them earlier, so that clients with ever new IDs can't use up the memory. Times are on
// any clock that never goes back.
class RepeatDetection {
 public:
  static constexpr Millis kRetentionMs = 60000;
  // The memory that one ID uses, for the choice of `max_ids`.
  static constexpr std::size_t kBytesPerId = 64;

  explicit RepeatDetection(std::size_t max_ids) : max_ids_(max_ids) {}

  void Remember(const RequestDigest& id, Millis now);
  // Forgets an ID, because no endpoint can have executed its request.
  void Forget(const RequestDigest& id);
  bool Contains(const RequestDigest& id) const;
  std::size_t size() const { return current_.size() + previous_.size(); }
  // Returns all IDs, for another process of this gateway.
  std::vector<RequestDigest> Ids() const;

 private:
  struct DigestHash {
    std::size_t operator()(const RequestDigest& id) const { return static_cast<std::size_t>(id.low); }
  };
  using Generation = std::unordered_set<RequestDigest, DigestHash>;

  void DropOldGeneration(Millis now);

  const std::size_t max_ids_;
  Generation current_;
  Generation previous_;
  Millis current_since_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_REPEAT_DETECTION_HPP_
