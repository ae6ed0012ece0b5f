// The framing of a streamed body on the wire: with Content-Length, or with chunked transfer coding.
#ifndef GATEWAY_PROXY_BODY_FRAMING_HPP_
#define GATEWAY_PROXY_BODY_FRAMING_HPP_

#include <array>
#include <boost/asio/buffer.hpp>
#include <string>
#include <string_view>

namespace gateway::proxy {

// The buffers that are written to the socket for one piece: its prefix, the piece itself, and its trailer.
using FramedPiece = std::array<boost::asio::const_buffer, 3>;

// Frames a piece of a body for a gathering write. `prefix` holds the bytes to write before the piece, for
// example a message head. Appends the chunk header to `prefix`, and also the last piece of a body, whose
// memory may be reused before the write completes. The caller must keep `prefix`, and a piece that is not the
// last one, unchanged until the write has completed.
FramedPiece FrameBodyPiece(std::string& prefix, std::string_view piece, bool last, bool chunked);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BODY_FRAMING_HPP_
