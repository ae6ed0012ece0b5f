// Runs the policy: passes events to the policy one at a time and executes the actions that it returns.
//
// To be used in the event loop's thread only.
#ifndef GATEWAY_PROXY_POLICY_DRIVER_HPP_
#define GATEWAY_PROXY_POLICY_DRIVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Executes the actions that concern requests.
class RequestActions {
 public:
  virtual ~RequestActions() = default;

  virtual void Execute(const policy::Send& send) = 0;
  virtual void Execute(const policy::Reject& reject) = 0;
  virtual void Execute(const policy::Fail& fail) = 0;
  virtual void Execute(const policy::Cancel& cancel) = 0;

  // Returns whether the request needs no response, because it already has one, its client has disconnected,
  // or it is no longer active.
  virtual bool IsFinished(const std::string& request) const = 0;

  // Called after the actions of each event have been executed. `request` is the ID of the request if the
  // event reports its arrival, the end of its attempt or the disconnect of its client. For any other event it
  // is empty.
  virtual void OnEventHandled(const std::string& request) = 0;
};

class PolicyDriver {
 public:
  // `requests` and `io` must outlive the last call of the driver. The driver calls `watch_list` to begin a
  // watch of the endpoint list.
  PolicyDriver(boost::asio::io_context& io, const policy::Settings& settings, std::uint64_t seed,
               RequestActions& requests, std::function<void()> watch_list);

  // Passes the event to the policy and executes the resulting actions. If an action reports another event,
  // that event is handled after the remaining actions of the current event and before the outermost call of
  // Report() returns.
  void Report(policy::Event event);

  policy::Policy& policy() { return policy_; }
  const policy::Policy& policy() const { return policy_; }

 private:
  void Handle(policy::Event event);

  void Execute(const policy::Send& send) { requests_.Execute(send); }
  void Execute(const policy::Reject& reject) { requests_.Execute(reject); }
  void Execute(const policy::Fail& fail) { requests_.Execute(fail); }
  void Execute(const policy::Cancel& cancel) { requests_.Execute(cancel); }
  void Execute(const policy::SetTimer& timer);
  void AwaitTimer(const std::shared_ptr<boost::asio::steady_timer>& wait, const std::string& name,
                  Millis delay);
  void Execute(const policy::WatchEndpointList&) { watch_list_(); }
  void Execute(const policy::LogLine& line);

  boost::asio::io_context& io_;
  policy::Policy policy_;
  RequestActions& requests_;
  const std::function<void()> watch_list_;
  std::deque<policy::Event> events_;
  std::vector<policy::Action> actions_;
  bool handling_ = false;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_POLICY_DRIVER_HPP_
