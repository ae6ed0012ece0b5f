#include "proxy/admin/management.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

#include "proxy/clock.hpp"
#include "proxy/listener.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxLineBytes = 256;
// The time in which the client must send the command line. It is long because an operator may type the
// command.
constexpr Millis kCommandTimeoutMs = 10000;
// The time in which the client must read the response and close the connection.
constexpr Millis kResponseTimeoutMs = 2000;
// The time for which a connection stays open even if the server is at its limit of connections.
constexpr Millis kMinLifetimeMs = 50;
// The delay before the next accept if an accept has failed, or if the limit of connections is reached and all
// connections were accepted less than kMinLifetimeMs ago.
constexpr Millis kAcceptRetryDelayMs = 20;

}  // namespace

class ManagementServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ManagementServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {}

  // If the command has already arrived, handles it before this method returns, that is, before the server
  // accepts another connection.
  void Start() {
    error_code ec;
    socket_.non_blocking(true, ec);
    StartTimer(kCommandTimeoutMs);
    ReadCommand();
  }

  Millis accepted_at() const { return accepted_at_; }
  bool has_response() const { return has_response_; }

  void Close() {
    if (!std::exchange(open_, false)) return;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    server_.connections_.remove(shared_from_this());
  }

 private:
  void StartTimer(Millis timeout) {
    timer_.expires_after(TimerDuration(timeout));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || !self->open_) return;
      self->has_response_ ? self->Close() : self->Respond("FAILURE no whole line in time\n");
    });
  }

  void ReadCommand() {
    while (open_) {
      error_code ec;
      char* const start = buffer_.data() + received_bytes_;
      const std::size_t received =
          socket_.read_some(asio::buffer(start, buffer_.size() - received_bytes_), ec);
      if (ec == asio::error::would_block) break;
      if (ec) {
        return received_bytes_ > 0 && ec == asio::error::eof ? Respond("FAILURE the line has no end\n")
                                                             : Close();
      }
      if (const char* const end = std::find(start, start + received, '\n'); end != start + received) {
        std::string command(buffer_.data(), static_cast<std::size_t>(end - buffer_.data()));
        if (command.ends_with('\r')) command.pop_back();
        return Respond(server_.handle_command_(command));
      }
      received_bytes_ += received;
      if (received_bytes_ == buffer_.size()) return Respond("FAILURE the line is too long\n");
    }
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (self->open_ && !self->has_response_) ec ? self->Close() : self->ReadCommand();
    });
  }

  void Respond(std::string response) {
    has_response_ = true;
    response_ = std::move(response);
    StartTimer(kResponseTimeoutMs);
    asio::async_write(socket_, asio::buffer(response_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (!self->open_) return;
                        if (!ec) self->socket_.shutdown(tcp::socket::shutdown_send, ec);
                        ec ? self->Close() : self->DiscardInput();
                      });
  }

  // Reads and discards bytes until the client closes the connection. Closing a socket with unread bytes would
  // reset the connection, and the client could lose the response.
  void DiscardInput() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (!self->open_) return;
      const std::size_t received = ec ? 0 : self->socket_.read_some(asio::buffer(self->buffer_), ec);
      if (received == 0 && ec != asio::error::would_block) return self->Close();
      self->DiscardInput();
    });
  }

  ManagementServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  // Holds the command, and after the response the bytes that DiscardInput() reads.
  std::array<char, kMaxLineBytes> buffer_;
  std::size_t received_bytes_ = 0;
  std::string response_;
  const Millis accepted_at_ = Now();
  bool open_ = true;
  bool has_response_ = false;
};

ManagementServer::ManagementServer(asio::io_context& io, const tcp::endpoint& address,
                                   std::size_t max_connections, CommandHandler handle_command)
    : io_(io),
      acceptor_(io),
      accept_retry_timer_(io),
      max_connections_(max_connections),
      handle_command_(std::move(handle_command)) {
  OpenListener(acceptor_, address, "NODE_MGMT");
  Accept();
}

ManagementServer::~ManagementServer() {
  while (!connections_.empty()) connections_.front()->Close();
}

void ManagementServer::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) return ScheduleAccept();
    const auto connection = connections_.emplace_back(std::make_shared<Connection>(*this, std::move(socket)));
    connection->Start();
    connections_.size() < max_connections_ || CloseOldestConnection() ? Accept() : ScheduleAccept();
  });
}

void ManagementServer::ScheduleAccept() {
  accept_retry_timer_.expires_after(TimerDuration(kAcceptRetryDelayMs));
  accept_retry_timer_.async_wait([this](error_code ec) {
    if (!ec) connections_.size() < max_connections_ || CloseOldestConnection() ? Accept() : ScheduleAccept();
  });
}

// Closes the oldest connection on which the command is incomplete. If there is no such connection, closes the
// oldest connection that has a response. Never closes a connection that was accepted less than kMinLifetimeMs
// ago. Returns whether it closed a connection.
bool ManagementServer::CloseOldestConnection() {
  const Millis now = Now();
  for (const bool has_response : {false, true}) {
    for (const auto& connection : connections_) {
      if (connection->has_response() != has_response || now - connection->accepted_at() < kMinLifetimeMs)
        continue;
      const auto oldest = connection;
      oldest->Close();
      return true;
    }
  }
  return false;
}

}  // namespace gateway::proxy
