// Tests of the framing of one piece of a streamed body.
#include "proxy/body_framing.hpp"

#include <gtest/gtest.h>

#include <boost/asio/buffers_iterator.hpp>

namespace gateway::proxy::testing {
namespace {

std::string Frame(std::string_view piece, bool last, bool chunked) {
  std::string prefix = "head,";
  const FramedPiece framed = FrameBodyPiece(prefix, piece, last, chunked);
  return {boost::asio::buffers_begin(framed), boost::asio::buffers_end(framed)};
}

TEST(BodyFraming, AppendsTheFinalChunkToTheLastPiece) {
  EXPECT_EQ(Frame("0123456789", /*last=*/false, /*chunked=*/true), "head,a\r\n0123456789\r\n");
  EXPECT_EQ(Frame("0123456789", /*last=*/true, /*chunked=*/true), "head,a\r\n0123456789\r\n0\r\n\r\n");
  EXPECT_EQ(Frame("", /*last=*/false, /*chunked=*/true), "head,");
  EXPECT_EQ(Frame("", /*last=*/true, /*chunked=*/true), "head,0\r\n\r\n");
}

TEST(BodyFraming, AddsNothingToABodyThatIsNotChunked) {
  EXPECT_EQ(Frame("abc", /*last=*/false, /*chunked=*/false), "head,abc");
  EXPECT_EQ(Frame("abc", /*last=*/true, /*chunked=*/false), "head,abc");
}

// The caller may reuse the memory of the last piece before the write completes. FrameBodyPiece must therefore
// copy the last piece.
TEST(BodyFraming, CopiesTheLastPiece) {
  std::string piece = "abc";
  std::string prefix;
  const FramedPiece framed = FrameBodyPiece(prefix, piece, /*last=*/true, /*chunked=*/true);
  piece = "xyz";
  const std::string text(boost::asio::buffers_begin(framed), boost::asio::buffers_end(framed));
  EXPECT_EQ(text, "3\r\nabc\r\n0\r\n\r\n");
}

}  // namespace
}  // namespace gateway::proxy::testing
