#include "gateway/repeat_detection.hpp"

#include <utility>

#include "policy/hash.hpp"

namespace gateway::policy {
namespace {

constexpr std::uint64_t kSecondHashBasis = 0x9ae16a3b2f90404fULL;

}  // namespace

RequestDigest DigestOf(std::string_view request_id) {
  return {Hash(request_id), Hash(request_id, kSecondHashBasis)};
}

void RepeatDetection::Remember(const RequestDigest& id, Millis now) {
  const bool full = current_.size() >= max_ids_ / 2;
  if (full || now - current_since_ >= kRetentionMs) DropOldGeneration(now);
  current_.insert(id);
}

void RepeatDetection::DropOldGeneration(Millis now) {
  previous_ = std::exchange(current_, {});
  current_since_ = now;
}

void RepeatDetection::Forget(const RequestDigest& id) {
  current_.erase(id);
  previous_.erase(id);
}

bool RepeatDetection::Contains(const RequestDigest& id) const {
  return current_.contains(id) || previous_.contains(id);
}

std::vector<RequestDigest> RepeatDetection::Ids() const {
  std::vector<RequestDigest> ids(previous_.begin(), previous_.end());
  ids.insert(ids.end(), current_.begin(), current_.end());
  return ids;
}

}  // namespace gateway::policy
