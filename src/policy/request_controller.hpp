// The request controller: handles each request of a Policy from its arrival to its final answer.
//
// A request is sent immediately if no request is queued and a token and an endpoint are available. Otherwise
// it is added to the queue of its class. Failed attempts are retried according to retry_policy.hpp.
#ifndef GATEWAY_POLICY_REQUEST_CONTROLLER_HPP_
#define GATEWAY_POLICY_REQUEST_CONTROLLER_HPP_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/events.hpp"
#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "policy/active_request.hpp"
#include "policy/admission_rate.hpp"
#include "policy/class_queues.hpp"
#include "policy/event_context.hpp"
#include "policy/policy_log.hpp"
#include "policy/retry_policy.hpp"
#include "policy/tenant_quotas.hpp"
#include "policy/traffic_statistics.hpp"
#include "policy/upstream_controller.hpp"

namespace gateway::policy {

// Admits, queues, sends, retries and answers requests.
class RequestController {
 public:
  // Stores references to all arguments, which must outlive the controller.
  RequestController(const Settings& settings, TrafficStatistics& traffic, UpstreamController& upstream,
                    PolicyLog& log);

  // Refills the token bucket for the elapsed time.
  void Advance(Millis elapsed) { rate_.Advance(elapsed, GetFleet()); }

  void Handle(EventContext& context, const Request& request);
  void Handle(EventContext& context, const RequestComplete& complete);
  void Handle(EventContext& context, const ResponseStarted& started);
  void Handle(EventContext& context, const AttemptOutcome& outcome);
  void Handle(EventContext& context, const ClientDisconnected& disconnected);

  // Answers the queued requests whose queue deadline has passed.
  void ExpireQueued(EventContext& context);
  // Sends queued requests while tokens are available, in the order of ClassQueues.
  void ReleaseQueued(EventContext& context);

  void FillStatus(PolicyStatus& status) const;

  void Export(LearnedState& state) const { rate_.Export(state); }
  // For `remaining_weight` and `load_share`, see AdmissionRate::Import.
  void Import(const LearnedState& state, double remaining_weight, double load_share) {
    rate_.Import(state, remaining_weight, load_share, GetFleet());
  }
  void Scale(double factor) { rate_.Scale(factor, GetFleet()); }

 private:
  AdmissionRate::Fleet GetFleet() const;
  const TrafficClassSettings& ClassOf(const ActiveRequest& request) const {
    return settings_.classes[request.class_index];
  }

  void Initialize(ActiveRequest& active, const Request& request, std::size_t class_index, Millis now);
  void Enqueue(EventContext& context, ActiveRequest& request);
  void Send(EventContext& context, ActiveRequest& request, Endpoint& endpoint);
  void ReleaseSlot(Attempt& attempt);
  void RecordAttemptEnd(EventContext& context, const ActiveRequest& request, const Attempt& attempt,
                        const AttemptOutcome& outcome);
  void RecordStreamEnd(EventContext& context, const ActiveRequest& request, const Attempt& attempt,
                       AttemptResult result);
  void UpdateAdmissionRate(EventContext& context, const ActiveRequest& request, const Attempt& attempt,
                           AttemptResult result);
  void RetryOrAnswer(EventContext& context, ActiveRequest& request, AttemptResult last_result);
  void Answer(EventContext& context, ActiveRequest& request);
  Millis RetryAfter() const;
  // Erases the request if it is answered, is not queued and has no attempt in flight. `request` may be
  // destroyed afterwards.
  void EraseIfEnded(ActiveRequest& request);

  const Settings& settings_;
  TrafficStatistics& traffic_;
  UpstreamController& upstream_;
  PolicyLog& log_;
  std::unordered_map<std::string, std::size_t> class_indices_;  // by name; never iterated
  ActiveRequests requests_;
  AdmissionRate rate_;
  TenantQuotas quotas_;
  ClassQueues queues_;
  RetryBudget retry_budget_;
  std::vector<ActiveRequest*> expired_;  // reused buffer of ExpireQueued()
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_REQUEST_CONTROLLER_HPP_
