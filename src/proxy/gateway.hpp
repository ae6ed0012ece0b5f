// The gateway: connects the client side, the upstream side, discovery, the policy and hot restart.
//
// Implements the lifecycle (start, drain, stop, replacement by another process) and owns the current endpoint
// list. The policy decides how to handle requests. To be used in the event loop's thread only.
#ifndef GATEWAY_PROXY_GATEWAY_HPP_
#define GATEWAY_PROXY_GATEWAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "proxy/admin/management.hpp"
#include "proxy/admin/management_commands.hpp"
#include "proxy/admin/metrics.hpp"
#include "proxy/admin/status_log.hpp"
#include "proxy/client/client_server.hpp"
#include "proxy/config.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/discovery/endpoint_list_watcher.hpp"
#include "proxy/policy_driver.hpp"
#include "proxy/request_forwarder.hpp"
#include "proxy/restart/hot_restart.hpp"
#include "proxy/restart/inherited_state.hpp"
#include "proxy/restart/saved_state.hpp"
#include "proxy/restart/state_save_schedule.hpp"
#include "proxy/restart/state_saver.hpp"
#include "proxy/restart/transferred_state.hpp"
#include "proxy/setting_sources.hpp"
#include "proxy/upstream/upstream_pool.hpp"

namespace gateway::proxy {

class Gateway final : private ManagedGateway {
 public:
  // Begins to listen and to watch the endpoint list. If another process of the same gateway is running, uses
  // the state that the other process transfers; otherwise loads the state from the state folder. Throws
  // std::exception if the settings are invalid or an address can't be used.
  Gateway(boost::asio::io_context& io, const Config& config);

  // The address on which clients connect.
  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }
  // The address of the management port, if it is configured.
  std::optional<boost::asio::ip::tcp::endpoint> management() const;

  // Sets a function that reads the configuration file again and calls ChangeDiscovery() if the addresses of
  // discovery have changed. The gateway calls it from the event loop when a watch of the endpoint list has
  // failed, and when another process of this gateway has received SIGHUP.
  void SetConfigCheck(std::function<void()> check) { check_config_ = std::move(check); }

  // Changes the addresses of discovery and at once begins a watch of the endpoint list at the one in force.
  // The address in force until now is `running_process`.
  void ChangeDiscovery(DiscoverySources sources);

  // Notifies the other processes of this gateway, if there are any, that the configuration file was replaced.
  void ShareReload() { hot_restart_.ShareReload(); }

  // Stops gracefully: accepts connections for a short time, responds to all requests, writes the responses
  // that have begun completely, then calls `done`. If a successor process is ready, stops accepting
  // connections at once and transfers the idle connections to the successor.
  void Stop(std::function<void()> done);

 private:
  Gateway(boost::asio::io_context& io, const Config& config, InheritedState inherited,
          std::optional<SavedState> saved);

  ClaimSharing MakeClaimSharing();
  HotRestart::Callbacks MakeHotRestartCallbacks();
  EndpointListWatcher::Callbacks MakeListCallbacks();
  ClientCallbacks MakeClientCallbacks();

  // Startup.
  void LogSourceConflicts(const Config& config, const std::optional<TransferredState>& transferred,
                          const std::optional<SavedState>& saved) const;
  void RestoreList(const Config& config, const std::optional<TransferredState>& transferred,
                   const std::optional<SavedState>& saved);
  void RestoreLearnedState(const std::optional<TransferredState>& transferred,
                           const std::optional<SavedState>& saved);
  void StartSaving(const Config& config);
  void StartManagement(const Config& config);

  // Endpoint list.
  void ApplyList(const EndpointList& list);
  bool IsListStale() const;

  // Lifecycle.
  bool IsReady() const { return has_listed_endpoints_ && !stopping_ && !draining_; }
  bool PassesReadinessCheck() const;
  GatewayStatus Status() const override;
  void SetDraining(bool draining) override;
  void SaveWithin(Millis delay);
  void LimitConnections(bool half);
  TransferredState StateForSuccessor() const {
    return {list_.Snapshot(), driver_.policy().ExportState(), list_.service()};
  }
  void StopForSuccessor(const std::function<void()>& done);
  void TimeOutRequestsAfter(Millis delay, const std::function<void()>& done);
  void ExitWhenNothingIsPending(const std::function<void()>& done);
  bool HasPendingWork() const;
  void RunAfter(Millis delay, std::function<void()> action);

  boost::asio::io_context& io_;
  std::function<void()> check_config_ = [] {};
  const policy::Settings settings_;
  const DescriptorBudget budget_;  // half of this budget applies while two processes run as this gateway
  PolicyDriver driver_;
  const std::shared_ptr<BufferBudget> buffer_budget_;
  UpstreamPool upstream_;
  EndpointListWatcher list_;
  Metrics metrics_;
  RequestForwarder requests_;
  HotRestart hot_restart_;
  std::optional<StateSaver> state_saver_;
  std::optional<StateSaveSchedule> save_schedule_;
  const Millis respond_within_;  // the time of a stop within which each request has a response
  const Millis list_stale_after_;
  const Millis started_at_;
  Millis list_confirmed_at_ = 0;       // time at which the list was last known to be current
  bool list_from_state_ = false;       // whether the current list was loaded from disk
  bool has_listed_endpoints_ = false;  // whether a list with an endpoint was applied
  bool stopping_ = false;
  Millis requests_timed_out_at_ = 0;  // time of a stop at which the remaining requests timed out
  bool draining_ = false;             // whether an operator has requested a drain
  boost::asio::steady_timer stop_timer_;
  ClientServer clients_;
  ManagementCommands commands_;
  std::optional<ManagementServer> management_;
  StatusLog status_log_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_GATEWAY_HPP_
