// The end of a client's connection after its last response.
#ifndef GATEWAY_PROXY_CLIENT_LINGERING_CLOSE_HPP_
#define GATEWAY_PROXY_CLIENT_LINGERING_CLOSE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "proxy/clock.hpp"
#include "proxy/connection_part.hpp"

namespace gateway::proxy {

// Closes the sending side of a connection and discards what the client still sends. Closing a socket with
// unread bytes would reset the connection, and the client could lose the last response.
class LingeringClose {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // The client has closed its side, the connection has failed, or the client has sent too much. The
    // delegate closes the socket. May be called from within Start.
    virtual void OnLingerFinished() = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  LingeringClose(boost::asio::ip::tcp::socket& socket, Delegate& delegate)
      : socket_(socket), delegate_(delegate) {}

  void Start();
  // Stops the notifications of the delegate.
  void Stop() { active_ = false; }
  // Returns whether the client has had enough time to close.
  bool TimedOut(Millis now) const;

 private:
  void DiscardInput();
  void OnReadable();

  boost::asio::ip::tcp::socket& socket_;
  Delegate& delegate_;
  bool active_ = false;
  Millis started_at_ = 0;
  Millis last_received_at_ = 0;
  std::uint64_t discarded_bytes_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_LINGERING_CLOSE_HPP_
