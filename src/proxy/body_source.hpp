// The interface through which the body of a message is streamed from one connection to another.
#ifndef GATEWAY_PROXY_BODY_SOURCE_HPP_
#define GATEWAY_PROXY_BODY_SOURCE_HPP_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <string_view>

namespace gateway::proxy {

// Upper bound on the size of one piece of a streamed body.
constexpr std::size_t kBodyPieceBytes = 16 * 1024;

// The part of a body that has not been read from its connection yet. Pieces are pulled one at a time: the
// next one is read from the socket only when it is requested, which applies backpressure to the sender.
//
// The connection on which the body arrives implements this interface. A shared pointer to the source keeps
// the connection object alive, but does not keep its socket open. All calls are made on the event loop's
// thread.
class BodySource {
 public:
  // Receives one piece, or an error after which nothing follows. `piece` stays valid until the next call to
  // ReadNext; the last piece stays valid until the handler returns. `last` is set on the final piece, which
  // may be empty.
  using PieceHandler =
      std::function<void(const boost::system::error_code& error, std::string_view piece, bool last)>;

  virtual ~BodySource() = default;
  // Reads the next piece. Calls `handler` exactly once, and never before this call returns. At most one read
  // may be pending.
  virtual void ReadNext(PieceHandler handler) = 0;
  // Discards the rest of the body. ReadNext must not be called afterwards.
  virtual void Cancel() = 0;
  // Returns whether ReadNext was called. After the first call the body can't be read again from its start.
  virtual bool started() const = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BODY_SOURCE_HPP_
