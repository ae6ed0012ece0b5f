#include "policy/class_queues.hpp"

#include <algorithm>

#include "policy/settings.hpp"

namespace gateway::policy {
namespace {

constexpr double kMaximumCredit = 4;          // requests; the credit is in [-kMaximumCredit, kMaximumCredit]
constexpr double kMinimumQueueRequests = 32;  // minimum capacity of a class, as the total of its queues
constexpr double kMaximumWaitShare = 0.25;    // longest time in a queue, as a share of the latency objective

}  // namespace

Millis QueueDeadline(const ActiveRequest& request) {
  const Millis objective = request.objective_ends_at - request.arrived_at;
  return std::min(request.arrived_at + kMaximumWaitShare * objective,
                  request.deadline_at - kQueueAnswerMarginMs);
}

ClassQueues::ClassQueues(const std::vector<TrafficClassSettings>& classes) {
  const std::vector<double> weights = RelativeWeights(classes);
  for (std::size_t i = 0; i < classes.size(); ++i) {
    Class& added = classes_.emplace_back();
    added.latency_objective = classes[i].latency_objective;
    added.weight = weights[i];
  }
}

std::size_t ClassQueues::Class::size() const {
  std::size_t size = 0;
  for (const Queue& queue : queues) size += queue.size();
  return size;
}

bool ClassQueues::IsFull(std::size_t class_index, double sent_per_second) const {
  const Class& traffic_class = classes_[class_index];
  const double capacity = sent_per_second * traffic_class.latency_objective / 1000 + kMinimumQueueRequests;
  return static_cast<double>(traffic_class.size()) >= capacity;
}

ActiveRequest* ClassQueues::LastBeyondQuota(std::size_t class_index) const {
  const Queue& queue = classes_[class_index].queues[kBeyondQuota];
  return queue.empty() ? nullptr : queue.back();
}

void ClassQueues::Push(ActiveRequest& request) {
  PushTo(request.within_quota ? kWithinQuota : kBeyondQuota, request);
}

void ClassQueues::PushRetry(ActiveRequest& request) { PushTo(kRetries, request); }

void ClassQueues::PushTo(QueueKind kind, ActiveRequest& request) {
  request.queued = true;
  ++size_;
  classes_[request.class_index].queues[kind].push_back(&request);
}

void ClassQueues::Remove(ActiveRequest& request) {
  if (!request.queued) return;
  for (Queue& queue : classes_[request.class_index].queues) std::erase(queue, &request);
  request.queued = false;
  --size_;
}

void ClassQueues::CollectExpired(Millis now, std::vector<ActiveRequest*>& expired) const {
  for (const Class& traffic_class : classes_) {
    for (const Queue& queue : traffic_class.queues) {
      for (ActiveRequest* const request : queue) {
        if (now >= QueueDeadline(*request)) expired.push_back(request);
      }
    }
  }
}

std::optional<std::size_t> ClassQueues::NextClass(ClassMask skipped) const {
  std::optional<std::size_t> best;
  const auto priority = [this](std::size_t i) { return classes_[i].credit + classes_[i].weight; };
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (classes_[i].size() == 0 || (skipped & MaskOf(i)) != 0) continue;
    if (!best || priority(i) > priority(*best)) best = i;
  }
  return best;
}

ActiveRequest& ClassQueues::Next(std::size_t class_index) {
  const auto& queues = classes_[class_index].queues;
  return *std::ranges::find_if(queues, [](const Queue& queue) { return !queue.empty(); })->front();
}

void ClassQueues::RecordRelease(std::size_t class_index) {
  for (Class& traffic_class : classes_) {
    const double earned = traffic_class.size() > 0 ? traffic_class.weight : 0;
    traffic_class.credit = std::min(kMaximumCredit, traffic_class.credit + earned);
  }
  Class& released = classes_[class_index];
  released.credit = std::max(-kMaximumCredit, released.credit - 1);
}

}  // namespace gateway::policy
