// The registry service as a process: HTTP calls in front of a DurableCatalog and its Leases. A change is told
// to anyone only once it is on the disk. One thread, and the journal's.
#ifndef GATEWAY_REGISTRY_SERVICE_HPP_
#define GATEWAY_REGISTRY_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "registry/admission.hpp"
#include "registry/durable_catalog.hpp"
#include "registry/form.hpp"
#include "registry/leases.hpp"
#include "registry/list_cache.hpp"
#include "registry/service_options.hpp"
#include "registry/service_report.hpp"
#include "registry/session.hpp"
#include "registry/watches.hpp"
#include "storage/file_system.hpp"

namespace gateway::registry {

class Service final : private SessionHandler, private CatalogObserver {
 public:
  // Recovers and listens. Throws std::runtime_error if either can't be. `io` and `files` outlive it.
  Service(boost::asio::io_context& io, storage::FileSystem& files, ServiceOptions options);
  ~Service() override;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  const Catalog& catalog() const { return store_.catalog(); }

 private:
  using SessionPtr = std::shared_ptr<Session>;

  // SessionHandler
  void OnBytes(std::size_t in, std::size_t out) override;
  void OnRequest(const SessionPtr& session) override;
  void OnClosed(const SessionPtr& session, CloseReason reason) override;
  // CatalogObserver
  void OnApplied(const Command& command, const Outcome& outcome) override;
  void OnRefused(const Command& command) override;
  void OnReopened(const std::vector<const Member*>& changed) override;
  void OnNewRevision() override;

  void Listen();
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void TurnAway(const SessionPtr& session, const std::string& message, bool keep_alive);

  void AnswerList(const SessionPtr& session, std::string_view target);
  void AnswerHistory(const SessionPtr& session, std::string_view target) const;
  bool AnswerReport(const SessionPtr& session, std::string_view path, std::string_view target);
  void AnswerCall(const SessionPtr& session, std::string_view name, const std::string& body);
  Outcome Renew(const Renewal& renewal);
  void ProposeTrust(const Renewal& renewal);
  ServiceView View() const;

  void Tick();
  void TickLater();
  void CheckLeases(base::Millis now);
  void LogHolds();

  boost::asio::io_context& io_;
  const ServiceOptions options_;
  Leases leases_;
  DurableCatalog store_;
  ListCache lists_;
  Watches watches_;
  Admission admission_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_;
  std::unordered_set<SessionPtr> sessions_;
  std::set<std::string> held_zones_;  // as last logged; an empty name: all zones
  ServiceCounts counts_;              // without those that other parts keep
  const base::Millis started_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_SERVICE_HPP_
