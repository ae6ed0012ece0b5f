#include "proxy/overload/memory_monitor.hpp"

#include <algorithm>

namespace gateway::proxy {
namespace {

// Between two measurements, the memory can grow by what the event loop reads and parses in this time.
constexpr Millis kMeasurementIntervalMs = 0.2;
// The shares of the limit above which freed memory is returned to the system, and of the levels of pressure.
// The rest of the limit is for the requests and responses that can't be given up.
constexpr double kReturnShare = 0.375;
constexpr double kHighShare = 0.4375;
constexpr double kCriticalShare = 0.5625;
constexpr double kEmergencyShare = 0.75;
// Freed memory is returned at most once in an interval, which doubles while there is little to return: the
// allocator searches the heap each time.
constexpr Millis kMinReturnIntervalMs = 25;
constexpr Millis kMaxReturnIntervalMs = 1600;
constexpr double kLittleShare = 1.0 / 64;

}  // namespace

MemoryPressure MemoryMonitor::Pressure(Millis now) {
  if (memory_ == nullptr) return MemoryPressure::kNone;
  if (now >= next_measurement_at_) Measure(now);
  if (allocations_fail_ || Exceeds(kEmergencyShare)) return MemoryPressure::kEmergency;
  if (Exceeds(kCriticalShare)) return MemoryPressure::kCritical;
  return Exceeds(kHighShare) ? MemoryPressure::kHigh : MemoryPressure::kNone;
}

bool MemoryMonitor::Exceeds(double share) const {
  return static_cast<double>(resident_bytes_) > share * static_cast<double>(limit_bytes_);
}

void MemoryMonitor::Measure(Millis now) {
  next_measurement_at_ = now + kMeasurementIntervalMs;
  resident_bytes_ = memory_->ResidentBytes();
  allocations_fail_ = memory_->AllocationsFail();
  const bool much_is_used = allocations_fail_ || Exceeds(kReturnShare);
  if (much_is_used && now >= next_return_at_) ReturnFreedMemory(now);
}

void MemoryMonitor::ReturnFreedMemory(Millis now) {
  const std::size_t bytes_before = resident_bytes_;
  memory_->ReturnFreedMemory();
  resident_bytes_ = memory_->ResidentBytes();
  const std::size_t returned_bytes = bytes_before - std::min(bytes_before, resident_bytes_);
  const bool little = static_cast<double>(returned_bytes) < kLittleShare * static_cast<double>(limit_bytes_);
  return_interval_ = little ? std::clamp(2 * return_interval_, kMinReturnIntervalMs, kMaxReturnIntervalMs)
                            : kMinReturnIntervalMs;
  next_return_at_ = now + return_interval_;
}

}  // namespace gateway::proxy
