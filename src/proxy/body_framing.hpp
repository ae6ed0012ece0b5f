// Frames the pieces of a streamed body for a message with Content-Length or with chunked transfer coding.
#ifndef GATEWAY_PROXY_BODY_FRAMING_HPP_
#define GATEWAY_PROXY_BODY_FRAMING_HPP_

#include <array>
#include <boost/asio/buffer.hpp>
#include <string>
#include <string_view>

namespace gateway::proxy {

// The buffers to write to the socket for one piece: the prefix, the piece and the trailer.
using FramedPiece = std::array<boost::asio::const_buffer, 3>;

// Returns the buffers to write for `piece`. `prefix` holds the bytes to write before the piece, for example a
// message head. If `chunked` is true, appends the chunk header to `prefix`. If `last` is true, also copies
// the piece to `prefix`, because the memory of the last piece may be reused before the write completes. The
// caller must keep `prefix` unchanged until the write has completed, and also `piece` unless it is the last
// piece.
FramedPiece FrameBodyPiece(std::string& prefix, std::string_view piece, bool last, bool chunked);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BODY_FRAMING_HPP_
