// The emulated hosts on their sockets, hundreds in one process: HostModel decides, this listens and answers.
#ifndef GATEWAY_LAB_HOSTS_HPP_
#define GATEWAY_LAB_HOSTS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/host_model.hpp"
#include "lab/http.hpp"
#include "lab/rules.hpp"

namespace gateway::lab {

class Hosts {
 public:
  struct Setting {
    boost::asio::io_context& io;
    const Experiment& experiment;
    const Addresses& addresses;
    Rules& rules;
    std::function<Link*(int gateway, int host)> link;
    std::function<Millis(int gateway, int host)> told;  // that it drains or is gone; -1: not
    std::uint64_t seed;
    int viewers;  // gateways that reach the hosts
  };
  explicit Hosts(Setting setting);

  int count() const { return static_cast<int>(hosts_.size()); }
  const HostKind& kind(int host) const { return hosts_[static_cast<std::size_t>(host)]->kind; }
  const std::string& zone(int host) const { return hosts_[static_cast<std::size_t>(host)]->zone; }

  // Faults.
  void SetSpeed(int host, double factor);
  void SetErrors(int host, double share) { At(host).errors = share; }
  void SetMute(int host, bool mute) { At(host).mute = mute; }
  void Kill(int host);                // its connections break, new ones are refused
  void Start(int host);               // cold
  void Reset(int host, int gateway);  // the connections between them break
  // From now on it turns requests away, if it drains.
  void SetDraining(int host, bool draining) { At(host).draining = draining; }

  struct Counts {
    std::uint64_t reached = 0, begun = 0, served = 0, turned_away = 0, failed = 0, cancelled = 0;
    std::uint64_t connections = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Work {
    std::shared_ptr<ServerConnection> connection;
    std::string id;
  };
  struct Host {
    explicit Host(boost::asio::io_context& io) : timer(io) {}
    int number = 0;
    HostKind kind;
    std::string zone;
    std::vector<std::unique_ptr<Listener>> listeners;  // one a gateway
    std::unique_ptr<HostModel> model;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    std::unordered_map<HostModel::Job, Work> work;
    boost::asio::steady_timer timer;
    Millis due = -1;
    double errors = 0;
    bool mute = false, draining = false, up = false;
  };
  Host& At(int host) { return *hosts_[static_cast<std::size_t>(host)]; }
  void Open(Host& host, std::optional<Millis> started);
  void Accepted(Host& host, int gateway, tcp::socket socket);
  void Requested(Host& host, int gateway, const std::shared_ptr<ServerConnection>& connection,
                 const HttpRequest& request);
  void Closed(Host& host, const std::shared_ptr<ServerConnection>& connection);
  void Advance(Host& host);
  void Arm(Host& host);
  void SweepLater();
  bool Draw(double share);

  Setting s_;
  std::vector<std::unique_ptr<Host>> hosts_;
  boost::random::mt19937_64 random_;
  HostModel::Job next_job_ = 0;
  Counts counts_;
  boost::asio::steady_timer sweep_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HOSTS_HPP_
