// Accepts connections from clients.
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

// Accepts one connection at a time, as long as the delegate has room for a connection. Further clients wait
// in the kernel's accept queue. Runs on the event loop's thread.
class ClientListener {
 public:
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Returns whether another connection may be accepted. May close a connection to make room; the close may
    // call Resume.
    virtual bool MayAccept() = 0;
    // Called when a connection was accepted. LongestWait returns the upper bound on its time in the queue.
    virtual void OnAccepted(boost::asio::ip::tcp::socket socket) = 0;
    // Called when an accept has failed because no file descriptor was available.
    virtual void OnOutOfDescriptors() = 0;
  };

  // Uses `inherited` if it is an open listening socket, otherwise listens at `address`. If `shared` is true,
  // other processes may listen at the same address. Throws ConfigError if the address is not available. Does
  // not accept connections before the first call to Resume.
  ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, bool shared,
                 base::FileDescriptor inherited, Delegate& delegate);

  // Accepts connections as long as the delegate allows it. If the delegate does not allow it, tries again
  // after a delay. The owner must also call this function when a connection has closed.
  void Resume();
  // Accepts one pending connection. Returns nothing if no connection is pending.
  std::optional<boost::asio::ip::tcp::socket> AcceptPending();
  void Close();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // The protocol (IPv4 or IPv6) of the clients' sockets. IPv4 if the listener is closed.
  boost::asio::ip::tcp protocol() const;
  // The descriptor of the listening socket, which this object continues to own. -1 if the listener is closed.
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
