#include "proxy/body_framing.hpp"

#include <cstddef>
#include <cstdio>

namespace gateway::proxy {
namespace {

void AppendChunkHeader(std::string& text, std::size_t size) {
  char header[24];
  std::snprintf(header, sizeof header, "%zx\r\n", size);
  text += header;
}

// Returns the bytes that follow a piece in chunked coding: the line end of the piece's chunk, and after the
// last piece also the empty chunk that ends the body. An empty piece has no chunk.
std::string_view ChunkTrailer(bool empty, bool last) {
  if (empty) return last ? "0\r\n\r\n" : "";
  return last ? "\r\n0\r\n\r\n" : "\r\n";
}

}  // namespace

FramedPiece FrameBodyPiece(std::string& prefix, std::string_view piece, bool last, bool chunked) {
  std::string_view trailer;
  if (chunked) {
    if (!piece.empty()) AppendChunkHeader(prefix, piece.size());
    trailer = ChunkTrailer(piece.empty(), last);
  }
  if (last) {
    prefix += piece;
    piece = {};
  }
  using boost::asio::buffer;
  return {buffer(prefix), buffer(piece.data(), piece.size()), buffer(trailer.data(), trailer.size())};
}

}  // namespace gateway::proxy
