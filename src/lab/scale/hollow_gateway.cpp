#include "lab/scale/hollow_gateway.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/clock.hpp"
#include "gateway/clock.hpp"

namespace elderhead::lab {
namespace {

namespace gw = opalswitch::gateway;
using base::Millis;
using boost::system::error_code;

constexpr Millis kCheckWhileWatching = 250;
constexpr Millis kCheckAfterFailure = 10;  // the policy's own period

gw::ListFollower::Options FollowerOptions(const gw::Config& config) {
  gw::ListFollower::Options options;
  options.service = config.discovery;
  options.other_services = config.other_discoveries;
  options.seed = config.seed;
  options.revision = config.known.revision;
  options.guarded = config.list_guarded;
  options.most_removed = config.most_removed;
  return options;
}

}  // namespace

HollowGateway::HollowGateway(boost::asio::io_context& io, const gw::Config& config, Told told)
    : policy_(config.settings, config.seed),
      asks_(config.settings.ask_for_list),
      told_(std::move(told)),
      check_(io),
      list_(io, FollowerOptions(config),
            {[this] { heard_ = true; },
             [this](const gw::HostList& list) {
               Report(gw::ToNews(list));
               if (heard_) told_(list_.revision());
             },
             [this](Millis took) {
               watching_ = false;
               Report(opalswitch::ServerNews{opalswitch::ServerNews::Kind::kFailed, {}, took});
               CheckWithin(kCheckAfterFailure);
             }}) {
  list_.Apply(config.known);
  if (!asks_) list_.Watch();
}

void HollowGateway::Report(const opalswitch::Event& event) {
  // Nothing that an action does here reports at once, so there is no event within another.
  actions_.clear();
  policy_.handle(gw::Now(), event, actions_);
  for (const opalswitch::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void HollowGateway::Do(const opalswitch::SetTimer& timer) {
  CheckWithin(watching_ ? std::max(timer.delay, kCheckWhileWatching) : timer.delay);
}

void HollowGateway::Do(const opalswitch::Watch&) {
  watching_ = true;
  list_.Watch();
}

// The policy has one timer and sets it again each time, so one is enough here.
void HollowGateway::CheckWithin(Millis delay) {
  check_.expires_after(base::Span(delay));
  check_.async_wait([this](error_code ec) {
    if (!ec) Report(opalswitch::TimerDue{"sweep"});
  });
}

}  // namespace elderhead::lab
