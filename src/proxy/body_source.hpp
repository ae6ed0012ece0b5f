// The interface through which the body of a message is streamed from one connection to another.
#ifndef GATEWAY_PROXY_BODY_SOURCE_HPP_
#define GATEWAY_PROXY_BODY_SOURCE_HPP_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <string_view>

namespace gateway::proxy {

// The maximum size of a piece of a streamed body, in bytes.
constexpr std::size_t kBodyPieceBytes = 16 * 1024;

// The part of a body that has not been read from its connection yet. The receiver requests one piece at a
// time. The source reads a piece from the socket only when it is requested, which applies backpressure to the
// sender.
//
// The connection on which the body arrives implements this interface. A shared pointer to the source keeps
// the connection object alive, but does not keep its socket open. To be used in the event loop's thread only.
class BodySource {
 public:
  // Receives a piece of the body, or an error. After an error there are no further pieces. `last` is true for
  // the last piece, which may be empty. The last piece stays valid until the handler returns, any other piece
  // until the next call of ReadNext.
  using PieceHandler =
      std::function<void(const boost::system::error_code& error, std::string_view piece, bool last)>;

  virtual ~BodySource() = default;
  // Reads the next piece. Calls `handler` exactly once, and never before this method returns. Must not be
  // called while a read is pending.
  virtual void ReadNext(PieceHandler handler) = 0;
  // Discards the rest of the body. ReadNext must not be called afterwards.
  virtual void Cancel() = 0;
  // Returns whether ReadNext was called. After the first call the body can't be read again from its start.
  virtual bool started() const = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BODY_SOURCE_HPP_
