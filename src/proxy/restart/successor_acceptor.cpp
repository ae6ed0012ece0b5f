#include "proxy/restart/successor_acceptor.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <optional>
#include <utility>
#include <variant>

#include "base/log.hpp"
#include "proxy/restart/packet_socket.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kBacklog = 4;

// Removes the socket file of the predecessor. The file is no longer needed: the predecessor has exited, or
// this process is already connected to it.
void RemoveSocket(const std::string& path) {
  struct stat status {};
  if (::lstat(path.c_str(), &status) == 0 && S_ISSOCK(status.st_mode)) ::unlink(path.c_str());
}

// Returns a listening socket. On failure returns an empty descriptor and sets errno.
base::FileDescriptor ListenAt(const std::string& path) {
  base::FileDescriptor socket = OpenPacketSocket();
  if (!socket) return {};
  const std::optional<sockaddr_un> address = ToUnixAddress(path);
  if (!address) return {};
  RemoveSocket(path);
  if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) return {};
  if (::listen(socket.get(), kBacklog) != 0) return {};
  return socket;
}

}  // namespace

SuccessorAcceptor::SuccessorAcceptor(asio::io_context& io, const std::string& path, Delegate& delegate)
    : io_(io), delegate_(delegate), listener_(io) {
  base::FileDescriptor socket = ListenAt(path);
  error_code ec;
  if (!socket) {
    ec = error_code(errno, boost::system::system_category());
  } else {
    listener_.assign(socket.get(), ec);
  }
  if (ec || !socket) {
    base::Log(base::Level::kWarning, "replacement", "no_handover",
              "can't listen for a hot restart at " + path + ": " + ec.message(), {{"path", path}});
    return;
  }
  socket.Release();
  Accept();
}

SuccessorAcceptor::~SuccessorAcceptor() { *alive_ = false; }

void SuccessorAcceptor::Accept() {
  listener_.async_wait(asio::posix::stream_descriptor::wait_read, [this, alive = alive_](error_code ec) {
    if (ec || !*alive) return;
    base::FileDescriptor connection(
        ::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (connection && IsPeerOfSameUser(connection.get())) {
      candidate_ = std::make_unique<HotRestartChannel>(io_, std::move(connection));
      candidate_->SetObserver(*this);
    }
    Accept();
  });
}

// The next message may have arrived already. It is for the delegate.
void SuccessorAcceptor::OnMessage(HotRestartChannel& channel, HotRestartMessage message) {
  channel.PauseReceiving();
  ReleaseCandidate(std::holds_alternative<Hello>(message) && SendTransfer());
}

void SuccessorAcceptor::OnClosed(HotRestartChannel&) { candidate_.reset(); }

bool SuccessorAcceptor::SendTransfer() {
  const int listener = delegate_.ListenerForSuccessor();
  if (listener < 0) return false;
  base::FileDescriptor copy(::fcntl(listener, F_DUPFD_CLOEXEC, 0));
  if (!copy) return false;
  candidate_->Send(ListenerTransfer{std::move(copy)});
  candidate_->Send(StateTransfer{delegate_.StateForSuccessor()});
  return true;
}

// Posts the release to the event loop, because a channel method has called this function and is still
// running.
void SuccessorAcceptor::ReleaseCandidate(bool is_successor) {
  asio::post(io_, [this, alive = alive_, is_successor, released = candidate_.get()] {
    if (!*alive || candidate_.get() != released) return;
    std::unique_ptr<HotRestartChannel> channel = std::move(candidate_);
    if (is_successor && channel->open()) delegate_.OnSuccessor(std::move(channel));
  });
}

}  // namespace gateway::proxy
