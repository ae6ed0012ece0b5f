// The emulated hosts and their sockets. One process emulates hundreds of hosts. HostModel decides whether and
// when a host executes a request; the emulator does the network I/O.
#ifndef GATEWAY_LAB_HOST_EMULATOR_HPP_
#define GATEWAY_LAB_HOST_EMULATOR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/host_model.hpp"
#include "lab/http_server.hpp"
#include "lab/link_table.hpp"
#include "lab/rule_checker.hpp"

namespace gateway::lab {

// Hosts are numbered from 0 across all groups, in the order of the groups. Must be used in the thread of the
// io_context.
class HostEmulator {
 public:
  // The referenced objects must outlive the emulator.
  struct Environment {
    boost::asio::io_context& io;
    const Experiment& experiment;
    const Addresses& addresses;
    LinkTable& links;
    RuleChecker& rules;
    // When the gateway was notified that the host drains or is removed; negative if it was not.
    std::function<Millis(int gateway, int host)> notified_at;
    std::uint64_t seed;
    int gateways;  // number of gateways; 1 if clients call the hosts directly
  };
  // Starts all hosts, already warmed up. Throws std::runtime_error if an address is not available.
  explicit HostEmulator(Environment environment);

  int count() const { return static_cast<int>(hosts_.size()); }
  const HostGroup& group(int host) const { return hosts_[static_cast<std::size_t>(host)]->group; }
  const std::string& zone(int host) const { return hosts_[static_cast<std::size_t>(host)]->zone; }

  // Faults.
  void SetSpeed(int host, double factor);
  void SetErrorRate(int host, double rate) { HostAt(host).error_rate = rate; }
  // A mute host never answers a request.
  void SetMute(int host, bool mute) { HostAt(host).mute = mute; }
  // Resets the connections of the host and refuses new connections.
  void Kill(int host);
  // Starts a killed host, which then warms up again.
  void Start(int host);
  // Resets the connections between the host and the gateway.
  void ResetConnections(int host, int gateway);
  // A draining host rejects requests.
  void SetDraining(int host, bool draining) { HostAt(host).draining = draining; }

  struct Counts {
    std::uint64_t attempts = 0;     // requests that arrived at hosts
    std::uint64_t rejected = 0;     // requests that hosts rejected without executing them
    std::uint64_t connections = 0;  // connections that hosts accepted
  };
  const Counts& counts() const { return counts_; }

 private:
  struct OpenRequest {
    std::shared_ptr<ServerConnection> connection;
    std::string id;
  };
  struct EmulatedHost {
    explicit EmulatedHost(boost::asio::io_context& io) : timer(io) {}
    int number = 0;
    HostGroup group;
    std::string zone;
    std::vector<std::unique_ptr<Listener>> listeners;  // by gateway
    std::unique_ptr<HostModel> model;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    std::unordered_map<HostModel::Job, OpenRequest> requests;
    boost::asio::steady_timer timer;  // for the next event of the model
    Millis timer_at = -1;             // time for which the timer is set; negative: not set
    double error_rate = 0;
    bool mute = false;
    bool draining = false;
    bool up = false;
  };

  EmulatedHost& HostAt(int host) { return *hosts_[static_cast<std::size_t>(host)]; }
  void AddHost(const HostGroup& group);
  void Open(EmulatedHost& host, std::optional<Millis> started_at);
  void OnAccept(EmulatedHost& host, int gateway, tcp::socket socket);
  void OnRequest(EmulatedHost& host, int gateway, const std::shared_ptr<ServerConnection>& connection,
                 const HttpRequest& request);
  void Submit(EmulatedHost& host, const std::shared_ptr<ServerConnection>& connection, const std::string& id,
              Millis work, Millis expires_at);
  void Reject(const std::shared_ptr<ServerConnection>& connection, unsigned status);
  void OnClose(EmulatedHost& host, const std::shared_ptr<ServerConnection>& connection);
  void Advance(EmulatedHost& host);
  void OnEvent(EmulatedHost& host, const HostModel::Event& event);
  void Respond(const EmulatedHost& host, const OpenRequest& request, const HostModel::Event& event);
  void SetTimer(EmulatedHost& host);
  void CloseIdleConnections();
  bool DrawBernoulli(double probability);

  Environment env_;
  std::vector<std::unique_ptr<EmulatedHost>> hosts_;
  boost::random::mt19937_64 random_;
  HostModel::Job next_job_ = 0;
  Counts counts_;
  boost::asio::steady_timer idle_timer_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HOST_EMULATOR_HPP_
