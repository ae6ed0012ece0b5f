// Accounts for the memory of incomplete bodies on all connections to clients, or on all connections to
// endpoints.
#ifndef GATEWAY_PROXY_BUFFER_BUDGET_HPP_
#define GATEWAY_PROXY_BUFFER_BUDGET_HPP_

#include <cstddef>
#include <utility>

namespace gateway::proxy {

// The sum of all charges, and its limit. The sum may exceed the limit. While it does, the gateway streams
// bodies that it would otherwise buffer.
class BufferBudget {
 public:
  explicit BufferBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  bool Exceeded() const { return used_bytes_ > limit_bytes_; }

 private:
  friend class BufferCharge;
  const std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0;
};

// The bytes that one connection uses of a budget. The owner must set the charge to 0 before it discards the
// buffer. The destructor does not do so, because a connection object may outlive the budget.
class BufferCharge {
 public:
  explicit BufferCharge(BufferBudget& budget) : budget_(budget) {}
  const BufferBudget& budget() const { return budget_; }
  // Sets the charge to `bytes`.
  void Set(std::size_t bytes) {
    const std::size_t previous_bytes = std::exchange(bytes_, bytes);
    budget_.used_bytes_ = budget_.used_bytes_ - previous_bytes + bytes;
  }

 private:
  BufferBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BUFFER_BUDGET_HPP_
