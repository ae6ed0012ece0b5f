// Accepts the process that replaces the running one.
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

// Listens on a Unix socket. While the client listener is open, transfers the listener and the state to each
// process of the same user that sends Hello, and then passes the channel to the delegate. Handles one
// connection at a time: a new connection replaces one that has not sent Hello. To be used in the event loop's
// thread only.
class SuccessorAcceptor final : private HotRestartChannel::Observer {
 public:
  // All methods are called from the event loop, none from within the constructor.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Returns the listening socket for clients, which the delegate still owns; -1: no transfer is possible.
    virtual int ListenerForSuccessor() = 0;
    // Returns the state to transfer; called right after ListenerForSuccessor().
    virtual TransferredState StateForSuccessor() = 0;
    // The listener and the state were sent to a successor. May destroy the acceptor.
    virtual void OnSuccessor(std::unique_ptr<HotRestartChannel> channel) = 0;
  };

  // Listens at `path`. Replaces an existing socket file, but no other kind of file. If listening fails, logs
  // a warning, and no successor can connect. `delegate` must outlive this object.
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
  std::unique_ptr<HotRestartChannel> candidate_;  // a connection that has not sent Hello yet
  // Set to false by the destructor. Pending handlers share it and check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_SUCCESSOR_ACCEPTOR_HPP_
