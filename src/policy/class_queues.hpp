// Bounded queues of each traffic class (retries, requests within and beyond quota), scheduled by weighted
// round-robin with credits.
//
// Whenever a request is released, each class with queued requests earns credit equal to its weight, and the
// class of the released request pays 1. The class with queued requests and the most credit is served next.
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

// Time before the client's timeout by which a request must be answered: two sweep intervals, since timers may
// be late.
constexpr Millis kQueueAnswerMarginMs = 20;

// Returns the time by which a queued request must be released. A request released later would have too little
// of its latency objective left.
Millis QueueDeadline(const ActiveRequest& request);

// The queued requests of all classes. Stores pointers to requests, which the caller must remove before it
// destroys them.
class ClassQueues {
 public:
  explicit ClassQueues(const std::vector<TrafficClassSettings>& classes);

  std::size_t size() const { return size_; }

  // Returns whether the class has as many queued requests as can be sent within its latency objective.
  bool IsFull(std::size_t class_index, double sent_per_second) const;

  // Returns the last queued request beyond its tenant's quota, or null. It is evicted first if the class is
  // full.
  ActiveRequest* LastBeyondQuota(std::size_t class_index) const;

  // Queue a request. Retries are released first, then requests within their tenant's quota, then those beyond
  // it.
  void Push(ActiveRequest& request);
  void PushRetry(ActiveRequest& request);

  // Removes the request from its queue. Does nothing if it is not queued.
  void Remove(ActiveRequest& request);

  // Appends the requests whose queue deadline has passed to `expired`. Checks every entry, since a request
  // with an early deadline may be queued after others.
  void CollectExpired(Millis now, std::vector<ActiveRequest*>& expired) const;

  // A set of classes, as a bit mask.
  using ClassMask = std::uint64_t;
  static ClassMask MaskOf(std::size_t class_index) { return ClassMask{1} << class_index; }

  // Returns the class whose next request is released first. Classes in `skipped` are ignored; empty if no
  // other class has a queued request.
  std::optional<std::size_t> NextClass(ClassMask skipped) const;
  // Returns the next request of a class that has one.
  ActiveRequest& Next(std::size_t class_index);

  // Updates the credits for the release of a request of the class. Must be called before its removal.
  void RecordRelease(std::size_t class_index);

 private:
  using Queue = std::deque<ActiveRequest*>;
  enum QueueKind { kRetries, kWithinQuota, kBeyondQuota, kQueueKinds };
  struct Class {
    Millis latency_objective = 0;
    double weight = 0;
    double credit = 0;
    std::array<Queue, kQueueKinds> queues;  // by priority: the first non-empty queue is served

    std::size_t size() const;
  };

  void PushTo(QueueKind kind, ActiveRequest& request);

  std::vector<Class> classes_;
  std::size_t size_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CLASS_QUEUES_HPP_
