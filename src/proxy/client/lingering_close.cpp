#include "proxy/client/lingering_close.hpp"

#include <cstddef>

#include "proxy/http_types.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A client that sends nothing must close its side within this time.
constexpr Millis kQuietTimeoutMs = 1000;
// A client that continues to send data must close its side within this time.
constexpr Millis kTotalTimeoutMs = 6000;
constexpr std::size_t kDiscardBufferBytes = 4096;

}  // namespace

void LingeringClose::Start() {
  active_ = true;
  started_at_ = Now();
  last_received_at_ = started_at_;
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  if (error) return delegate_.OnLingerFinished();
  DiscardInput();
}

bool LingeringClose::TimedOut(Millis now) const {
  return now - last_received_at_ > kQuietTimeoutMs || now - started_at_ > kTotalTimeoutMs;
}

void LingeringClose::DiscardInput() {
  socket_.async_wait(tcp::socket::wait_read, [this, connection = delegate_.KeepAlive()](error_code error) {
    if (!active_) return;
    error ? delegate_.OnLingerFinished() : OnReadable();
  });
}

void LingeringClose::OnReadable() {
  error_code error;
  socket_.non_blocking(true, error);
  char sink[kDiscardBufferBytes];
  const std::size_t received_bytes = error ? 0 : socket_.read_some(asio::buffer(sink), error);
  if (received_bytes == 0 && error != asio::error::would_block) return delegate_.OnLingerFinished();
  discarded_bytes_ += received_bytes;
  if (discarded_bytes_ > kMaxBodyBytes) return delegate_.OnLingerFinished();
  // The client is still sending, so it may not have received its response yet.
  last_received_at_ = Now();
  DiscardInput();
}

}  // namespace gateway::proxy
