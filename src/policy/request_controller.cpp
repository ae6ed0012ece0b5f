#include "policy/request_controller.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "policy/hash.hpp"

namespace gateway::policy {
namespace {

constexpr Millis kMinimumAttemptTimeoutMs = 1;

Millis ValidTimeLeft(Millis time_left) { return std::isfinite(time_left) ? std::max(0.0, time_left) : 0.0; }

// Returns the reported latency, or the time since the attempt was sent if the report is negative or not
// finite.
Millis ValidLatency(Millis reported, const Attempt& attempt, Millis now) {
  const bool valid = std::isfinite(reported) && reported >= 0;
  return valid ? reported : now - attempt.sent_at;
}

// Returns the hash of the routing key, or 0 if there is no key. The hash of a key is never 0.
std::uint64_t KeyHash(const std::string& key) { return key.empty() ? 0 : Hash(key) | 1; }

}  // namespace

RequestController::RequestController(const Settings& settings, TrafficStatistics& traffic,
                                     UpstreamController& upstream, PolicyLog& log)
    : settings_(settings),
      traffic_(traffic),
      upstream_(upstream),
      log_(log),
      quotas_(settings),
      queues_(settings.classes) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) class_indices_[settings.classes[i].name] = i;
}

AdmissionRate::Fleet RequestController::GetFleet() const {
  return {upstream_.up_count(), settings_.gateway_count, upstream_.many_gateways_per_endpoint()};
}

void RequestController::Handle(EventContext& context, const Request& request) {
  const auto found = class_indices_.find(request.class_name);
  if (requests_.Contains(request.id)) return;
  if (found == class_indices_.end()) return context.Emit(Reject{request.id, 0});
  ActiveRequest& active = *requests_.Add(request.id);
  Initialize(active, request, found->second, context.now);
  ++log_.counters().arrived;
  const Millis client_waited = traffic_.RecordArrival(active.class_index, ValidTimeLeft(request.time_left));
  // If the latency objective passed during earlier tries of the client, the request counts as beyond quota.
  // Otherwise late requests would use the capacity, new requests would become late too, and an overload would
  // never end.
  const TrafficClassSettings& traffic_class = ClassOf(active);
  const bool late = client_waited >= traffic_class.latency_objective;
  active.within_quota = !late && quotas_.TakeToken(request.tenant, context.now);
  retry_budget_.RecordRequest();
  upstream_.RecordRequest();
  const bool has_no_weight = late && traffic_class.late_weight <= 0;
  const bool too_late = context.now >= active.deadline_at - kQueueAnswerMarginMs;
  if (has_no_weight || too_late) {
    ++log_.counters().rejected_too_late;
    return Answer(context, active);
  }
  if (queues_.size() == 0 && rate_.HasToken()) {
    if (Endpoint* const endpoint = upstream_.Select(active, rate_.AdmitsBeyondQuota(), context.now)) {
      ++log_.counters().sent_directly;
      return Send(context, active, *endpoint);
    }
  }
  Enqueue(context, active);
}

void RequestController::Initialize(ActiveRequest& active, const Request& request, std::size_t class_index,
                                   Millis now) {
  active.class_index = class_index;
  active.key_hash = KeyHash(request.key);
  active.arrived_at = now;
  active.complete = request.complete;
  active.deadline_at = now + ValidTimeLeft(request.time_left);
  active.objective_ends_at = std::min(now + ClassOf(active).latency_objective, active.deadline_at);
}

void RequestController::Handle(EventContext& context, const RequestComplete& complete) {
  ActiveRequest* const request = requests_.Find(complete.request);
  if (request == nullptr || request->answered) return;
  request->arrived_at = context.now;
  request->deadline_at = context.now + ValidTimeLeft(complete.time_left);
  request->objective_ends_at =
      std::min(context.now + ClassOf(*request).latency_objective, request->deadline_at);
  request->complete = true;
  for (Attempt& attempt : request->attempts) {
    if (!attempt.in_flight) continue;
    attempt.sent_at = context.now;
    if (!std::exchange(attempt.holds_slot, true)) upstream_.RecordComplete(*attempt.endpoint);
  }
}

void RequestController::Enqueue(EventContext& context, ActiveRequest& request) {
  if (queues_.IsFull(request.class_index, rate_.SentPerSecond())) {
    ++log_.counters().rejected_queue_full;
    ActiveRequest* const evicted = queues_.LastBeyondQuota(request.class_index);
    if (!request.within_quota || evicted == nullptr) return Answer(context, request);
    queues_.Remove(*evicted);
    Answer(context, *evicted);
  }
  queues_.Push(request);
}

void RequestController::ExpireQueued(EventContext& context) {
  expired_.clear();
  queues_.CollectExpired(context.now, expired_);
  for (ActiveRequest* const request : expired_) {
    ++log_.counters().rejected_queue_timeout;
    queues_.Remove(*request);
    Answer(context, *request);
  }
}

void RequestController::ReleaseQueued(EventContext& context) {
  ClassQueues::ClassMask blocked = 0;  // classes whose next request no endpoint can accept now
  while (queues_.size() > 0 && rate_.HasToken()) {
    const std::optional<std::size_t> class_index = queues_.NextClass(blocked);
    if (!class_index) return;
    ActiveRequest& request = queues_.Next(*class_index);
    Endpoint* const endpoint = upstream_.Select(request, rate_.AdmitsBeyondQuota(), context.now);
    if (endpoint == nullptr) {
      blocked |= ClassQueues::MaskOf(*class_index);
      continue;
    }
    queues_.RecordRelease(*class_index);
    queues_.Remove(request);
    ++log_.counters().released;
    log_.counters().time_in_queue += context.now - request.arrived_at;
    Send(context, request, *endpoint);
  }
}

void RequestController::Send(EventContext& context, ActiveRequest& request, Endpoint& endpoint) {
  const Millis now = context.now;
  Millis response_deadline =
      ClassOf(request).late_weight > 0 ? request.deadline_at : request.objective_ends_at;
  const bool is_probe = request.attempts.empty() && upstream_.IsUnhealthy(endpoint);
  if (is_probe && upstream_.many_gateways_per_endpoint()) {
    response_deadline = upstream_.ProbeDeadline(now, request.objective_ends_at);
  }
  rate_.TakeToken(GetFleet());
  upstream_.RecordSend(endpoint, request.complete, now);
  request.attempts.push_back({&endpoint, now, /*in_flight=*/true, /*holds_slot=*/request.complete});
  const Millis timeout = std::max(kMinimumAttemptTimeoutMs, response_deadline - now);
  context.Emit(policy::Send{request.id, endpoint.info.id, timeout, request.repeat_deadline_at - now});
}

void RequestController::Handle(EventContext& context, const AttemptOutcome& outcome) {
  ActiveRequest* const request = requests_.Find(outcome.request);
  if (request == nullptr) return;
  Attempt* const attempt = request->FindAttempt(outcome.attempt);
  if (attempt == nullptr || !std::exchange(attempt->in_flight, false)) return;
  attempt->may_have_executed = MayHaveExecuted(outcome.result);
  const TrafficClassSettings& traffic_class = ClassOf(*request);
  if (attempt->may_have_executed && traffic_class.idempotency == Idempotency::kIdempotencyKey) {
    request->repeat_deadline_at =
        std::min(request->repeat_deadline_at, RepeatDeadline(traffic_class, attempt->sent_at));
  }
  request->buffered = outcome.request_buffered;
  if (attempt->streaming) {
    RecordStreamEnd(context, *request, *attempt, outcome.result);
    return EraseIfEnded(*request);
  }
  ReleaseSlot(*attempt);
  RecordAttemptEnd(context, *request, *attempt, outcome);
  if (outcome.request_finished || outcome.result == AttemptResult::kServed) request->answered = true;
  if (!request->answered && !request->HasAttemptInFlight() && !request->queued) {
    return RetryOrAnswer(context, *request, outcome.result);
  }
  EraseIfEnded(*request);
}

// Records a failure of the endpoint if the response was interrupted. The attempt was already recorded as
// served when its response started.
void RequestController::RecordStreamEnd(EventContext& context, const ActiveRequest& request,
                                        const Attempt& attempt, AttemptResult result) {
  if (result != AttemptResult::kReset && result != AttemptResult::kTimedOut) return;
  upstream_.RecordOutcome(context, *attempt.endpoint, {AttemptResult::kReset, 0, request.class_index});
}

void RequestController::ReleaseSlot(Attempt& attempt) {
  if (std::exchange(attempt.holds_slot, false)) upstream_.RecordResponse(*attempt.endpoint);
}

// Updates the statistics of the class, the admission rate and the endpoint after the end of an attempt.
void RequestController::RecordAttemptEnd(EventContext& context, const ActiveRequest& request,
                                         const Attempt& attempt, const AttemptOutcome& outcome) {
  const bool served = outcome.result == AttemptResult::kServed;
  const Millis latency = ValidLatency(outcome.latency, attempt, context.now);
  log_.counters().Count(outcome.result);
  if (served && context.now > request.objective_ends_at) ++log_.counters().served_late;
  if (served) traffic_.RecordLatency(request.class_index, latency);
  const bool ended_by_gateway =
      outcome.result == AttemptResult::kCancelled || outcome.result == AttemptResult::kNotSent;
  if (ended_by_gateway) return;
  // Must run before RecordOutcome, which may eject the endpoint: the admission rate depends only on outcomes
  // of endpoints that were healthy when the attempt ended.
  UpdateAdmissionRate(context, request, attempt, outcome.result);
  upstream_.RecordLoadReport(*attempt.endpoint, outcome.load);
  upstream_.RecordOutcome(context, *attempt.endpoint, {outcome.result, latency, request.class_index});
}

// Updates the admission rate after the end of an attempt. Ignores outcomes of unhealthy endpoints: if a
// single endpoint fails, it is ejected, and the admission rate is not decreased. Ignores broken connections,
// since they do not indicate an overload.
void RequestController::UpdateAdmissionRate(EventContext& context, const ActiveRequest& request,
                                            const Attempt& attempt, AttemptResult result) {
  if (upstream_.IsUnhealthy(*attempt.endpoint) || result == AttemptResult::kReset) return;
  const bool within_objective = result == AttemptResult::kServed && context.now <= request.objective_ends_at;
  const AdmissionRate::Fleet fleet = GetFleet();
  if (!rate_.RecordOutcome(within_objective, attempt.sent_at, context.now, fleet)) return;
  rate_.Decrease(context.now, upstream_.MedianLatency(), fleet);
  log_.WriteEvent(context,
                  "admission rate decreased to " + std::to_string(static_cast<int>(rate_.rate())) + "/s");
}

void RequestController::RetryOrAnswer(EventContext& context, ActiveRequest& request,
                                      AttemptResult last_result) {
  RetryConditions conditions;
  conditions.last_result = last_result;
  conditions.last_endpoint_ejected = request.attempts.back().endpoint->outlier.ejected;
  conditions.max_attempts = settings_.max_attempts;
  conditions.expected_latency = traffic_.ClassLatency(request.class_index);
  conditions.budget_left = retry_budget_.HasToken();
  if (!ShouldRetry(request, ClassOf(request), conditions, context.now)) {
    ++log_.counters().failed_attempts;
    return Answer(context, request);
  }
  retry_budget_.TakeToken();
  queues_.PushRetry(request);
}

void RequestController::Answer(EventContext& context, ActiveRequest& request) {
  if (IsSafeForClientToRetry(request, ClassOf(request))) {
    context.Emit(Reject{request.id, RetryAfter()});
  } else {
    context.Emit(Fail{request.id});
  }
  request.answered = true;
  EraseIfEnded(request);
}

// Returns the retry delay that is recommended to clients: the estimated time until all queued requests are
// sent, but at most Settings::maximum_retry_after.
Millis RequestController::RetryAfter() const {
  if (!settings_.send_retry_after) return 0;
  const Millis drain_time = 1000 * static_cast<double>(queues_.size()) / std::max(rate_.SentPerSecond(), 1.0);
  return std::min(settings_.maximum_retry_after, drain_time);
}

void RequestController::EraseIfEnded(ActiveRequest& request) {
  if (!request.answered || request.queued || request.HasAttemptInFlight()) return;
  for (const Attempt& attempt : request.attempts) upstream_.ReleaseReference(*attempt.endpoint);
  requests_.Erase(request.id);
}

void RequestController::Handle(EventContext& context, const ClientDisconnected& disconnected) {
  ActiveRequest* const request = requests_.Find(disconnected.request);
  if (request == nullptr) return;
  queues_.Remove(*request);
  request->answered = true;
  for (std::size_t i = 0; settings_.can_cancel_attempts && i < request->attempts.size(); ++i) {
    if (request->attempts[i].in_flight) context.Emit(Cancel{request->id, static_cast<int>(i)});
  }
  EraseIfEnded(*request);
}

void RequestController::Handle(EventContext& context, const ResponseStarted& started) {
  ActiveRequest* const request = requests_.Find(started.request);
  if (request == nullptr) return;
  request->answered = true;
  Attempt* const attempt = request->FindAttempt(started.attempt);
  if (attempt == nullptr || !attempt->in_flight || std::exchange(attempt->streaming, true)) return;
  ReleaseSlot(*attempt);
  AttemptOutcome outcome;
  outcome.request = started.request;
  outcome.attempt = started.attempt;
  outcome.endpoint = attempt->endpoint->info.id;
  outcome.result = AttemptResult::kServed;
  outcome.request_finished = true;
  outcome.latency = context.now - attempt->sent_at;
  RecordAttemptEnd(context, *request, *attempt, outcome);
}

void RequestController::FillStatus(PolicyStatus& status) const {
  status.rate = rate_.rate();
  status.sent_rate = rate_.sent_decayed_sum();
  status.tokens = rate_.tokens();
  status.failure_rate = rate_.failure_rate();
  status.queued = queues_.size();
}

}  // namespace gateway::policy
