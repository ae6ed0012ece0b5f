// The client of the list services: keeps a watch of the endpoint list open on one of them.
//
// A watch is a sequence of long-poll calls (ListCall). Each call requests the changes after the last accepted
// list (WatchPosition). If several services publish the same list, ServiceFailover selects the one to watch.
// Probes, which are calls without a long poll, find out whether another service is ahead or responds again.
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

// To be used in the event loop's thread only.
class DiscoveryClient final : private ListCall::Observer {
 public:
  // All methods are called from the event loop. Each may call Watch() and the accessors.
  class Observer {
   public:
    virtual ~Observer() = default;
    // A list from a service was accepted. The position of the watch is already the position after `list`.
    virtual void OnEndpointList(EndpointList list) = 0;
    // The watch has ended because every service failed in turn. `call_duration` is the time since the last
    // call began. A new watch begins with Watch(), which this method may call, with ChangeAddress(), or when
    // a probe finds another service that is ahead or responds again.
    virtual void OnWatchFailed(Millis call_duration) = 0;
    // Returns the reason for rejecting `list`, as a text for the log; empty if the list is acceptable. The
    // call that returned a rejected list counts as failed. May apply the drains of a rejected list.
    virtual std::string RejectionReason(const EndpointList& list) = 0;
  };

  struct Options {
    // Services of the same list, in the order in which they are tried; at least one.
    std::vector<boost::asio::ip::tcp::endpoint> services;
    WatchPosition position;  // the position from which the first call continues
    // Whether the position is known to come from these services. If it is not, as after a start from disk,
    // the services may have restarted their revision count, so the first list is accepted whatever its
    // revision is.
    bool position_is_current = true;
    std::uint64_t seed = 0;  // seed of the jitter
    // The following options apply only if there are several services.
    Millis probe_interval = 5000;   // mean time from one probe to the next
    Millis catch_up_within = 2000;  // time in which a watched service that lags behind must catch up
    Millis return_after = 30000;    // time until a return to the first service, see ServiceFailover
  };

  // `observer` must outlive the client and is not called before Watch(). Probes begin at once.
  DiscoveryClient(boost::asio::io_context& io, Options options, Observer& observer);
  // Abandons all calls.
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Begins a watch from the current position; does nothing while one is open.
  void Watch();

  // Changes the address of the first service and at once begins a watch there from the current position. A
  // call in progress at the former address continues: a list in its response is accepted if it arrives within
  // 1.5 s and before the first list from the new address.
  void ChangeAddress(const boost::asio::ip::tcp::endpoint& address);

  // Time at which a list from a service was last accepted; 0: never.
  Millis last_list_at() const { return last_list_at_; }
  // Index of the service that is watched, from 0.
  std::size_t service_index() const { return failover_.current(); }

 private:
  void OnListCallEnded(ListCall& call, ListCall::Result result) override;

  std::shared_ptr<ListCall> MakeCall(const ListCall::Options& options, ListCall::Connection connection);

  // Watch.
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

  // Probes and failover.
  void ScheduleProbe();
  void StartProbe();
  void ProbeEnded(const ListCall::Result& result);
  void ScheduleSwitch(std::size_t service, std::int64_t revision);
  void SwitchTo(std::size_t service, const std::string& reason);

  double RandomBetween(double low, double high);

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
  ListCall::Connection connection_;  // kept between two calls, for reuse by the next call
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
