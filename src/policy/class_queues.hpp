// Bounded queues of each traffic class (retries, requests within and beyond quota), released by Most Credit
// First.
//
// Each class earns credit by its weight whenever a request is released while it has requests waiting, and
// pays 1 for each of its own. The waiting class with the most credit goes first.
#ifndef GATEWAY_POLICY_CLASS_QUEUES_HPP_
#define GATEWAY_POLICY_CLASS_QUEUES_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "gateway/settings.hpp"
#include "gateway/time.hpp"
#include "policy/active_request.hpp"

namespace gateway::policy {

// Time before the client gives up by which a request has to be answered: two sweeps, since timers may be
// late.
constexpr Millis kQueueAnswerMarginMs = 20;

// The time by which a queued request must have been released. What waited longer would be sent with too
// little of its latency objective left.
Millis QueueDeadline(const ActiveRequest& request);

// Holds pointers to requests of the caller, who removes each before it ends.
class ClassQueues {
 public:
  explicit ClassQueues(const std::vector<TrafficClassSettings>& classes);

  std::size_t size() const { return size_; }

  // Whether the class has as many requests waiting as can be sent within its latency objective.
  bool IsFull(std::size_t class_index, double sent_per_second) const;

  // The last request beyond its tenant's quota, or null: the one to give way when the class is full.
  ActiveRequest* LastBeyondQuota(std::size_t class_index) const;

  // Requests within their tenant's quota come before those beyond it, and retries before both.
  void Push(ActiveRequest& request);
  void PushRetry(ActiveRequest& request);

  // Does nothing if the request is not queued.
  void Remove(ActiveRequest& request);

  // Appends the requests whose queue deadline has passed. Every entry is looked at: one with little time left
  // may stand behind others.
  void CollectExpired(Millis now, std::vector<ActiveRequest*>& expired) const;

  // A set of classes to be passed over.
  using ClassMask = std::uint64_t;
  static ClassMask MaskOf(std::size_t class_index) { return ClassMask{1} << class_index; }

  // The class whose next request goes first, or nothing if no class outside `skipped` has one.
  std::optional<std::size_t> NextClass(ClassMask skipped) const;
  ActiveRequest& Next(std::size_t class_index);

  // Accounts for the release of one request of the class, before it is removed.
  void RecordRelease(std::size_t class_index);

 private:
  using Queue = std::deque<ActiveRequest*>;
  enum QueueKind { kRetries, kWithinQuota, kBeyondQuota, kQueueKinds };
  struct Class {
    Millis latency_objective = 0;
    double weight = 0;
    double credit = 0;
    std::array<Queue, kQueueKinds> queues;  // the first that is not empty goes first

    std::size_t size() const;
  };

  void PushTo(QueueKind kind, ActiveRequest& request);

  std::vector<Class> classes_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CLASS_QUEUES_HPP_
