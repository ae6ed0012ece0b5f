// Requests to real gateways, and the hosts that answer them: arrivals at random times at a given rate,
// whatever the answers. Every host of the fleet is behind one listener. One thread.
#ifndef GATEWAY_LAB_SCALE_REQUEST_LOAD_HPP_
#define GATEWAY_LAB_SCALE_REQUEST_LOAD_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/histogram.hpp"
#include "base/http_client.hpp"
#include "lab/http_server.hpp"
#include "lab/scale/event_loop.hpp"
#include "lab/scale/scale_experiment.hpp"

namespace gateway::lab {

// How long each request was at its host, by request id.
class HostTimes {
 public:
  void Add(const std::string& id, Millis held) { host_times_[id] = held; }
  // 0 for a request that no host has answered.
  Millis Take(const std::string& id);

 private:
  std::unordered_map<std::string, Millis> host_times_;
};

// All hosts, at every loopback address and one port of the kernel's choice. Each answers after a fixed time.
class EmulatedHosts {
 public:
  EmulatedHosts(EventLoop& loop, HostTimes& held);
  ~EmulatedHosts();
  std::uint16_t port() const { return port_; }

 private:
  void Accept();
  void Answer(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);

  EventLoop& loop_;
  HostTimes& host_times_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
};

struct RequestCounts {
  std::uint64_t sent = 0, served = 0, not_served = 0;
};

class RequestLoad {
 public:
  RequestLoad(EventLoop& loop, HostTimes& held, std::vector<tcp::endpoint> gateways, const FleetSize& size,
              std::uint64_t seed);

  void Start();
  void Stop();
  // Of the requests answered since the last call of this: their time beyond that at the host, in us.
  base::Histogram TakeAdded();
  // Of the requests sent since the last call of this: how far behind their schedule they were, in us.
  base::Histogram TakeLateness();
  const RequestCounts& counts() const { return counts_; }

 private:
  struct Target {
    tcp::endpoint address;
    std::vector<std::shared_ptr<base::ClientConnection>> free;
  };
  void SendDue();
  void SendTo(Target& target);
  std::string Text(const std::string& id);

  EventLoop& loop_;
  HostTimes& host_times_;
  const FleetSize size_;
  std::mt19937_64 random_;
  std::vector<Target> targets_;
  std::size_t next_target_ = 0;
  boost::asio::steady_timer timer_;
  Millis next_ = 0;
  std::uint64_t next_id_ = 0;
  bool on_ = false;
  base::Histogram added_, lateness_;
  RequestCounts counts_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_REQUEST_LOAD_HPP_
