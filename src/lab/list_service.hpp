// The list service as each gateway meets it, behind a link of its own: an emulation by the protocol page, or
// a proxy of the project's own list service. Either way hosts have the addresses at which this gateway
// reaches them.
#ifndef GATEWAY_LAB_LIST_SERVICE_HPP_
#define GATEWAY_LAB_LIST_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/http_server.hpp"
#include "lab/link_table.hpp"
#include "lab/registry_process.hpp"

namespace gateway::lab {

struct ListedHost {
  std::string id;
  std::string zone;
  std::string machine_type;
  std::string phase = "up";  // as on the wire: up, draining, removed
  double weight = 1;
  double started_at = 0;      // Unix time in ms
  std::int64_t revision = 1;  // of its last change
  Millis changed_at = 0;      // when that change was published
};

// Gateways and hosts are numbered from 0. To be used in the thread of the io_context.
class ListService {
 public:
  // All references outlive the service.
  struct Environment {
    boost::asio::io_context& io;
    const Addresses& addresses;
    LinkTable& links;
    int gateways;
    Millis delay;                         // of the emulation: from a change to its publication
    RegistryProcess* registry = nullptr;  // null: the emulation
  };
  // Throws std::runtime_error where an address can't be had.
  ListService(Environment environment, std::vector<ListedHost> hosts);

  // A host has changed: published after the delay, or by the list service when it finds out. `started_at`: of
  // its process, for the phase "up".
  void Change(int host, const std::string& phase, double started_at);

  // The emulation refuses connections while it is down.
  void SetDown(bool down);

  // This share of the answers of the project's own list service is cut off half-way.
  void SetTruncatedShare(double share) { truncated_share_ = share; }

  // The complete list as JSON, with the addresses of this gateway.
  std::string CompleteList(int gateway) const { return ListText(gateway, 0, true); }

  // When the gateway was notified that the host drains or is removed; negative where it was not, or where the
  // host is up again. A change that the gateway could have polled counts as notified some seconds after its
  // publication (PROTOCOL, "Figures").
  Millis NotifiedAt(int gateway, int host) const;

  // The gateway's process starts anew and knows only its configuration.
  void ForgetNotifications(int gateway);

  std::uint64_t calls() const { return calls_; }

  // The newest revision that has been delivered to this gateway; 0 where there is none.
  std::int64_t DeliveredRevision(int gateway) const {
    return delivered_revisions_[static_cast<std::size_t>(gateway)];
  }

 private:
  // A call that waits for the next change.
  struct Watch {
    explicit Watch(boost::asio::io_context& io) : timer(io) {}
    int gateway = 0;
    std::int64_t after = 0;
    std::shared_ptr<ServerConnection> connection;
    boost::asio::steady_timer timer;
  };
  enum class Readiness { kNotNamed, kUp, kNotUp };

  void Open();
  void OnAccept(int gateway, tcp::socket socket);
  void OnClose(const std::shared_ptr<ServerConnection>& connection);
  void OnRequest(int gateway, const std::shared_ptr<ServerConnection>& connection,
                 const HttpRequest& request);
  void AddWatch(int gateway, std::int64_t after, Millis timeout,
                const std::shared_ptr<ServerConnection>& connection);
  void ChangeInRegistry(int host, const std::string& phase, double started_at);
  void Publish(int host, const std::string& phase, double started_at);
  void Answer(int gateway, std::int64_t after, bool complete,
              const std::shared_ptr<ServerConnection>& connection);
  std::string ListText(int gateway, std::int64_t after, bool complete) const;
  void ForwardRequest(int gateway, const std::shared_ptr<ServerConnection>& connection,
                      const std::string& target);
  void ForwardResponse(int gateway, const std::shared_ptr<ServerConnection>& connection,
                       const HttpResponse& response);
  std::vector<Readiness> TranslateAddresses(int gateway, nlohmann::json& list) const;
  void AnswerTruncated(const std::shared_ptr<ServerConnection>& connection, HttpResponse response);
  bool IsNextTruncated();
  void RecordNotifications(int gateway, const std::vector<Readiness>& readiness);

  Environment env_;
  std::vector<ListedHost> hosts_;
  std::int64_t revision_ = 1;
  bool down_ = false;
  Millis up_again_at_ = 0;
  std::vector<std::unique_ptr<Listener>> listeners_;  // by gateway
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::vector<Millis>> notified_at_;  // by gateway and host; negative: not
  std::uint64_t calls_ = 0;
  std::vector<std::int64_t> delivered_revisions_;  // by gateway
  std::map<std::shared_ptr<ServerConnection>, std::shared_ptr<ClientConnection>> upstreams_;
  double truncated_share_ = 0;
  int forwarded_ = 0;  // responses while some are truncated
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LIST_SERVICE_HPP_
