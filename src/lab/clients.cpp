#include "lab/clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cstdlib>

namespace gateway::lab {
namespace {

using boost::system::error_code;

constexpr Millis kFinalAnswer = 500;  // STANDING: up to half a second after its time it only earns nothing

}  // namespace

Clients::Clients(Setting setting)
    : s_(std::move(setting)),
      schedule_(s_.experiment, s_.seed),
      random_(s_.seed ^ 0x636c69656e7473ULL),
      next_timer_(s_.io),
      idle_(static_cast<std::size_t>(s_.targets)) {}

void Clients::Begin(Millis start) {
  start_ = start;
  next_ = schedule_.Next();
  Arm();
}

void Clients::Arm() {
  if (!next_) {
    drawn_out_ = true;
    return;
  }
  next_timer_.expires_after(TimerDuration(start_ + next_->at - MonotonicNow()));
  next_timer_.async_wait([this](error_code ec) {
    if (!ec) SendDue();
  });
}

// All that is due by now: a lab that is behind catches up, and says by how much it was late.
void Clients::SendDue() {
  while (next_ && start_ + next_->at <= MonotonicNow()) {
    const auto flow = std::make_shared<Flow>();
    flow->arrival = *next_;
    flow->first = start_ + next_->at;
    ++flows_;
    s_.recorder.Arrived(*next_, MonotonicNow() - flow->first);
    Send(flow);
    next_ = schedule_.Next();
  }
  Arm();
}

int Clients::Deal(const Arrival& arrival, Millis now) {
  double sum = 0;
  std::vector<std::pair<int, double>> open;
  bool first = true;
  for (int target = 0; target < s_.targets; ++target) {
    if (s_.zone(target) != arrival.zone) continue;
    const double weight = first ? 1 + s_.experiment.traffic.skew : 1;
    first = false;
    if (!s_.deals(target, now) && idle_[static_cast<std::size_t>(target)].empty()) continue;
    open.emplace_back(target, weight);
    sum += weight;
  }
  double at = arrival.gateway_draw * sum;
  for (const auto& [target, weight] : open) {
    if (at < weight) return target;
    at -= weight;
  }
  return open.empty() ? -1 : open.back().first;
}

void Clients::Send(const std::shared_ptr<Flow>& flow) {
  ++flow->tries;
  const Millis now = MonotonicNow();
  const int target = Deal(flow->arrival, now);
  if (target < 0) {
    ++unplaced_;
    return Retry(flow, End::kFailed, 0, true);
  }
  const ClassSpec& spec = s_.experiment.classes[static_cast<std::size_t>(flow->arrival.class_index)];
  const auto attempt = std::make_shared<Try>(s_.io);
  attempt->flow = flow;
  attempt->id = fmt::format("{:08x}{:08x}", static_cast<std::uint32_t>(s_.seed), ++next_id_);
  attempt->target = target;
  attempt->sent = now;
  attempt->patience = spec.deadline * s_.experiment.traffic.patience;
  s_.rules.Asked(now, attempt->id, spec.repeatable, flow->arrival.work);
  ++tries_;
  attempt->quits.expires_after(TimerDuration(attempt->patience));
  attempt->quits.async_wait([this, attempt](error_code ec) {
    if (ec || !attempt->flow) return;
    Retry(std::exchange(attempt->flow, nullptr), End::kFailed, 0, false);
  });
  Exchange(attempt);
}

std::string Clients::Text(const Try& attempt) const {
  const Arrival& arrival = attempt.flow->arrival;
  const ClassSpec& spec = s_.experiment.classes[static_cast<std::size_t>(arrival.class_index)];
  return fmt::format(
      "{} /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n"
      "Req-Deadline: {:.0f}m\r\n{}{}\r\n{}",
      spec.repeatable ? "GET" : "POST", attempt.id, spec.name,
      schedule_.tenants()[static_cast<std::size_t>(arrival.tenant)], attempt.patience,
      attempt.flow->tries > 1 ? "Req-Retry: 1\r\n" : "", spec.repeatable ? "" : "Content-Length: 4\r\n",
      spec.repeatable ? "" : "book");
}

void Clients::Exchange(const std::shared_ptr<Try>& attempt) {
  auto& idle = idle_[static_cast<std::size_t>(attempt->target)];
  if (!attempt->resent && !idle.empty()) {
    attempt->connection = std::move(idle.back());
    idle.pop_back();
  } else {
    attempt->connection = std::make_shared<ClientConnection>(s_.io, s_.address(attempt->target));
  }
  attempt->connection->Exchange(
      Text(*attempt), attempt->patience + kFinalAnswer,
      [this, attempt](ClientConnection::Result result) { Answered(attempt, std::move(result)); });
}

void Clients::Keep(int target, std::shared_ptr<ClientConnection> connection) {
  if (!connection->usable()) return;
  auto& idle = idle_[static_cast<std::size_t>(target)];
  connection->WatchIdle([&idle, raw = connection.get()] {
    std::erase_if(idle, [raw](const auto& kept) { return kept.get() == raw; });
  });
  idle.push_back(std::move(connection));
}

// TERMS: the first request on a connection that the gateway closes without passing it on has failed, not been
// lost.
void Clients::Lose(const Try& attempt, const std::string& how, bool fresh) {
  const bool unheard = fresh && !s_.rules.HasReached(attempt.id);
  if (s_.excused(attempt.target, attempt.sent)) {
    ++excused_;
  } else if (unheard) {
    ++unheard_;
  } else {
    s_.rules.Lost(attempt.id, fmt::format("by gateway {}: {}", attempt.target, how));
  }
}

void Clients::Answered(const std::shared_ptr<Try>& attempt, ClientConnection::Result result) {
  using Failure = ClientConnection::Failure;
  const auto connection = std::exchange(attempt->connection, nullptr);
  const Millis now = MonotonicNow();
  const bool excused = s_.excused(attempt->target, attempt->sent);
  // A connection that the gateway closed between requests as this one was on its way.
  if (result.failure == Failure::kNoResponse && connection->exchanges() > 1 && !attempt->resent && !excused &&
      attempt->flow) {
    attempt->resent = true;
    return Exchange(attempt);
  }
  attempt->quits.cancel();
  --tries_;
  const auto flow = std::exchange(attempt->flow, nullptr);
  const unsigned status = result.response.result_int();
  if (result.failure == Failure::kNone) {
    if (status == 200) {
      s_.rules.Served(attempt->id, result.response.body());
      s_.answered(attempt->target, attempt->sent);
    }
    Keep(attempt->target, connection);
  } else if (result.failure == Failure::kTimedOut) {
    Lose(*attempt, "no answer half a second after its time", false);
  } else if (result.failure != Failure::kConnectFailed) {
    Lose(*attempt, "its connection ended with no whole answer", connection->exchanges() == 1);
  }
  if (!flow) return;  // the client has quit
  if (result.failure == Failure::kNone && status == 200) {
    const ClassSpec& spec = s_.experiment.classes[static_cast<std::size_t>(flow->arrival.class_index)];
    const Millis took = now - flow->first;
    return Finish(flow,
                  took <= spec.aim        ? End::kInAim
                  : took <= spec.deadline ? End::kLate
                                          : End::kFailed,
                  took);
  }
  const bool refused = result.failure == Failure::kNone && (status == 429 || status == 503);
  const auto advice = result.response[boost::beast::http::field::retry_after];
  const Millis wait = advice.empty() ? 0 : std::atof(std::string(advice).c_str()) * 1000;
  Retry(flow, refused ? End::kRefused : End::kFailed, wait,
        refused || result.failure == Failure::kConnectFailed);
}

// What may not run twice is tried again by its client only where it has surely not run.
void Clients::Retry(const std::shared_ptr<Flow>& flow, End otherwise, Millis wait, bool harmless) {
  const Traffic& traffic = s_.experiment.traffic;
  const ClassSpec& spec = s_.experiment.classes[static_cast<std::size_t>(flow->arrival.class_index)];
  const double jitter = 0.5 + boost::random::uniform_01<double>()(random_);
  const Millis backoff = std::max(wait, traffic.backoff * (1 << (flow->tries - 1)) * jitter);
  const bool in_time = MonotonicNow() + backoff < flow->first + spec.deadline;
  if (flow->tries > traffic.retries || !in_time || !(harmless || spec.repeatable))
    return Finish(flow, otherwise, 0);
  const auto timer = std::make_shared<boost::asio::steady_timer>(s_.io, TimerDuration(backoff));
  timer->async_wait([this, timer, flow](error_code ec) {
    if (!ec) Send(flow);
  });
}

void Clients::Finish(const std::shared_ptr<Flow>& flow, End end, Millis took) {
  --flows_;
  s_.recorder.Ended(flow->arrival, end, took);
}

}  // namespace gateway::lab
