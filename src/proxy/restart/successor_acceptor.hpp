// Accepts the connection of a successor, the process that replaces the running process.
#ifndef GATEWAY_PROXY_RESTART_SUCCESSOR_ACCEPTOR_HPP_
#define GATEWAY_PROXY_RESTART_SUCCESSOR_ACCEPTOR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <memory>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/restart/hot_restart_channel.hpp"
#include "proxy/restart/hot_restart_message.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// Listens on a Unix socket. When a process of the same user sends Hello, transfers the listening socket for
// clients and the state to that process, and then passes the channel to the delegate. Handles one connection
// at a time: a new connection replaces a connection on which no Hello has arrived. To be used in the event
// loop's thread only.
class SuccessorAcceptor final : private HotRestartChannel::Observer {
 public:
  // The acceptor calls all methods from the event loop, never from within its constructor.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Returns the listening socket for clients, or -1 if no transfer is possible. The delegate keeps the
    // ownership.
    virtual int ListenerForSuccessor() = 0;
    // Returns the state to transfer. Called directly after ListenerForSuccessor().
    virtual TransferredState StateForSuccessor() = 0;
    // Called after the listener and the state were sent to a successor. May destroy the acceptor.
    virtual void OnSuccessor(std::unique_ptr<HotRestartChannel> channel) = 0;
  };

  // Listens at `path`. Replaces an existing socket at this path, but no file of another kind. If listening
  // fails, logs a warning, and no successor can connect. `delegate` must outlive the acceptor.
  SuccessorAcceptor(boost::asio::io_context& io, const std::string& path, Delegate& delegate);
  ~SuccessorAcceptor() override;
  SuccessorAcceptor(const SuccessorAcceptor&) = delete;
  SuccessorAcceptor& operator=(const SuccessorAcceptor&) = delete;

 private:
  void OnMessage(HotRestartChannel& channel, HotRestartMessage message) override;
  void OnClosed(HotRestartChannel& channel) override;

  void Accept();
  bool SendTransfer();
  void ReleaseCandidate(bool is_successor);

  boost::asio::io_context& io_;
  Delegate& delegate_;
  boost::asio::posix::stream_descriptor listener_;
  std::unique_ptr<HotRestartChannel> candidate_;  // a connection on which no Hello has arrived yet
  // Set to false by the destructor. Pending handlers share it and check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_SUCCESSOR_ACCEPTOR_HPP_
