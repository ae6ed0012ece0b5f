// The registry service, which publishes the endpoint list. Gateways read and watch the list, members renew
// their leases, and members and operators change the list. Clients see only durable changes.
#ifndef GATEWAY_REGISTRY_SERVICE_HPP_
#define GATEWAY_REGISTRY_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "registry/admission.hpp"
#include "registry/call_handler.hpp"
#include "registry/durable_catalog.hpp"
#include "registry/lease_monitor.hpp"
#include "registry/list_handler.hpp"
#include "registry/service_options.hpp"
#include "registry/service_report.hpp"
#include "registry/session.hpp"
#include "storage/file_system.hpp"

namespace gateway::registry {

// Accepts connections and routes their requests to the handlers. Must be used in the thread of the
// io_context. The log writer has a thread of its own.
class Service final : private SessionHandler, private CatalogObserver {
 public:
  // Recovers the catalog and starts to listen. Throws std::runtime_error if the recovery or listening fails.
  // `io` and `files` must outlive the service.
  Service(boost::asio::io_context& io, storage::FileSystem& files, ServiceOptions options);
  ~Service() override;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  const Catalog& catalog() const { return durable_catalog_.catalog(); }

 private:
  using SessionPtr = std::shared_ptr<Session>;

  // SessionHandler
  void OnTraffic(std::size_t received, std::size_t sent) override;
  void OnRequest(const SessionPtr& session) override;
  void OnClosed(const SessionPtr& session, CloseReason reason) override;
  // CatalogObserver
  void OnApplied(const Command& command, const CommandResult& result) override;
  void OnRejected(const Command& command) override;
  void OnReopened(const std::vector<const Member*>& changed) override;
  void OnNewRevision() override;

  void Listen();
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void RejectClient(const SessionPtr& session);

  void RouteList(const SessionPtr& session, std::string_view target);
  bool RouteReport(const SessionPtr& session, std::string_view path, std::string_view target);
  void RouteCall(const SessionPtr& session, std::string_view path);
  ServiceView MakeView() const;

  void Tick();
  void ScheduleTick();

  boost::asio::io_context& io_;
  const ServiceOptions options_;
  DurableCatalog durable_catalog_;
  LeaseMonitor lease_monitor_;
  Admission admission_;
  ListHandler list_handler_;
  CallHandler call_handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_timer_;
  std::unordered_set<SessionPtr> sessions_;
  ServiceTotals totals_;  // only the totals that no other component counts
  const base::Millis start_time_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_HPP_
