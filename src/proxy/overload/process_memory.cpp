#include "proxy/overload/process_memory.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <new>
#include <string_view>

#include "base/file_descriptor.hpp"

namespace gateway::proxy {
namespace {

// Blocks of at least this size are returned to the system when they are freed.
constexpr int kMinMappedBlockBytes = 64 * 1024;
// The heap shrinks when this much is free at its end.
constexpr int kHeapTrimBytes = 256 * 1024;
constexpr std::size_t kMaxReserveBlocks = 64;
// A sanitizer keeps freed memory and needs memory of its own, so the resident memory means nothing.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif
// Smaller than kMinMappedBlockBytes, so that the allocator can take the blocks from freed memory.
constexpr std::size_t kReserveBlockBytes = 32 * 1024;

// Memory that is freed when an allocation fails. Static, because the handler of the language for failed
// allocations has no argument.
class AllocationReserve {
 public:
  void SetSize(std::size_t bytes) {
    block_count_ = std::min(kMaxReserveBlocks, bytes / kReserveBlockBytes);
    Refill();
  }
  // Allocates the missing blocks. Returns whether the reserve is complete.
  bool Refill() {
    for (std::size_t i = 0; i < block_count_; ++i) {
      if (blocks_[i] == nullptr) blocks_[i] = std::malloc(kReserveBlockBytes);
      if (blocks_[i] == nullptr) return false;
    }
    return true;
  }
  // Returns whether there was memory to free.
  bool Free() {
    bool freed = false;
    for (void*& block : blocks_) {
      freed = freed || block != nullptr;
      std::free(block);
      block = nullptr;
    }
    return freed;
  }

 private:
  std::array<void*, kMaxReserveBlocks> blocks_ = {};
  std::size_t block_count_ = 0;
};

AllocationReserve reserve;
bool allocations_fail = false;
std::uint64_t failure_count = 0;

// Called by operator new before it repeats a failed allocation.
void OnAllocationFailure() {
  allocations_fail = true;
  ++failure_count;
  if (!reserve.Free()) throw std::bad_alloc();
}

class SystemProcessMemory final : public ProcessMemory {
 public:
  SystemProcessMemory() : statm_(::open("/proc/self/statm", O_RDONLY | O_CLOEXEC)) {}

  std::size_t ResidentBytes() override {
    if (kSanitized) return 0;
    std::array<char, 128> text;
    const ssize_t size = statm_ ? ::pread(statm_.get(), text.data(), text.size(), 0) : 0;
    if (size <= 0) return 0;
    // The second number is the resident memory in pages.
    std::string_view numbers(text.data(), static_cast<std::size_t>(size));
    numbers.remove_prefix(std::min(numbers.find(' '), numbers.size() - 1) + 1);
    std::size_t pages = 0;
    std::from_chars(numbers.data(), numbers.data() + numbers.size(), pages);
    return pages * page_bytes_;
  }

  void ReturnFreedMemory() override { ::malloc_trim(0); }

  bool AllocationsFail() override {
    if (allocations_fail) allocations_fail = !reserve.Refill();
    return allocations_fail;
  }

  std::uint64_t allocation_failures() const override { return failure_count; }

 private:
  const base::FileDescriptor statm_;
  const std::size_t page_bytes_ = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
};

}  // namespace

std::shared_ptr<ProcessMemory> ManageProcessMemory(std::size_t reserve_bytes) {
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kHeapTrimBytes);
  reserve.SetSize(reserve_bytes);
  std::set_new_handler(OnAllocationFailure);
  return std::make_shared<SystemProcessMemory>();
}

}  // namespace gateway::proxy
