// The list service that each gateway reaches over a link of its own. It is an emulation according to
// PROTOCOL, or a proxy in front of the project's list service. In both cases each gateway gets a list with
// the addresses at which this gateway reaches the hosts.
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
  std::string phase = "up";  // "up", "draining" or "removed", as in the JSON list
  double weight = 1;
  double started_at = 0;      // Unix time in ms
  std::int64_t revision = 1;  // revision of the last change of this host
  Millis changed_at = 0;      // when the last change was published
};

// Gateways and hosts are numbered from 0. Must be used in the thread of the io_context.
class ListService {
 public:
  // The referenced objects must outlive the service.
  struct Environment {
    boost::asio::io_context& io;
    const Addresses& addresses;
    LinkTable& links;
    int gateways;
    Millis delay;                         // emulation only: time from a change to its publication
    RegistryProcess* registry = nullptr;  // null: the service is emulated
  };
  // Throws std::runtime_error if an address is not available.
  ListService(Environment environment, std::vector<ListedHost> hosts);

  // Changes the phase of a host. The emulation publishes the change after Environment::delay. The project's
  // list service publishes it when it detects the change. `started_at` is the start time of the host's
  // process; it is used for the phase "up" only.
  void Change(int host, const std::string& phase, double started_at);

  // Stops or restarts the emulation, which refuses connections while it is down.
  void SetDown(bool down);

  // Sets the share of the responses of the project's list service that are truncated.
  void SetTruncatedShare(double share) { truncated_share_ = share; }

  // The complete list as JSON, with the addresses for this gateway.
  std::string CompleteList(int gateway) const { return ListText(gateway, 0, true); }

  // When the gateway was notified that the host drains or is removed; negative if it was not, or if the host
  // is up again. A change that the gateway could have polled counts as notified some seconds after its
  // publication (PROTOCOL, "Figures").
  Millis NotifiedAt(int gateway, int host) const;

  // Called when the gateway's process restarts, since the new process has only the list in its configuration.
  void ForgetNotifications(int gateway);

  std::uint64_t calls() const { return calls_; }

  // The newest revision that has been delivered to this gateway; 0 if there is none.
  std::int64_t DeliveredRevision(int gateway) const {
    return delivered_revisions_[static_cast<std::size_t>(gateway)];
  }

 private:
  // A long poll that waits for a revision after `after`.
  struct Watch {
    explicit Watch(boost::asio::io_context& io) : timer(io) {}
    int gateway = 0;
    std::int64_t after = 0;
    std::shared_ptr<ServerConnection> connection;
    boost::asio::steady_timer timer;
  };
  enum class Readiness { kNotListed, kUp, kNotUp };  // of a host, according to a list

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
  bool ShouldTruncateNext();
  void RecordNotifications(int gateway, const std::vector<Readiness>& readiness);

  Environment env_;
  std::vector<ListedHost> hosts_;
  std::int64_t revision_ = 1;
  bool down_ = false;
  Millis restored_at_ = 0;                            // when SetDown(false) was last called; 0: never
  std::vector<std::unique_ptr<Listener>> listeners_;  // by gateway
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::vector<Millis>> notified_at_;  // by gateway and host; negative: not notified
  std::uint64_t calls_ = 0;
  std::vector<std::int64_t> delivered_revisions_;  // by gateway
  std::map<std::shared_ptr<ServerConnection>, std::shared_ptr<ClientConnection>>
      upstreams_;  // connections to the project's list service, by connection of a gateway
  double truncated_share_ = 0;
  int forwarded_ = 0;  // number of responses that were forwarded while truncated_share_ was above 0
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LIST_SERVICE_HPP_
