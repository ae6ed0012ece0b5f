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

constexpr std::size_t kMostLine = 256;
constexpr Millis kPatience = 10000;  // for a whole line: an operator may type it
constexpr Millis kTaken = 2000;      // an answer must have been taken in by then
constexpr Millis kLeast = 50;        // what a caller gets for its line whatever the crowd
constexpr Millis kAcceptAgain = 20;  // after an accept that failed, or while all places are that young

}  // namespace

class ManagementServer::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(ManagementServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {}

  void Begin() {
    error_code ec;
    socket_.non_blocking(true, ec);
    Arm(kPatience);
    Read();  // what has come already is answered before anyone else is heard
  }

  Millis since() const { return since_; }
  bool answered() const { return answered_; }

  void Close() {
    if (!std::exchange(open_, false)) return;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    server_.callers_.remove(shared_from_this());
  }

 private:
  void Arm(Millis time) {
    timer_.expires_after(Span(time));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || !self->open_) return;
      self->answered_ ? self->Close() : self->Say("FAILURE no whole line in time\n");
    });
  }

  void Read() {
    while (open_) {
      error_code ec;
      char* const at = line_.data() + got_;
      const std::size_t got = socket_.read_some(asio::buffer(at, line_.size() - got_), ec);
      if (ec == asio::error::would_block) break;
      if (ec) return got_ > 0 && ec == asio::error::eof ? Say("FAILURE the line has no end\n") : Close();
      if (const char* const end = std::find(at, at + got, '\n'); end != at + got) {
        std::string call(line_.data(), static_cast<std::size_t>(end - line_.data()));
        if (call.ends_with('\r')) call.pop_back();
        return Say(server_.answer_(call));
      }
      got_ += got;
      if (got_ == line_.size()) return Say("FAILURE the line is too long\n");
    }
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (self->open_ && !self->answered_) ec ? self->Close() : self->Read();
    });
  }

  void Say(std::string text) {
    answered_ = true;
    text_ = std::move(text);
    Arm(kTaken);
    asio::async_write(socket_, asio::buffer(text_), [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->open_) return;
      if (!ec) self->socket_.shutdown(tcp::socket::shutdown_send, ec);
      ec ? self->Close() : self->Discard();
    });
  }

  // Closing with bytes unread would reset the connection, and could take the answer from the caller.
  void Discard() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (!self->open_) return;
      const std::size_t got = ec ? 0 : self->socket_.read_some(asio::buffer(self->line_), ec);
      if (got == 0 && ec != asio::error::would_block) return self->Close();
      self->Discard();
    });
  }

  ManagementServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, kMostLine> line_;
  std::size_t got_ = 0;
  std::string text_;
  const Millis since_ = Now();
  bool open_ = true;
  bool answered_ = false;
};

ManagementServer::ManagementServer(asio::io_context& io, const tcp::endpoint& address,
                                   std::size_t most_callers, Answer answer)
    : io_(io), acceptor_(io), accept_again_(io), most_callers_(most_callers), answer_(std::move(answer)) {
  OpenListener(acceptor_, address, "NODE_MGMT");
  Accept();
}

ManagementServer::~ManagementServer() {
  while (!callers_.empty()) callers_.front()->Close();
}

void ManagementServer::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) return AcceptLater();
    const auto caller = callers_.emplace_back(std::make_shared<Caller>(*this, std::move(socket)));
    caller->Begin();
    callers_.size() < most_callers_ || MakeRoom() ? Accept() : AcceptLater();
  });
}

void ManagementServer::AcceptLater() {
  accept_again_.expires_after(Span(kAcceptAgain));
  accept_again_.async_wait([this](error_code ec) {
    if (!ec) callers_.size() < most_callers_ || MakeRoom() ? Accept() : AcceptLater();
  });
}

// Ends the oldest caller that has not sent its line, or else the oldest that has had time to take its answer.
bool ManagementServer::MakeRoom() {
  const Millis now = Now();
  for (const bool answered : {false, true}) {
    for (const auto& caller : callers_) {
      if (caller->answered() != answered || now - caller->since() < kLeast) continue;
      const auto oldest = caller;
      oldest->Close();
      return true;
    }
  }
  return false;
}

}  // namespace gateway::proxy
