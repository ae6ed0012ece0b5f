// The running process waits here for the one that will replace it.
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

// Listens on a Unix socket. Gives the listener and the state to each process of the same user that says Hello
// while there is a listener to give, and then the channel to the delegate. One caller at a time: a later one
// takes the place of one that has not said Hello. One thread: the event loop's.
class SuccessorAcceptor final : private HotRestartChannel::Observer {
 public:
  // All methods are called from the event loop, none from within the constructor.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // The clients' listening socket, which stays the delegate's; -1: there is none to give.
    virtual int ListenerForSuccessor() = 0;
    // The state to transfer; called right after ListenerForSuccessor().
    virtual TransferredState StateForSuccessor() = 0;
    // A successor has been sent both. May destroy the acceptor.
    virtual void OnSuccessor(std::unique_ptr<HotRestartChannel> channel) = 0;
  };

  // Replaces a socket that stands at `path`, but no other kind of file. Where it can't listen it logs a
  // warning, and no successor ever comes. `delegate` must outlive this.
  SuccessorAcceptor(boost::asio::io_context& io, const std::string& path, Delegate& delegate);
  ~SuccessorAcceptor() override;
  SuccessorAcceptor(const SuccessorAcceptor&) = delete;
  SuccessorAcceptor& operator=(const SuccessorAcceptor&) = delete;

 private:
  void OnMessage(HotRestartChannel& channel, HotRestartMessage message) override;
  void OnClosed(HotRestartChannel& channel) override;

  void Accept();
  bool SendTransfer();
  void ReleaseCaller(bool is_successor);

  boost::asio::io_context& io_;
  Delegate& delegate_;
  boost::asio::posix::stream_descriptor listener_;
  std::unique_ptr<HotRestartChannel> caller_;
  // False once this is destroyed: pending handlers share it and then touch nothing else.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_SUCCESSOR_ACCEPTOR_HPP_
