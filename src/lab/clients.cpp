#include "lab/clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cstdlib>
#include <utility>

namespace gateway::lab {
namespace {

using boost::system::error_code;
using Failure = ClientConnection::Failure;

// A response that arrives within this time after the client's timeout counts as failed, but not as lost.
constexpr Millis kLateAnswerGrace = 500;
constexpr double kMillisPerSecond = 1000;
// Gives the clients a random sequence that differs from those of other components with the same seed.
constexpr std::uint64_t kSeedMask = 0x636c69656e7473ULL;

bool IsRejection(const ClientConnection::Result& result) {
  const unsigned status = result.response.result_int();
  return result.failure == Failure::kNone && (status == 429 || status == 503);
}

Millis RetryAfterDelay(const ClientConnection::Result& result) {
  const auto value = result.response[boost::beast::http::field::retry_after];
  return value.empty() ? 0 : std::atof(std::string(value).c_str()) * kMillisPerSecond;
}

}  // namespace

Clients::Clients(Environment environment)
    : env_(environment),
      schedule_(env_.experiment, env_.seed),
      random_(env_.seed ^ kSeedMask),
      arrival_timer_(env_.io),
      idle_connections_(static_cast<std::size_t>(env_.targets.count())) {}

void Clients::Begin(Millis start) {
  start_ = start;
  next_arrival_ = schedule_.Next();
  WaitForNextArrival();
}

void Clients::WaitForNextArrival() {
  if (!next_arrival_) {
    schedule_ended_ = true;
    return;
  }
  arrival_timer_.expires_after(TimerDuration(start_ + next_arrival_->at - MonotonicNow()));
  arrival_timer_.async_wait([this](error_code ec) {
    if (!ec) SendDue();
  });
}

// Sends all requests that are due and records the lateness of each. So the lab catches up with the schedule
// after a delay.
void Clients::SendDue() {
  while (next_arrival_ && start_ + next_arrival_->at <= MonotonicNow()) {
    const auto request = std::make_shared<ClientRequest>();
    request->arrival = *next_arrival_;
    request->scheduled_at = start_ + next_arrival_->at;
    ++open_requests_;
    env_.recorder.OnArrival(*next_arrival_, MonotonicNow() - request->scheduled_at);
    Send(request);
    next_arrival_ = schedule_.Next();
  }
  WaitForNextArrival();
}

const TrafficClass& Clients::TrafficClassFor(const ClientRequest& request) const {
  return env_.experiment.classes[static_cast<std::size_t>(request.arrival.class_index)];
}

// Returns a target in the arrival's zone, or -1 if no target is available. A target is available if it
// accepts new connections or if there is an idle connection to it. The arrival's `gateway_draw` selects one
// of the available targets.
int Clients::ChooseTarget(const Arrival& arrival, Millis now) const {
  struct Candidate {
    int target;
    double weight;
  };
  std::vector<Candidate> candidates;
  double total_weight = 0;
  bool first_of_zone = true;
  for (int target = 0; target < env_.targets.count(); ++target) {
    if (env_.targets.Zone(target) != arrival.zone) continue;
    const double weight = first_of_zone ? 1 + env_.experiment.traffic.skew : 1;
    first_of_zone = false;
    const bool has_idle = !idle_connections_[static_cast<std::size_t>(target)].empty();
    if (!env_.targets.AcceptsConnections(target, now) && !has_idle) continue;
    candidates.push_back({target, weight});
    total_weight += weight;
  }
  double remaining = arrival.gateway_draw * total_weight;
  for (const Candidate& candidate : candidates) {
    if (remaining < candidate.weight) return candidate.target;
    remaining -= candidate.weight;
  }
  return candidates.empty() ? -1 : candidates.back().target;
}

void Clients::Send(const std::shared_ptr<ClientRequest>& request) {
  ++request->attempts;
  const int target = ChooseTarget(request->arrival, MonotonicNow());
  if (target < 0) {
    ++unroutable_;
    return Retry(request, RequestResult::kFailed, 0, true);
  }
  const auto attempt = MakeAttempt(request, target);
  env_.rules.OnRequestSent(attempt->sent_at, attempt->id, TrafficClassFor(*request).idempotent,
                           request->arrival.work);
  ++open_attempts_;
  attempt->disconnect_timer.expires_after(TimerDuration(attempt->timeout));
  attempt->disconnect_timer.async_wait([this, attempt](error_code ec) {
    if (ec || !attempt->request) return;
    Retry(std::exchange(attempt->request, nullptr), RequestResult::kFailed, 0, false);
  });
  Exchange(attempt);
}

std::shared_ptr<Clients::Attempt> Clients::MakeAttempt(const std::shared_ptr<ClientRequest>& request,
                                                       int target) {
  auto attempt = std::make_shared<Attempt>(env_.io);
  attempt->request = request;
  attempt->id = fmt::format("{:08x}{:08x}", static_cast<std::uint32_t>(env_.seed), ++attempts_);
  attempt->target = target;
  attempt->sent_at = MonotonicNow();
  attempt->timeout = TrafficClassFor(*request).deadline * env_.experiment.traffic.client_timeout_share;
  return attempt;
}

std::string Clients::RequestText(const Attempt& attempt) const {
  const Arrival& arrival = attempt.request->arrival;
  const TrafficClass& traffic_class = TrafficClassFor(*attempt.request);
  return fmt::format(
      "{} /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n"
      "Req-Deadline: {:.0f}m\r\n{}{}\r\n{}",
      traffic_class.idempotent ? "GET" : "POST", attempt.id, traffic_class.name,
      schedule_.tenants()[static_cast<std::size_t>(arrival.tenant)], attempt.timeout,
      attempt.request->attempts > 1 ? "Req-Retry: 1\r\n" : "",
      traffic_class.idempotent ? "" : "Content-Length: 4\r\n", traffic_class.idempotent ? "" : "book");
}

void Clients::Exchange(const std::shared_ptr<Attempt>& attempt) {
  auto& idle = idle_connections_[static_cast<std::size_t>(attempt->target)];
  if (!attempt->resent && !idle.empty()) {
    attempt->connection = std::move(idle.back());
    idle.pop_back();
  } else {
    attempt->connection = std::make_shared<ClientConnection>(env_.io, env_.targets.Address(attempt->target));
  }
  attempt->connection->Exchange(
      RequestText(*attempt), attempt->timeout + kLateAnswerGrace,
      [this, attempt](const ClientConnection::Result& result) { OnResult(attempt, result); });
}

void Clients::ReuseLater(int target, std::shared_ptr<ClientConnection> connection) {
  if (!connection->usable()) return;
  auto& idle = idle_connections_[static_cast<std::size_t>(target)];
  connection->NotifyOnIdleClose([&idle, closed = connection.get()] {
    std::erase_if(idle, [closed](const auto& other) { return other.get() == closed; });
  });
  idle.push_back(std::move(connection));
}

void Clients::OnResult(const std::shared_ptr<Attempt>& attempt, const ClientConnection::Result& result) {
  const auto connection = std::exchange(attempt->connection, nullptr);
  // The gateway closed the idle connection while this request was in transit.
  const bool closed_while_idle = result.failure == Failure::kNoResponse && connection->exchanges() > 1;
  if (closed_while_idle && !attempt->resent && attempt->request &&
      !env_.targets.WasDisruptedSince(attempt->target, attempt->sent_at)) {
    attempt->resent = true;
    return Exchange(attempt);
  }
  attempt->disconnect_timer.cancel();
  --open_attempts_;
  const auto request = std::exchange(attempt->request, nullptr);
  CheckResult(*attempt, connection, result);
  if (!request) return;  // the client has disconnected
  if (result.ok()) return OnServed(request);
  const bool rejected = IsRejection(result);
  Retry(request, rejected ? RequestResult::kRejected : RequestResult::kFailed, RetryAfterDelay(result),
        rejected || result.failure == Failure::kConnectFailed);
}

void Clients::CheckResult(const Attempt& attempt, const std::shared_ptr<ClientConnection>& connection,
                          const ClientConnection::Result& result) {
  switch (result.failure) {
    case Failure::kNone:
      if (result.ok()) {
        env_.rules.OnResponse(attempt.id, result.response.body());
        env_.targets.OnServed(attempt.target, attempt.sent_at);
      }
      return ReuseLater(attempt.target, connection);
    case Failure::kTimedOut:
      return OnNoResponse(attempt, "no response within half a second after the client's timeout", false);
    case Failure::kNoResponse:
    case Failure::kIncompleteResponse:
      return OnNoResponse(attempt, "the connection was closed before the response was complete",
                          connection->exchanges() == 1);
    case Failure::kConnectFailed: return;
  }
}

// If the gateway closes a new connection without forwarding the first request on it, the request has failed,
// but does not count as lost (TERMS).
void Clients::OnNoResponse(const Attempt& attempt, const std::string& description, bool first_on_connection) {
  const bool unprocessed = first_on_connection && !env_.rules.HasArrived(attempt.id);
  if (env_.targets.WasDisruptedSince(attempt.target, attempt.sent_at)) {
    ++lost_to_faults_;
  } else if (unprocessed) {
    ++closed_unprocessed_;
  } else {
    env_.rules.OnRequestLost(attempt.id, fmt::format("sent to gateway {}: {}", attempt.target, description));
  }
}

void Clients::OnServed(const std::shared_ptr<ClientRequest>& request) {
  const TrafficClass& traffic_class = TrafficClassFor(*request);
  const Millis latency = MonotonicNow() - request->scheduled_at;
  const RequestResult result = latency <= traffic_class.latency_objective ? RequestResult::kInObjective
                               : latency <= traffic_class.deadline        ? RequestResult::kLate
                                                                          : RequestResult::kFailed;
  Finish(request, result, latency);
}

// A client retries a request that is not idempotent only if the request was certainly not executed.
void Clients::Retry(const std::shared_ptr<ClientRequest>& request, RequestResult result_if_last,
                    Millis retry_after, bool not_executed) {
  const Traffic& traffic = env_.experiment.traffic;
  const TrafficClass& traffic_class = TrafficClassFor(*request);
  const double jitter = 0.5 + boost::random::uniform_01<double>()(random_);
  const Millis backoff = std::max(retry_after, traffic.backoff * (1 << (request->attempts - 1)) * jitter);
  const bool in_time = MonotonicNow() + backoff < request->scheduled_at + traffic_class.deadline;
  const bool safe = not_executed || traffic_class.idempotent;
  if (request->attempts > traffic.max_retries || !in_time || !safe) {
    return Finish(request, result_if_last, 0);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(env_.io, TimerDuration(backoff));
  timer->async_wait([this, timer, request](error_code ec) {
    if (!ec) Send(request);
  });
}

void Clients::Finish(const std::shared_ptr<ClientRequest>& request, RequestResult result, Millis latency) {
  --open_requests_;
  env_.recorder.OnRequestEnd(request->arrival, result, latency);
}

}  // namespace gateway::lab
