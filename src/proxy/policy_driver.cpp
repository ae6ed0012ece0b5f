#include "proxy/policy_driver.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
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

}  // namespace

PolicyDriver::PolicyDriver(boost::asio::io_context& io, const policy::Settings& settings, std::uint64_t seed,
                           RequestActions& requests, std::function<void()> watch_list)
    : io_(io), policy_(settings, seed), requests_(requests), watch_list_(std::move(watch_list)) {}

void PolicyDriver::Report(policy::Event event) {
  events_.push_back(std::move(event));
  if (handling_) return;
  handling_ = true;
  while (!events_.empty()) {
    policy::Event next = std::move(events_.front());
    events_.pop_front();
    Handle(std::move(next));
  }
  handling_ = false;
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
  const auto wait = std::make_shared<boost::asio::steady_timer>(io_, TimerDuration(timer.delay));
  wait->async_wait([this, wait, name = timer.name](boost::system::error_code ec) {
    if (!ec) Report(policy::TimerFired{name});
  });
}

void PolicyDriver::Execute(const policy::LogLine& line) {
  base::Log(base::Level::kInfo, "decisions", line.is_status ? "counts" : "news", line.text);
}

}  // namespace gateway::proxy
