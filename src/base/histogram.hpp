// A histogram of bounded memory and bounded relative error, after Gil Tene's HDR histogram: equal buckets
// within each power of two. Debian 12 packages that library for Java and Go only (docs/parts.md).
#ifndef GATEWAY_BASE_HISTOGRAM_HPP_
#define GATEWAY_BASE_HISTOGRAM_HPP_

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace gateway::base {

// Counts integers from 0 to 2^41 - 1 with a relative error of at most 1/32; larger ones count as the largest.
// Takes 9.3 KB. To be used in one thread at a time.
class Histogram {
 public:
  void Add(std::uint64_t value, std::uint64_t times = 1) {
    counts_[Bucket(value)] += times;
    count_ += times;
    sum_ += static_cast<double>(value) * static_cast<double>(times);
    if (value > max_) max_ = value;
  }

  void Merge(const Histogram& other) {
    for (std::size_t i = 0; i < kBuckets; ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    sum_ += other.sum_;
    if (other.max_ > max_) max_ = other.max_;
  }

  std::uint64_t count() const { return count_; }
  double sum() const { return sum_; }
  double mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
  std::uint64_t max() const { return max_; }

  // Returns the upper end of the lowest bucket that has `share` (0 to 1) of all values in it or below; 0
  // without values.
  std::uint64_t Quantile(double share) const {
    const double wanted = share * static_cast<double>(count_);
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      seen += counts_[i];
      if (seen > 0 && static_cast<double>(seen) >= wanted) return UpperEnd(i) < max_ ? UpperEnd(i) : max_;
    }
    return max_;
  }

  // Whether at least 10 values lie beyond the quantile, as an estimate of it needs.
  bool SupportsQuantile(double share) const { return static_cast<double>(count_) * (1 - share) >= 10; }

  // The number of values up to `value`, to the accuracy of a bucket.
  std::uint64_t CountAtMost(std::uint64_t value) const {
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < kBuckets && UpperEnd(i) <= value; ++i) seen += counts_[i];
    return seen;
  }

 private:
  static constexpr int kBits = 5;  // 32 buckets for each power of two
  static constexpr int kMaxBits = 41;
  static constexpr std::size_t kBuckets = static_cast<std::size_t>(kMaxBits - kBits + 1) << kBits;

  static std::size_t Bucket(std::uint64_t value) {
    constexpr std::uint64_t kMax = (std::uint64_t{1} << kMaxBits) - 1;
    if (value > kMax) value = kMax;
    const int shift = std::max(0, static_cast<int>(std::bit_width(value)) - kBits - 1);
    return (static_cast<std::size_t>(shift) << kBits) + static_cast<std::size_t>(value >> shift);
  }

  static std::uint64_t UpperEnd(std::size_t bucket) {
    constexpr std::size_t kBucketsPerPower = std::size_t{1} << kBits;
    if (bucket < 2 * kBucketsPerPower) return bucket;
    const std::size_t shift = (bucket >> kBits) - 1;
    return ((static_cast<std::uint64_t>(bucket - (shift << kBits)) + 1) << shift) - 1;
  }

  std::array<std::uint64_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
  std::uint64_t max_ = 0;
  double sum_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_HISTOGRAM_HPP_
