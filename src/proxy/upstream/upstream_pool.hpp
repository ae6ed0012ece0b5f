// Connections to hosts: one request on each at a time, the most recently used first.
#ifndef GATEWAY_PROXY_UPSTREAM_UPSTREAM_POOL_HPP_
#define GATEWAY_PROXY_UPSTREAM_UPSTREAM_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/body.hpp"
#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

class UpstreamPool {
 public:
  struct Limits {
    Millis dial_timeout = 250;
    Millis idle_timeout = 15000;          // hosts close connections that stood idle for this long
    std::size_t connections = 256;        // over all hosts
    std::size_t held = 16 * 1024 * 1024;  // bytes of answers that are not whole yet, over all
  };
  // An attempt, and what is told of it. Both ends may be told before Start returns.
  struct Order {
    std::shared_ptr<const HttpRequest> request;  // the body as far as it is held
    std::shared_ptr<BodySource> rest;            // what follows; the request's last byte is that of this
    Millis deadline = 0;
    std::function<bool()> wanted;  // asked behind a dial: whether it is to be written still
    // How it ended, once; the answer is that of the host, if there was one and it was held.
    std::function<void(policy::AttemptResult, HttpResponse)> done;
    // A served answer that is too long to be held has begun: its head, what is there of its body, and the
    // rest.
    std::function<void(HttpResponse, std::shared_ptr<BodySource>)> begun;
    std::function<void()> passing;  // all that is held was written, and the rest follows
    std::function<void()> written;  // the request's last byte was
  };

  UpstreamPool(boost::asio::io_context& io, Limits limits);

  // Takes effect at once: a host that drains or is gone is sent nothing more, not even on a connection that
  // is being dialled.
  void Update(const EndpointList& list);

  // Sends the request unless the host is not to be used any more. Returns a number for Cancel.
  std::uint64_t Start(const std::string& host, Order order);
  // Another time by which an attempt has to be answered.
  void SetDeadline(std::uint64_t attempt, Millis deadline);
  // Ends an attempt of which nothing was written yet, with kNotSent. Its connection is closed.
  void Withdraw(std::uint64_t attempt);
  // Ends an attempt that is still out, with kCancelled. Its connection is closed.
  void Cancel(std::uint64_t attempt);

  std::size_t connections() const { return connections_; }
  // How many there may be from now on; idle ones beyond it are closed.
  void SetMost(std::size_t connections);

  // What became of the connections, from the start on.
  struct Counts {
    std::uint64_t dialled = 0, reused = 0, stale = 0;  // stale: found closed when it was to be reused
    std::uint64_t reset_new = 0, reset_reused = 0;     // broke after the request was written
    std::uint64_t unusable = 0;                        // attempts without a place or a host to go to
  };
  const Counts& counts() const { return counts_; }

 private:
  class Connection;
  struct HostState {
    boost::asio::ip::tcp::endpoint address;
    bool up = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  };

  void UpdateHost(const ListedEndpoint& entry);
  void CloseIdle(HostState& host);
  bool EvictIdle();
  bool MayUse(const std::string& host, const boost::asio::ip::tcp::endpoint& address) const;
  void Forget(const std::string& host, const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  std::map<std::string, HostState> hosts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> active_;  // by attempt
  std::size_t connections_ = 0;
  std::size_t held_ = 0;  // bytes of answers that are not whole yet
  Counts counts_;
  Millis quiet_until_ = 0;  // no line on a reset is logged before
  std::uint64_t next_attempt_ = 1;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_UPSTREAM_POOL_HPP_
