// The client of the list services: watches the endpoint list at one of the services.
//
// A watch is a sequence of long-poll calls (ListCall). Each call requests the changes after the last accepted
// list (WatchPosition). If several services publish the same list, ServiceFailover selects the service to
// watch. Probes are calls without a long poll. A probe detects that another service has a newer list, or that
// the first service responds again.
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

// The service that has sent an accepted list.
enum class ListOrigin {
  kWatchedService,
  kFormerService,  // the service that was watched before MoveTo()
};

// To be used in the event loop's thread only.
class DiscoveryClient final : private ListCall::Observer {
 public:
  // The client calls all methods from the event loop. Each method may call Watch() and the accessors.
  class Observer {
   public:
    virtual ~Observer() = default;
    // Called after the client has accepted a list. The watch already continues from `list`.
    virtual void OnEndpointList(EndpointList list, ListOrigin origin) = 0;
    // Called when the watch has ended because every service failed in turn. `call_duration` is the time since
    // the start of the last call. Watch(), MoveTo() and SwitchTo(), which this method may call, begin a new
    // watch.
    // A probe also begins a new watch if it detects that another service has a newer list, or that the first
    // service responds again.
    virtual void OnWatchFailed(Millis call_duration) = 0;
    // Returns the reason for rejecting `list` as a text for the log, or an empty string to accept the list.
    // The client treats the call that returned a rejected list as failed. This method may apply the drains of
    // a rejected list.
    virtual std::string RejectionReason(const EndpointList& list) = 0;
  };

  struct Options {
    // The services that publish the list, in the order in which the client tries them; at least one.
    std::vector<boost::asio::ip::tcp::endpoint> services;
    WatchPosition position;  // the position from which the first call continues
    // Whether `position` is known to come from these services. False for a position that was loaded from
    // disk, because the services may have restarted their revision count since the save. If false, the client
    // accepts a first list of any revision.
    bool position_is_current = true;
    std::uint64_t seed = 0;  // seed of the jitter
    // The following options apply only if there are several services.
    Millis probe_interval = 5000;    // mean time between two probes
    Millis catch_up_timeout = 2000;  // how long the client waits for the watched service to catch up
    Millis return_delay = 30000;     // see the constructor of ServiceFailover
  };

  // `observer` must outlive the client, which does not call it before Watch(). Probes begin at once.
  DiscoveryClient(boost::asio::io_context& io, Options options, Observer& observer);
  // Abandons all calls.
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Begins a watch from the current position. Does nothing while a watch is in progress.
  void Watch();

  // Replaces the services, because discovery has moved, and at once begins a watch at the first one from the
  // current position. A call in progress at a former address continues. Its list is accepted if it arrives
  // within 1.5 s and before the first list from a new address.
  void MoveTo(std::vector<boost::asio::ip::tcp::endpoint> services);

  // Replaces the services, because the former ones do not respond or have fallen behind, and at once begins a
  // watch at the first one from the current position. Abandons a call in progress.
  void SwitchTo(std::vector<boost::asio::ip::tcp::endpoint> services);

  // Time at which the client last accepted a list; 0 if it has not accepted any.
  Millis last_list_at() const { return last_list_at_; }
  // Index of the watched service, from 0, and its address.
  std::size_t service_index() const { return failover_.current(); }
  const boost::asio::ip::tcp::endpoint& service() const { return options_.services[failover_.current()]; }
  // Position of the last accepted list; before the first one, that of the options.
  const WatchPosition& position() const { return position_; }

 private:
  void OnListCallEnded(ListCall& call, ListCall::Result result) override;

  std::shared_ptr<ListCall> MakeCall(const ListCall::Options& options, ListCall::Connection connection);

  // Calls of the watch.
  void StartCall();
  void StartCallAfter(Millis delay);
  void WatchCallEnded(ListCall::Result result);
  void WatchCallFailed(const ListError& error);
  ListCall::Result Validate(ListCall::Result result, bool same_service);
  void AcceptList(const ListCall& call, EndpointList list, ListOrigin origin);
  void AbandonCall();

  // The call that was in progress at the former address when the address changed.
  void KeepCallAsFormerCall();
  void FormerCallEnded(ListCall::Result result);
  void AbandonFormerCall();

  // Probes and failover.
  void ScheduleProbe();
  void StartProbe();
  void ProbeEnded(const ListCall::Result& result);
  void ScheduleSwitch(std::size_t service, std::int64_t revision);
  void SwitchToService(std::size_t service, const std::string& reason);
  void ReplaceServices(std::vector<boost::asio::ip::tcp::endpoint> services);

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
  ListCall::Connection connection_;  // the connection that the next call reuses; null if there is none
  boost::asio::steady_timer next_call_;

  std::shared_ptr<ListCall> former_call_;
  bool former_position_is_current_ = false;  // position_is_current_ for the service at the former address

  std::shared_ptr<ListCall> probe_;
  std::size_t probed_service_ = 0;
  boost::asio::steady_timer next_probe_;
  boost::asio::steady_timer switch_timer_;
  bool switch_scheduled_ = false;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_DISCOVERY_CLIENT_HPP_
