#include "lab/scale/hollow_gateway.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/clock.hpp"

namespace gateway::lab {
namespace {

namespace proxy = gateway::proxy;
using base::Millis;
using boost::system::error_code;

constexpr Millis kWatchingCheckPeriodMs = 250;
constexpr Millis kPolicyCheckPeriodMs = 10;  // the policy's own check period

proxy::EndpointListWatcher::Options WatcherOptions(const proxy::Config& config) {
  proxy::EndpointListWatcher::Options options;
  options.candidates = proxy::OrderDiscoverySources(config.discovery);
  options.seed = config.seed;
  options.revision = config.initial_list.revision;
  options.guard_mass_removal = config.guard_mass_removal;
  options.max_removed_share = config.max_removed_share;
  return options;
}

}  // namespace

HollowGateway::HollowGateway(boost::asio::io_context& io, const proxy::Config& config, ListCallback on_list)
    : policy_(config.settings, config.seed),
      polls_(config.settings.poll_endpoint_list),
      on_list_(std::move(on_list)),
      check_timer_(io),
      list_watcher_(io, WatcherOptions(config),
                    {[this] { answered_ = true; },
                     [this](const proxy::EndpointList& list) {
                       HandleEvent(proxy::ToListEvent(list));
                       if (answered_) on_list_(list_watcher_.revision());
                     },
                     [this](Millis duration) {
                       watching_ = false;
                       HandleEvent(gateway::policy::EndpointListEvent{
                           gateway::policy::EndpointListEvent::Kind::kFailure, {}, duration});
                       ScheduleCheck(kPolicyCheckPeriodMs);
                     }}) {
  list_watcher_.Apply(config.initial_list);
  if (!polls_) list_watcher_.Watch();
}

void HollowGateway::HandleEvent(const gateway::policy::Event& event) {
  // No action calls this function synchronously, so it is never reentered.
  actions_.clear();
  policy_.Handle(base::UnixAlignedNow(), event, actions_);
  for (const gateway::policy::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
}

void HollowGateway::Execute(const gateway::policy::SetTimer& timer) {
  ScheduleCheck(watching_ ? std::max(timer.delay, kWatchingCheckPeriodMs) : timer.delay);
}

void HollowGateway::Execute(const gateway::policy::WatchEndpointList&) {
  watching_ = true;
  list_watcher_.Watch();
}

// The policy uses a single timer ("sweep") and sets it again after each expiry.
void HollowGateway::ScheduleCheck(Millis delay) {
  check_timer_.expires_after(base::TimerDuration(delay));
  check_timer_.async_wait([this](error_code ec) {
    if (!ec) HandleEvent(gateway::policy::TimerFired{"sweep"});
  });
}

}  // namespace gateway::lab
