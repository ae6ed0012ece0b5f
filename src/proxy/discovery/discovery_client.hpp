// The client of the list services: keeps a watch of the endpoint list open on one of them.
//
// A watch is a sequence of long-poll calls (ListCall), each of which requests what follows the last list that
// was accepted (WatchPosition). With several services of the same list ServiceFailover decides which one is
// watched, and probes, calls that wait for nothing, show whether another one is ahead or answers again.
#ifndef GATEWAY_PROXY_DISCOVERY_DISCOVERY_CLIENT_HPP_
#define GATEWAY_PROXY_DISCOVERY_DISCOVERY_CLIENT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "proxy/clock.hpp"
#include "proxy/discovery/call_log.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/list_call.hpp"
#include "proxy/discovery/list_error.hpp"
#include "proxy/discovery/service_failover.hpp"
#include "proxy/discovery/watch_position.hpp"

namespace gateway::proxy {

// One thread: the event loop's.
class DiscoveryClient final : private ListCall::Observer {
 public:
  // All methods are called from the event loop. Each may call Watch() and the accessors.
  class Observer {
   public:
    virtual ~Observer() = default;
    // A list from a service was accepted; the position of the watch is that of `list` already.
    virtual void OnEndpointList(EndpointList list) = 0;
    // The watch has ended: every service has failed in turn. `call_duration`: since the last call began.
    // Nothing more is called until Watch() begins a new one, which this may do.
    virtual void OnWatchFailed(Millis call_duration) = 0;
    // Returns why a list must not be accepted, for the log; empty: it may be. A rejected list counts as a
    // failed call. May apply the drains of a list that it rejects.
    virtual std::string RejectionReason(const EndpointList& list) = 0;
  };

  struct Options {
    // Services of the same list, in the order in which they are tried; at least one.
    std::vector<boost::asio::ip::tcp::endpoint> services;
    WatchPosition position;  // where the first call begins
    // Whether the position came from these services. Otherwise, as after a start from disk, they may count
    // their revisions anew, so the first list is accepted whatever its revision is.
    bool position_is_current = true;
    std::uint64_t seed = 0;  // of the jitter
    // The following concern several services only.
    Millis probe_interval = 5000;   // mean time from one probe to the next
    Millis catch_up_within = 2000;  // for a watched service that a probe found to be behind
    Millis return_after = 30000;    // see ServiceFailover
  };

  // `observer` must outlive the client. Nothing is called before Watch(), but probes begin.
  DiscoveryClient(boost::asio::io_context& io, Options options, Observer& observer);
  // Abandons all calls.
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Begins a watch from the current position; does nothing while there is one.
  void Watch();

  // Changes the first service's address and watches there at once, from the current position. A call in
  // progress at the former address is not cut off: a list in its response is accepted if it arrives before
  // the first one from the new address and within 1.5 s.
  void ChangeAddress(const boost::asio::ip::tcp::endpoint& address);

  // When a list from a service was last accepted; 0: never.
  Millis last_list_at() const { return last_list_at_; }
  // Index of the service that is watched, from 0.
  std::size_t service_index() const { return failover_.current(); }

 private:
  void OnListCallEnded(ListCall& call, ListCall::Result result) override;

  std::shared_ptr<ListCall> MakeCall(const ListCall::Options& options, ListCall::Connection connection);

  // The watch.
  void StartCall();
  void StartCallAfter(Millis delay);
  void WatchCallEnded(ListCall::Result result);
  void WatchCallFailed(const ListError& error);
  ListCall::Result Validate(ListCall::Result result, bool same_service);
  void AcceptList(const ListCall& call, EndpointList list);
  void DropCall();

  // The call at the address before a change.
  void KeepFormerCall();
  void FormerCallEnded(ListCall::Result result);
  void DropFormerCall();

  // Several services.
  void ScheduleProbe();
  void StartProbe();
  void ProbeEnded(const ListCall::Result& result);
  void ScheduleSwitch(std::size_t service, std::int64_t revision);
  void SwitchTo(std::size_t service, const std::string& reason);

  double Uniform(double low, double high);

  boost::asio::io_context& io_;
  Options options_;
  Observer& observer_;
  WatchPosition position_;
  bool position_is_current_;
  ServiceFailover failover_;
  CallLog log_;
  std::minstd_rand random_;
  Millis last_list_at_ = 0;

  bool watching_ = false;
  std::shared_ptr<ListCall> call_;   // null between two calls
  ListCall::Connection connection_;  // between two calls: for the next one
  boost::asio::steady_timer next_call_;

  std::shared_ptr<ListCall> former_call_;
  bool former_position_is_current_ = false;  // position_is_current_ at the former address

  std::shared_ptr<ListCall> probe_;
  std::size_t probed_service_ = 0;
  boost::asio::steady_timer next_probe_;
  boost::asio::steady_timer switch_timer_;
  bool switch_scheduled_ = false;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_DISCOVERY_CLIENT_HPP_
