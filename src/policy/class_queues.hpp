// Class queues. Each traffic class has bounded queues for retries, for requests within their tenant's quota
// and for requests beyond it. The classes are scheduled by weighted round-robin with credits.
//
// When a request is released, the credit of each class with queued requests increases by the weight of the
// class, and the credit of the class of the released request decreases by 1. Among the classes with queued
// requests, the class with the largest sum of credit and weight releases the next request.
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

// A queued request is answered this long before its client times out. The margin is two sweep intervals,
// since timers may be late.
constexpr Millis kQueueAnswerMarginMs = 20;

// Returns the queue deadline: the time at which a queued request is answered with a rejection or failure
// instead of being sent. A request may be queued for a quarter of its latency objective, so that enough time
// is left for the attempt, and until kQueueAnswerMarginMs before its client times out.
Millis QueueDeadline(const ActiveRequest& request);

// The queued requests of all classes. Stores pointers to requests, which the caller must remove before it
// destroys them.
class ClassQueues {
 public:
  explicit ClassQueues(const std::vector<TrafficClassSettings>& classes);

  std::size_t size() const { return size_; }

  // Returns whether the queues of the class are full: they contain as many requests as can be sent within the
  // latency objective at the rate `sent_per_second`, plus a fixed minimum.
  bool IsFull(std::size_t class_index, double sent_per_second) const;

  // Returns the last queued request beyond its tenant's quota, or null. If the queues of the class are full,
  // this request is evicted when a request within quota arrives.
  ActiveRequest* LastBeyondQuota(std::size_t class_index) const;

  // Add a request to a queue of its class. Retries are released first, then requests within their tenant's
  // quota, then requests beyond their tenant's quota.
  void Push(ActiveRequest& request);
  void PushRetry(ActiveRequest& request);

  // Removes the request from its queue. Does nothing if it is not queued.
  void Remove(ActiveRequest& request);

  // Appends the requests whose queue deadline has passed to `expired`. Checks every entry, since a request
  // may be queued after requests with later deadlines.
  void CollectExpired(Millis now, std::vector<ActiveRequest*>& expired) const;

  // A set of classes, as a bit mask.
  using ClassMask = std::uint64_t;
  static ClassMask MaskOf(std::size_t class_index) { return ClassMask{1} << class_index; }

  // Returns the class from which the next request is released, ignoring the classes in `skipped`. Returns
  // std::nullopt if no other class has a queued request.
  std::optional<std::size_t> NextClass(ClassMask skipped) const;
  // Returns the next request of the class. The class must have a queued request.
  ActiveRequest& Next(std::size_t class_index);

  // Updates the credits of all classes for the release of a request of the class. Must be called before the
  // request is removed from its queue.
  void RecordRelease(std::size_t class_index);

 private:
  using Queue = std::deque<ActiveRequest*>;
  enum QueueKind { kRetries, kWithinQuota, kBeyondQuota, kQueueKindCount };
  struct Class {
    Millis latency_objective = 0;
    double weight = 0;
    double credit = 0;
    std::array<Queue, kQueueKindCount> queues;  // ordered by priority; the first non-empty queue is served

    std::size_t size() const;
  };

  void PushTo(QueueKind kind, ActiveRequest& request);

  std::vector<Class> classes_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CLASS_QUEUES_HPP_
