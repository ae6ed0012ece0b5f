#include "proxy/restart/inherited_state.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <utility>
#include <variant>

#include "proxy/clock.hpp"
#include "proxy/restart/hot_restart_message.hpp"
#include "proxy/restart/packet_socket.hpp"

namespace gateway::proxy {
namespace {

using boost::asio::ip::tcp;

constexpr Millis kTransferTimeoutMs = 500;  // for all messages together; the predecessor may hang

// Connects to the Unix socket at `path`. Returns an empty descriptor if no process of the same user listens
// there.
base::FileDescriptor Connect(const std::string& path) {
  const std::optional<sockaddr_un> address = ToUnixAddress(path);
  base::FileDescriptor socket = OpenPacketSocket();
  if (!socket || !address) return {};
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) return {};
  if (!IsPeerOfSameUser(socket.get())) return {};
  return socket;
}

bool ListensAt(int socket, const tcp::endpoint& address) {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) return false;
  tcp::endpoint local_address;
  size = static_cast<socklen_t>(local_address.capacity());
  if (::getsockname(socket, local_address.data(), &size) != 0) return false;
  local_address.resize(size);
  return local_address == address;
}

// Returns the next message if it arrives by `deadline` and is of type Message.
template <typename Message>
std::optional<Message> WaitForMessage(int socket, Millis deadline) {
  std::optional<Packet> packet = WaitForPacket(socket, deadline);
  if (!packet) return std::nullopt;
  HotRestartMessage message = DecodeMessage(*std::move(packet));
  Message* const expected = std::get_if<Message>(&message);
  if (expected == nullptr) return std::nullopt;
  return std::move(*expected);
}

}  // namespace

InheritedState InheritFromPredecessor(const std::string& path, const tcp::endpoint& address) {
  base::FileDescriptor predecessor = Connect(path);
  if (!predecessor) return {};
  if (SendPacket(predecessor.get(), EncodeMessage(Hello{})) != SendResult::kSent) return {};
  const Millis deadline = Now() + kTransferTimeoutMs;
  auto listener = WaitForMessage<ListenerTransfer>(predecessor.get(), deadline);
  if (!listener || !ListensAt(listener->listener.get(), address)) return {};
  InheritedState inherited;
  inherited.listener = std::move(listener->listener);
  if (auto transfer = WaitForMessage<StateTransfer>(predecessor.get(), deadline)) {
    inherited.transferred = std::move(transfer->state);
  }
  inherited.predecessor = std::move(predecessor);
  return inherited;
}

}  // namespace gateway::proxy
