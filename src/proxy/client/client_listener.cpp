#include "proxy/client/client_listener.hpp"

#include <new>
#include <utility>

#include "proxy/listener.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// The delay before a retry if there is no room for another connection.
constexpr Millis kNoRoomRetryMs = 20;
// The delay before a retry after a failed accept. An immediate retry would fail for the same reason.
constexpr Millis kAcceptErrorRetryMs = 50;
constexpr char kAddressSetting[] = "NODE_LISTEN";

}  // namespace

ClientListener::ClientListener(asio::io_context& io, const tcp::endpoint& address, bool shared,
                               base::FileDescriptor inherited, Delegate& delegate)
    : acceptor_(io), retry_timer_(io), delegate_(delegate) {
  if (inherited) {
    error_code error;
    acceptor_.assign(address.protocol(), inherited.get(), error);
    if (!error) inherited.Release();
    if (!error) acceptor_.non_blocking(true, error);
  }
  if (!acceptor_.is_open()) OpenListener(acceptor_, address, kAddressSetting, shared);
}

void ClientListener::Resume() {
  if (accepting_ || !acceptor_.is_open()) return;
  const bool may_accept = delegate_.MayAccept();
  if (accepting_) return;  // MayAccept has closed a connection, and the close has called Resume
  if (!may_accept) {
    queue_delay_.Observe(Now(), /*pending=*/true);
    return ResumeAfter(kNoRoomRetryMs);
  }
  accepting_ = true;
  queue_delay_.Observe(Now(), HasPendingConnections(acceptor_.native_handle()));
  acceptor_.async_accept(
      [this](error_code error, tcp::socket socket) { OnAcceptEnd(error, std::move(socket)); });
}

void ClientListener::OnAcceptEnd(error_code error, tcp::socket socket) {
  accepting_ = false;
  if (!acceptor_.is_open()) return;
  if (!error) {
    try {
      delegate_.OnAccepted(std::move(socket));
    } catch (const std::bad_alloc&) {
      return ResumeAfter(kAcceptErrorRetryMs);
    }
    return Resume();
  }
  queue_delay_.Observe(Now(), /*pending=*/true);
  if (error == asio::error::no_descriptors) delegate_.OnOutOfDescriptors();
  ResumeAfter(kAcceptErrorRetryMs);
}

void ClientListener::ResumeAfter(Millis delay_ms) {
  retry_timer_.expires_after(TimerDuration(delay_ms));
  retry_timer_.async_wait([this](error_code error) {
    if (!error) Resume();
  });
}

std::optional<tcp::socket> ClientListener::AcceptPending() {
  error_code error;
  tcp::socket socket = acceptor_.accept(error);
  if (error) return std::nullopt;
  return socket;
}

void ClientListener::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

tcp ClientListener::protocol() const {
  return acceptor_.is_open() ? acceptor_.local_endpoint().protocol() : tcp::v4();
}

int ClientListener::native_handle() { return acceptor_.is_open() ? acceptor_.native_handle() : -1; }

}  // namespace gateway::proxy
