// Compares the resident memory of the process with its limit.
#ifndef GATEWAY_PROXY_OVERLOAD_MEMORY_MONITOR_HPP_
#define GATEWAY_PROXY_OVERLOAD_MEMORY_MONITOR_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "proxy/clock.hpp"
#include "proxy/overload/process_memory.hpp"

namespace gateway::proxy {

// How close the process is to its limit. The buffer budget decides what the gateway gives up.
enum class MemoryPressure { kNone, kHigh, kCritical, kEmergency };

// Holds the limit on the memory of the process by the quantity that the limit is about, whatever uses the
// memory. Measures at most once in kMeasurementIntervalMs, when it is called. While much memory is in use,
// also makes the allocator return freed memory. Times are on the clock of Now().
class MemoryMonitor {
 public:
  // `memory` may be null: there is never any pressure then.
  MemoryMonitor(std::shared_ptr<ProcessMemory> memory, std::size_t limit_bytes)
      : memory_(std::move(memory)), limit_bytes_(limit_bytes) {}

  MemoryPressure Pressure(Millis now);
  // Sets whether another process uses a half of the limit.
  void SetShared(bool shared) { limit_bytes_ = shared ? limit_bytes_alone_ / 2 : limit_bytes_alone_; }
  // The resident memory at the last measurement; 0 if there was none.
  std::size_t resident_bytes() const { return resident_bytes_; }
  // The number of allocations that have failed, since the start of the process.
  std::uint64_t allocation_failures() const { return memory_ ? memory_->allocation_failures() : 0; }

 private:
  void Measure(Millis now);
  void ReturnFreedMemory(Millis now);
  bool Exceeds(double share) const;

  std::shared_ptr<ProcessMemory> memory_;
  std::size_t limit_bytes_;
  std::size_t limit_bytes_alone_ = limit_bytes_;
  std::size_t resident_bytes_ = 0;
  bool allocations_fail_ = false;
  Millis next_measurement_at_ = 0;
  Millis next_return_at_ = 0;
  Millis return_interval_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_OVERLOAD_MEMORY_MONITOR_HPP_
