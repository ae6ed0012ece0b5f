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

constexpr Millis kCheckWhileWatching = 250;
constexpr Millis kCheckAfterFailure = 10;  // the policy's own period

proxy::EndpointListWatcher::Options WatcherOptions(const proxy::Config& config) {
  proxy::EndpointListWatcher::Options options;
  options.service = config.discovery;
  options.other_services = config.other_list_services;
  options.seed = config.seed;
  options.revision = config.known.revision;
  options.guard_mass_removal = config.guard_mass_removal;
  options.max_removed_share = config.max_removed_share;
  return options;
}

}  // namespace

HollowGateway::HollowGateway(boost::asio::io_context& io, const proxy::Config& config, OnList on_list)
    : policy_(config.settings, config.seed),
      polls_(config.settings.poll_endpoint_list),
      on_list_(std::move(on_list)),
      check_(io),
      list_(io, WatcherOptions(config),
            {[this] { answered_ = true; },
             [this](const proxy::EndpointList& list) {
               Report(proxy::ToListEvent(list));
               if (answered_) on_list_(list_.revision());
             },
             [this](Millis took) {
               watching_ = false;
               Report(gateway::policy::EndpointListEvent{
                   gateway::policy::EndpointListEvent::Kind::kFailure, {}, took});
               CheckWithin(kCheckAfterFailure);
             }}) {
  list_.Apply(config.known);
  if (!polls_) list_.Watch();
}

void HollowGateway::Report(const gateway::policy::Event& event) {
  // Nothing that an action does here reports at once, so there is no event within another.
  actions_.clear();
  policy_.Handle(base::UnixAlignedNow(), event, actions_);
  for (const gateway::policy::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void HollowGateway::Do(const gateway::policy::SetTimer& timer) {
  CheckWithin(watching_ ? std::max(timer.delay, kCheckWhileWatching) : timer.delay);
}

void HollowGateway::Do(const gateway::policy::WatchEndpointList&) {
  watching_ = true;
  list_.Watch();
}

// The policy has one timer and sets it again each time, so one is enough here.
void HollowGateway::CheckWithin(Millis delay) {
  check_.expires_after(base::TimerDuration(delay));
  check_.async_wait([this](error_code ec) {
    if (!ec) Report(gateway::policy::TimerFired{"sweep"});
  });
}

}  // namespace gateway::lab
