#include "proxy/policy_driver.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <new>
#include <utility>
#include <variant>

#include "base/log.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

// Returns the ID of the request if the event reports the arrival of a request, the end of an attempt or the
// disconnect of a client. Returns an empty ID for any other event.
std::string RequestIdOf(const policy::Event& event) {
  if (const auto* request = std::get_if<policy::Request>(&event)) return request->id;
  if (const auto* outcome = std::get_if<policy::AttemptOutcome>(&event)) return outcome->request;
  if (const auto* disconnected = std::get_if<policy::ClientDisconnected>(&event))
    return disconnected->request;
  return {};
}

// Sets a flag until the end of the scope, also if an allocation fails.
class FlagScope {
 public:
  explicit FlagScope(bool& flag) : flag_(flag) { flag = true; }
  ~FlagScope() { flag_ = false; }
  FlagScope(const FlagScope&) = delete;
  FlagScope& operator=(const FlagScope&) = delete;

 private:
  bool& flag_;
};

// The delay before a timer is repeated whose event could not be handled because an allocation failed.
constexpr Millis kTimerRetryMs = 10;

}  // namespace

PolicyDriver::PolicyDriver(boost::asio::io_context& io, const policy::Settings& settings, std::uint64_t seed,
                           RequestActions& requests, std::function<void()> watch_list)
    : io_(io), policy_(settings, seed), requests_(requests), watch_list_(std::move(watch_list)) {}

void PolicyDriver::Report(policy::Event event) {
  events_.push_back(std::move(event));
  if (handling_) return;
  const FlagScope handling(handling_);
  while (!events_.empty()) {
    policy::Event next = std::move(events_.front());
    events_.pop_front();
    Handle(std::move(next));
  }
}

void PolicyDriver::Handle(policy::Event event) {
  const std::string request_id = RequestIdOf(event);
  if (auto* const outcome = std::get_if<policy::AttemptOutcome>(&event)) {
    outcome->request_finished = requests_.IsFinished(request_id);
  }
  actions_.clear();
  policy_.Handle(Now(), event, actions_);
  for (const policy::Action& action : actions_) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
  requests_.OnEventHandled(request_id);
}

void PolicyDriver::Execute(const policy::SetTimer& timer) {
  const auto wait = std::make_shared<boost::asio::steady_timer>(io_);
  AwaitTimer(wait, timer.name, timer.delay);
}

// The policy sets a timer again when it handles the event, so an event that is lost would end the timer.
void PolicyDriver::AwaitTimer(const std::shared_ptr<boost::asio::steady_timer>& wait, const std::string& name,
                              Millis delay) {
  wait->expires_after(TimerDuration(delay));
  wait->async_wait([this, wait, name](boost::system::error_code ec) {
    if (ec) return;
    try {
      Report(policy::TimerFired{name});
    } catch (const std::bad_alloc&) {
      AwaitTimer(wait, name, kTimerRetryMs);
    }
  });
}

void PolicyDriver::Execute(const policy::LogLine& line) {
  base::Log(base::Level::kInfo, "decisions", line.is_status ? "counts" : "news", line.text);
}

}  // namespace gateway::proxy
