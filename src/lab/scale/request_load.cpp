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

constexpr Millis kAtHost = 20;  // an answer takes a host so long
constexpr Millis kDeadline = 1000;
constexpr Millis kCallTimeout = 3000;
constexpr int kBacklog = 4096;
constexpr std::size_t kAnswerBytes = 200;

// Only the loopback reaches the listener, though it is bound to all addresses.
void KeepToLoopback(tcp::acceptor& acceptor) {
  constexpr std::array<char, 3> kLoopback{'l', 'o', '\0'};
  if (setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_BINDTODEVICE, kLoopback.data(), kLoopback.size()) !=
      0) {
    throw std::system_error(errno, std::generic_category(), "can't keep the hosts' listener to the loopback");
  }
}

}  // namespace

Millis HostTimes::Take(const std::string& id) {
  const auto found = host_times_.find(id);
  if (found == host_times_.end()) return 0;
  const Millis held = found->second;
  host_times_.erase(found);
  return held;
}

EmulatedHosts::EmulatedHosts(EventLoop& loop, HostTimes& held)
    : loop_(loop),
      host_times_(held),
      acceptor_(loop.io(), tcp::v4()),
      handlers_(std::make_shared<const ServerConnection::Handlers>(ServerConnection::Handlers{
          [this](const auto& connection, const HttpRequest& request) { Answer(connection, request); },
          [](const auto&) {}})) {
  KeepToLoopback(acceptor_);
  acceptor_.bind({boost::asio::ip::address_v4::any(), 0});
  acceptor_.listen(kBacklog);
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

void EmulatedHosts::Answer(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(loop_.io(), base::TimerDuration(kAtHost));
  timer->async_wait([this, timer, connection, id = std::string(request["Req-Id"]),
                     begun = base::MonotonicNow()](error_code ec) {
    if (ec) return;
    host_times_.Add(id, base::MonotonicNow() - begun);
    connection->Answer(MakeResponse(200, std::string(kAnswerBytes, 'x')));
  });
}

RequestLoad::RequestLoad(EventLoop& loop, HostTimes& held, std::vector<tcp::endpoint> gateways,
                         const FleetSize& size, std::uint64_t seed)
    : loop_(loop), host_times_(held), size_(size), random_(seed), timer_(loop.io()) {
  for (tcp::endpoint& gateway : gateways) targets_.push_back({std::move(gateway), {}});
}

void RequestLoad::Start() {
  if (size_.requests_per_s <= 0 || targets_.empty() || std::exchange(on_, true)) return;
  next_ = base::MonotonicNow();
  SendDue();
}

void RequestLoad::Stop() {
  on_ = false;
  timer_.cancel();
}

void RequestLoad::SendDue() {
  if (!on_) return;
  std::exponential_distribution<double> gap(size_.requests_per_s * static_cast<double>(targets_.size()) /
                                            1000);
  for (const Millis now = base::MonotonicNow(); next_ <= now; next_ += gap(random_)) {
    lateness_.Add(static_cast<std::uint64_t>(1000 * (now - next_)));
    SendTo(targets_[next_target_++ % targets_.size()]);
  }
  timer_.expires_after(base::TimerDuration(next_ - base::MonotonicNow()));
  timer_.async_wait([this](error_code ec) {
    if (!ec) SendDue();
  });
}

std::string RequestLoad::Text(const std::string& id) {
  const auto draw = [this](int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); };
  std::string text = fmt::format(
      "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: class-{}\r\nReq-Deadline: "
      "{:.0f}m\r\n",
      id, draw(size_.classes), kDeadline);
  if (size_.tenants > 0) text += fmt::format("Req-Owner: tenant-{}\r\n", draw(size_.tenants));
  return text + "\r\n";
}

void RequestLoad::SendTo(Target& target) {
  std::shared_ptr<ClientConnection> connection;
  while (!connection && !target.free.empty()) {
    connection = std::move(target.free.back());
    target.free.pop_back();
    if (!connection->usable()) connection.reset();
  }
  if (!connection) connection = std::make_shared<ClientConnection>(loop_.io(), target.address);
  const std::string id = fmt::format("{:016x}", ++next_id_);
  ++counts_.sent;
  connection->Exchange(
      Text(id), kCallTimeout,
      // Weak: the connection holds this handler, and would hold itself where the load ends before the answer.
      [this, &target, weak = std::weak_ptr(connection), id,
       sent = base::MonotonicNow()](ClientConnection::Result result) {
        const Millis held = host_times_.Take(id);
        const auto answered = weak.lock();
        if (answered && answered->usable()) target.free.push_back(answered);
        if (!result.ok()) {
          return void(++counts_.not_served);
        }
        ++counts_.served;
        added_.Add(static_cast<std::uint64_t>(std::max(0.0, 1000 * (base::MonotonicNow() - sent - held))));
      });
}

base::Histogram RequestLoad::TakeLateness() { return std::exchange(lateness_, {}); }

base::Histogram RequestLoad::TakeAdded() { return std::exchange(added_, {}); }

}  // namespace gateway::lab
