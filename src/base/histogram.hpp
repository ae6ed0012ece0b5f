// A histogram with bounded memory and bounded relative error, based on Gil Tene's HdrHistogram: each power of
// two is divided into buckets of equal width. Implemented here because Debian 12 packages that library for
// Java and Go only (docs/parts.md).
#ifndef GATEWAY_BASE_HISTOGRAM_HPP_
#define GATEWAY_BASE_HISTOGRAM_HPP_

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace gateway::base {

// Counts integers from 0 to 2^41 - 1 with a relative error of at most 1/32. Larger values are counted as
// 2^41 - 1. An object takes 9.3 KB. Not thread-safe.
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

  // Returns an upper bound of the given quantile: at least the fraction `quantile` (0 to 1) of all values is
  // less than or equal to it. The bound is the upper end of a bucket, or the maximum value if the maximum is
  // lower. Returns 0 if there are no values.
  std::uint64_t Quantile(double quantile) const {
    const double target_count = quantile * static_cast<double>(count_);
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      cumulative_count += counts_[i];
      if (cumulative_count > 0 && static_cast<double>(cumulative_count) >= target_count) {
        return UpperEnd(i) < max_ ? UpperEnd(i) : max_;
      }
    }
    return max_;
  }

  // Returns whether at least 10 values lie above the given quantile. With fewer values above the quantile,
  // Quantile() is a poor estimate.
  bool SupportsQuantile(double quantile) const { return static_cast<double>(count_) * (1 - quantile) >= 10; }

  // Returns the number of values in the buckets whose upper end is at most `value`. Values of the bucket that
  // contains `value` are therefore not counted, unless `value` is the upper end of this bucket.
  std::uint64_t CountAtMost(std::uint64_t value) const {
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < kBuckets && UpperEnd(i) <= value; ++i) cumulative_count += counts_[i];
    return cumulative_count;
  }

 private:
  static constexpr int kSubBucketBits = 5;  // 32 buckets for each power of two
  static constexpr int kMaxValueBits = 41;
  static constexpr std::size_t kBuckets = static_cast<std::size_t>(kMaxValueBits - kSubBucketBits + 1)
                                          << kSubBucketBits;

  static std::size_t Bucket(std::uint64_t value) {
    constexpr std::uint64_t kMaxValue = (std::uint64_t{1} << kMaxValueBits) - 1;
    if (value > kMaxValue) value = kMaxValue;
    const int shift = std::max(0, static_cast<int>(std::bit_width(value)) - kSubBucketBits - 1);
    return (static_cast<std::size_t>(shift) << kSubBucketBits) + static_cast<std::size_t>(value >> shift);
  }

  static std::uint64_t UpperEnd(std::size_t bucket) {
    constexpr std::size_t kBucketsPerPower = std::size_t{1} << kSubBucketBits;
    if (bucket < 2 * kBucketsPerPower) return bucket;
    const std::size_t shift = (bucket >> kSubBucketBits) - 1;
    return ((static_cast<std::uint64_t>(bucket - (shift << kSubBucketBits)) + 1) << shift) - 1;
  }

  std::array<std::uint64_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
  std::uint64_t max_ = 0;
  double sum_ = 0;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_HISTOGRAM_HPP_
