// Dispatches the events of a Policy to the request controller and the upstream controller.
#include "gateway/policy.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "policy/event_context.hpp"
#include "policy/learned_state_age.hpp"
#include "policy/list_polling.hpp"
#include "policy/policy_log.hpp"
#include "policy/random_source.hpp"
#include "policy/request_controller.hpp"
#include "policy/settings.hpp"
#include "policy/traffic_statistics.hpp"
#include "policy/upstream_controller.hpp"

namespace gateway::policy {
namespace {

constexpr Millis kSweepIntervalMs = 10;
const char* const kSweepTimer = "sweep";

Settings Validated(Settings settings) {
  ValidateSettings(settings);
  return settings;
}

}  // namespace

class Policy::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(Validated(std::move(settings))),
        random_(seed),
        ring_position_(RingPosition(settings_, random_)),
        traffic_(settings_.classes),
        upstream_(settings_, ring_position_, traffic_, random_, log_),
        requests_(settings_, traffic_, upstream_, log_),
        list_polling_(settings_, ring_position_) {}

  void Handle(Millis now, const Event& event, std::vector<Action>& actions) {
    Advance(now);
    const bool first_event = !std::exchange(started_, true);
    EventContext context{now_, actions};
    std::visit([&](const auto& typed_event) { Dispatch(context, typed_event); }, event);
    if (first_event) Sweep(context);
    requests_.ReleaseQueued(context);
  }

  std::size_t EjectedEndpointCount() const { return upstream_.EjectedCount(); }

  LearnedState Export() const {
    LearnedState state;
    state.exported_at = now_;
    state.gateway_count = settings_.gateway_count;
    requests_.Export(state);
    traffic_.Export(state);
    upstream_.Export(state);
    return state;
  }

  void Import(Millis now, const LearnedState& state) {
    Advance(now);
    const double remaining_weight = RemainingWeight(state.exported_at, now_, kRateHalfLifeMs);
    const double load_share = ShareOfExportedTotal(state.gateway_count, settings_.gateway_count);
    requests_.Import(state, remaining_weight, load_share);
    traffic_.Import(state);
    upstream_.Import(state, remaining_weight, load_share, now_);
  }

  void Scale(double factor) {
    requests_.Scale(factor);
    upstream_.Scale(factor);
  }

 private:
  // Advances the clock to `now`. Ignores a `now` that is earlier than the current time or not a number.
  void Advance(Millis now) {
    const Millis elapsed = started_ ? std::max(0.0, now - now_) : 0;
    if (started_) {
      now_ = std::max(now_, now);
    } else {
      now_ = std::isfinite(now) ? now : 0;
    }
    requests_.Advance(elapsed);
    traffic_.Advance(elapsed);
  }

  void Dispatch(EventContext& context, const EndpointListEvent& event) {
    if (event.kind == EndpointListEvent::Kind::kFailure) {
      return list_polling_.RecordFailure(event.call_duration, context.now, random_);
    }
    list_polling_.RecordSuccess();
    upstream_.ApplyList(event, context.now);
  }

  void Dispatch(EventContext& context, const TimerFired&) { Sweep(context); }

  template <typename RequestEvent>
  void Dispatch(EventContext& context, const RequestEvent& event) {
    requests_.Handle(context, event);
  }

  // Performs the periodic work of all parts and restarts the sweep timer.
  void Sweep(EventContext& context) {
    context.Emit(SetTimer{kSweepIntervalMs, kSweepTimer});
    const bool list_known = upstream_.up_count() > 0;
    if (list_polling_.StartCallIfDue(list_known, context.now)) context.Emit(WatchEndpointList{});
    upstream_.Sweep(context.now);
    requests_.ExpireQueued(context);
    if (log_.IsStatusDue(context.now)) log_.WriteStatus(context, GetStatus());
  }

  PolicyStatus GetStatus() const {
    PolicyStatus status;
    status.latency = traffic_.MeanLatency();
    requests_.FillStatus(status);
    upstream_.FillStatus(status);
    return status;
  }

  const Settings settings_;
  RandomSource random_;
  const double ring_position_;
  PolicyLog log_;
  TrafficStatistics traffic_;
  UpstreamController upstream_;
  RequestController requests_;
  ListPolling list_polling_;
  bool started_ = false;
  Millis now_ = 0;
};

Policy::Policy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::size_t Policy::EjectedEndpointCount() const { return impl_->EjectedEndpointCount(); }

LearnedState Policy::ExportState() const { return impl_->Export(); }

void Policy::ImportState(Millis now, const LearnedState& state) { impl_->Import(now, state); }

void Policy::ScaleLimits(double factor) { impl_->Scale(factor); }

}  // namespace gateway::policy
