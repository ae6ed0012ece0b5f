// Accepts clients' connections.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_LISTENER_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_LISTENER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

#include "base/file_descriptor.hpp"
#include "proxy/client/accept_queue.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

// Accepts one connection at a time, as long as the delegate has room for it. Other clients wait in the
// kernel's accept queue. Runs on the event loop's thread.
class ClientListener {
 public:
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Returns whether another connection may be accepted. May close a connection to make room, and thereby
    // call Resume.
    virtual bool MayAccept() = 0;
    // A connection was accepted. LongestWait returns the bound on the time for which it was queued.
    virtual void OnAccepted(boost::asio::ip::tcp::socket socket) = 0;
    // An accept has failed because no descriptor was available.
    virtual void OnOutOfDescriptors() = 0;
  };

  // Uses `inherited` if it is an open listening socket, else listens at `address`. With `shared`, other
  // processes may listen at the same address. Throws ConfigError if the address is not available. Accepts
  // nothing before Resume.
  ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, bool shared,
                 base::FileDescriptor inherited, Delegate& delegate);

  // Accepts connections as long as the delegate allows it, and retries after a delay when it does not. Must
  // also be called when room has become available.
  void Resume();
  // Accepts a pending connection. Returns nothing if there is none.
  std::optional<boost::asio::ip::tcp::socket> AcceptPending();
  void Close();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // The protocol (IPv4 or IPv6) of clients' sockets.
  boost::asio::ip::tcp protocol() const;
  // The listening socket, still owned by this object; -1 if it is closed.
  int native_handle();
  // Returns the longest time for which a connection that is accepted now can have been queued.
  Millis LongestWait() const { return queue_delay_.LongestWait(Now()); }

 private:
  void OnAcceptEnd(boost::system::error_code error, boost::asio::ip::tcp::socket socket);
  void ResumeAfter(Millis delay_ms);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  Delegate& delegate_;
  AcceptQueueDelay queue_delay_;
  bool accepting_ = false;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_LISTENER_HPP_
