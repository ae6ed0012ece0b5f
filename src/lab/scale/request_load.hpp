// The request load on the real gateways, and the emulated hosts that answer the requests. The load is
// open-loop: it sends requests at a given mean rate with random gaps and does not wait for responses. One
// listener serves all hosts of the fleet. Single-threaded.
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

// The time that each request spends at its host, by request id.
class HostLatencies {
 public:
  void Add(const std::string& id, Millis latency) { host_latencies_[id] = latency; }
  // Removes and returns the time; 0 if no host has answered the request.
  Millis Remove(const std::string& id);

 private:
  std::unordered_map<std::string, Millis> host_latencies_;
};

// All hosts of the fleet: one listener on all loopback addresses, with an ephemeral port. Answers each
// request after a fixed time.
class EmulatedHosts {
 public:
  EmulatedHosts(EventLoop& loop, HostLatencies& host_latencies);
  ~EmulatedHosts();
  std::uint16_t port() const { return port_; }

 private:
  void Accept();
  void Respond(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);

  EventLoop& loop_;
  HostLatencies& host_latencies_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
};

// The numbers of requests since the start of the load. `not_served` counts errors and timeouts.
struct RequestCounts {
  std::uint64_t sent = 0, served = 0, not_served = 0;
};

// Sends requests to the gateways in round-robin order.
class RequestLoad {
 public:
  RequestLoad(EventLoop& loop, HostLatencies& host_latencies, std::vector<tcp::endpoint> gateways,
              const FleetSize& size, std::uint64_t seed);

  void Start();
  void Stop();
  // Returns the latency in us that the gateways added to the time at the host, for the requests that were
  // served since the previous call.
  base::Histogram TakeAddedLatency();
  // Returns the time in us from the scheduled to the actual start of each request, for the requests that were
  // sent since the previous call.
  base::Histogram TakeLateness();
  const RequestCounts& counts() const { return counts_; }

 private:
  struct Target {
    tcp::endpoint address;
    std::vector<std::shared_ptr<base::ClientConnection>> idle_connections;
  };
  void SendDue();
  void SendTo(Target& target);
  std::string RequestText(const std::string& id);

  EventLoop& loop_;
  HostLatencies& host_latencies_;
  const FleetSize size_;
  std::mt19937_64 random_;
  std::vector<Target> targets_;
  std::size_t next_target_ = 0;
  boost::asio::steady_timer timer_;
  Millis next_send_at_ = 0;
  std::uint64_t next_id_ = 0;
  bool running_ = false;
  base::Histogram added_latency_, lateness_;
  RequestCounts counts_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_REQUEST_LOAD_HPP_
