#include "lab/scale/request_load.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <system_error>
#include <utility>

namespace gateway::lab {
namespace {

using base::ClientConnection;
using boost::system::error_code;

constexpr Millis kHostLatencyMs = 20;  // time after which a host answers a request
constexpr Millis kRequestDeadlineMs = 1000;
constexpr Millis kResponseTimeoutMs = 3000;
constexpr int kListenBacklog = 4096;
constexpr std::size_t kResponseBytes = 200;

// Accepts only connections over the loopback device. The listener itself is bound to all addresses.
void BindToLoopbackDevice(tcp::acceptor& acceptor) {
  constexpr std::array<char, 3> kLoopback{'l', 'o', '\0'};
  if (setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_BINDTODEVICE, kLoopback.data(), kLoopback.size()) !=
      0) {
    throw std::system_error(errno, std::generic_category(),
                            "can't bind the hosts' listener to the loopback device");
  }
}

}  // namespace

Millis HostLatencies::Remove(const std::string& id) {
  const auto entry = host_latencies_.find(id);
  if (entry == host_latencies_.end()) return 0;
  const Millis host_latency = entry->second;
  host_latencies_.erase(entry);
  return host_latency;
}

EmulatedHosts::EmulatedHosts(EventLoop& loop, HostLatencies& host_latencies)
    : loop_(loop),
      host_latencies_(host_latencies),
      acceptor_(loop.io(), tcp::v4()),
      handlers_(std::make_shared<const ServerConnection::Handlers>(ServerConnection::Handlers{
          [this](const auto& connection, const HttpRequest& request) { Respond(connection, request); },
          [](const auto&) {}})) {
  BindToLoopbackDevice(acceptor_);
  acceptor_.bind({boost::asio::ip::address_v4::any(), 0});
  acceptor_.listen(kListenBacklog);
  port_ = acceptor_.local_endpoint().port();
  Accept();
}

EmulatedHosts::~EmulatedHosts() {
  error_code ignored;
  acceptor_.close(ignored);
}

void EmulatedHosts::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    if (!ec) std::make_shared<ServerConnection>(std::move(socket), nullptr, handlers_)->Begin();
    Accept();
  });
}

void EmulatedHosts::Respond(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(loop_.io(), base::TimerDuration(kHostLatencyMs));
  timer->async_wait([this, timer, connection, id = std::string(request["Req-Id"]),
                     started_at = base::MonotonicNow()](error_code ec) {
    if (ec) return;
    host_latencies_.Add(id, base::MonotonicNow() - started_at);
    connection->Answer(MakeResponse(200, std::string(kResponseBytes, 'x')));
  });
}

RequestLoad::RequestLoad(EventLoop& loop, HostLatencies& host_latencies, std::vector<tcp::endpoint> gateways,
                         const FleetSize& size, std::uint64_t seed)
    : loop_(loop), host_latencies_(host_latencies), size_(size), random_(seed), timer_(loop.io()) {
  for (tcp::endpoint& gateway : gateways) targets_.push_back({std::move(gateway), {}});
}

void RequestLoad::Start() {
  if (size_.requests_per_s <= 0 || targets_.empty() || std::exchange(running_, true)) return;
  next_send_at_ = base::MonotonicNow();
  SendDue();
}

void RequestLoad::Stop() {
  running_ = false;
  timer_.cancel();
}

void RequestLoad::SendDue() {
  if (!running_) return;
  std::exponential_distribution<double> gap(size_.requests_per_s * static_cast<double>(targets_.size()) /
                                            1000);
  for (const Millis now = base::MonotonicNow(); next_send_at_ <= now; next_send_at_ += gap(random_)) {
    lateness_.Add(static_cast<std::uint64_t>(1000 * (now - next_send_at_)));
    SendTo(targets_[next_target_++ % targets_.size()]);
  }
  timer_.expires_after(base::TimerDuration(next_send_at_ - base::MonotonicNow()));
  timer_.async_wait([this](error_code ec) {
    if (!ec) SendDue();
  });
}

std::string RequestLoad::RequestText(const std::string& id) {
  const auto draw = [this](int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); };
  std::string text = fmt::format(
      "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: class-{}\r\nReq-Deadline: "
      "{:.0f}m\r\n",
      id, draw(size_.classes), kRequestDeadlineMs);
  if (size_.tenants > 0) text += fmt::format("Req-Owner: tenant-{}\r\n", draw(size_.tenants));
  return text + "\r\n";
}

void RequestLoad::SendTo(Target& target) {
  std::shared_ptr<ClientConnection> connection;
  while (!connection && !target.idle_connections.empty()) {
    connection = std::move(target.idle_connections.back());
    target.idle_connections.pop_back();
    if (!connection->usable()) connection.reset();
  }
  if (!connection) connection = std::make_shared<ClientConnection>(loop_.io(), target.address);
  const std::string id = fmt::format("{:016x}", ++next_id_);
  ++counts_.sent;
  connection->Exchange(RequestText(id), kResponseTimeoutMs,
                       // The connection owns this handler. A strong reference to the connection would form a
                       // cycle and leak the connection if the load is destroyed before the response.
                       [this, &target, weak = std::weak_ptr(connection), id,
                        sent_at = base::MonotonicNow()](ClientConnection::Result result) {
                         const Millis host_latency = host_latencies_.Remove(id);
                         const auto open_connection = weak.lock();
                         if (open_connection && open_connection->usable())
                           target.idle_connections.push_back(open_connection);
                         if (!result.ok()) {
                           return void(++counts_.not_served);
                         }
                         ++counts_.served;
                         added_latency_.Add(static_cast<std::uint64_t>(
                             std::max(0.0, 1000 * (base::MonotonicNow() - sent_at - host_latency))));
                       });
}

base::Histogram RequestLoad::TakeLateness() { return std::exchange(lateness_, {}); }

base::Histogram RequestLoad::TakeAddedLatency() { return std::exchange(added_latency_, {}); }

}  // namespace gateway::lab
