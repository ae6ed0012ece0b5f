// Measures and reduces the memory of the process.
#ifndef GATEWAY_PROXY_OVERLOAD_PROCESS_MEMORY_HPP_
#define GATEWAY_PROXY_OVERLOAD_PROCESS_MEMORY_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>

namespace gateway::proxy {

// The memory of a process as the memory monitor sees it. Tests replace it.
class ProcessMemory {
 public:
  virtual ~ProcessMemory() = default;
  // Returns the resident memory in bytes, or 0 if the system does not report it.
  virtual std::size_t ResidentBytes() = 0;
  // Returns freed memory to the system. Takes time proportional to the size of the heap.
  virtual void ReturnFreedMemory() = 0;
  // Returns whether an allocation has failed since the last call that returned false, and the memory that was
  // set aside for this case could not be set aside again yet.
  virtual bool AllocationsFail() = 0;
  // The number of allocations that have failed, since the start of the process.
  virtual std::uint64_t allocation_failures() const = 0;
};

// Configures the allocator so that freed memory can be returned to the system, and sets `reserve_bytes`
// aside: when an allocation fails, the reserve is freed and the allocation is repeated. To be called once per
// process, before the first connection.
std::shared_ptr<ProcessMemory> ManageProcessMemory(std::size_t reserve_bytes);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_OVERLOAD_PROCESS_MEMORY_HPP_
