// The orderly close of a client's connection after the last response.
#ifndef GATEWAY_PROXY_CLIENT_LINGERING_CLOSE_HPP_
#define GATEWAY_PROXY_CLIENT_LINGERING_CLOSE_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "proxy/client/drain_state.hpp"
#include "proxy/clock.hpp"
#include "proxy/connection_part.hpp"

namespace gateway::proxy {

// Closes the sending side of a connection, and discards the data that the client still sends. Closing a
// socket with unread data would reset the connection, and the client could lose the last response.
class LingeringClose {
 public:
  class Delegate : public ConnectionPartOwner {
   public:
    // Called when the client has closed its side, the connection has failed, or the client has sent more than
    // kMaxBodyBytes. The delegate must close the socket. May be called before Start returns.
    virtual void OnLingerFinished() = 0;

   protected:
    ~Delegate() = default;
  };

  // The socket and the delegate belong to the connection, and outlive this object.
  LingeringClose(boost::asio::ip::tcp::socket& socket, Delegate& delegate)
      : socket_(socket), delegate_(delegate) {}

  void Start();
  // Stops the calls to the delegate.
  void Stop() { active_ = false; }
  // Returns whether the client has sent nothing for so long that no data should be in transit.
  bool IsQuiet(Millis now) const { return now - last_received_at_ > kSettleTimeMs; }
  // Returns whether the client has not closed its side within the time limit.
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
