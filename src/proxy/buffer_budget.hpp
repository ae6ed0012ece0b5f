// Accounts for the memory that clients make the process hold: heads and bodies of requests, responses, bytes
// that were read ahead, and remembered request IDs.
#ifndef GATEWAY_PROXY_BUFFER_BUDGET_HPP_
#define GATEWAY_PROXY_BUFFER_BUDGET_HPP_

#include <cstddef>
#include <memory>
#include <utility>

#include "proxy/clock.hpp"
#include "proxy/overload/memory_monitor.hpp"

namespace gateway::proxy {

// The sum of all charges, and its limit. The sum may exceed the limit. While it does, or the memory of the
// process is under high pressure, the gateway streams bodies that it would otherwise buffer, reads ahead
// less, and refuses requests with long heads. If the sum exceeds the limit by a quarter, or the pressure is
// critical, the gateway refuses all requests, and ends incomplete ones. Below an emergency, pressure counts
// only if the charges have a part in it: the endpoint list and the learned state may need much memory too.
class BufferBudget {
 public:
  // `process` is the memory that may be used while this process is the only one of the gateway.
  explicit BufferBudget(std::size_t limit_bytes, MemoryMonitor process = MemoryMonitor(nullptr, 0))
      : limit_bytes_(limit_bytes), process_(std::move(process)) {}
  bool Exceeded() { return used_bytes_ > limit_bytes_ || IsUnderPressure(MemoryPressure::kHigh); }
  bool Exhausted() {
    return used_bytes_ > limit_bytes_ + limit_bytes_ / 4 || IsUnderPressure(MemoryPressure::kCritical);
  }
  // Changes the limits, if another process of the gateway begins or ceases to use a half of the memory.
  void SetShared(bool shared) {
    limit_bytes_ = shared ? limit_bytes_alone_ / 2 : limit_bytes_alone_;
    process_.SetShared(shared);
  }
  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t limit_bytes() const { return limit_bytes_; }
  const MemoryMonitor& process() const { return process_; }

 private:
  friend class BufferCharge;
  bool IsUnderPressure(MemoryPressure level) {
    const MemoryPressure pressure = process_.Pressure(Now());
    const bool has_part = used_bytes_ > limit_bytes_ / 8;
    return pressure == MemoryPressure::kEmergency || (pressure >= level && has_part);
  }

  std::size_t limit_bytes_;
  const std::size_t limit_bytes_alone_ = limit_bytes_;
  std::size_t used_bytes_ = 0;
  MemoryMonitor process_;
};

// Empties a string or a vector and frees its memory. An assignment of an empty value keeps the memory.
template <typename Container>
void FreeMemory(Container& container) {
  Container().swap(container);
}

// The bytes that one owner uses of a budget. The destructor releases them.
class BufferCharge {
 public:
  explicit BufferCharge(std::shared_ptr<BufferBudget> budget) : budget_(std::move(budget)) {}
  ~BufferCharge() { Set(0); }
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  BufferBudget& budget() const { return *budget_; }
  std::size_t bytes() const { return bytes_; }
  // Sets the charge to `bytes`.
  void Set(std::size_t bytes) {
    const std::size_t previous_bytes = std::exchange(bytes_, bytes);
    budget_->used_bytes_ = budget_->used_bytes_ - previous_bytes + bytes;
  }

 private:
  const std::shared_ptr<BufferBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BUFFER_BUDGET_HPP_
