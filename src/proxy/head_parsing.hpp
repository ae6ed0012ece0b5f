// Parses the heads of messages from a buffer.
#ifndef GATEWAY_PROXY_HEAD_PARSING_HPP_
#define GATEWAY_PROXY_HEAD_PARSING_HPP_

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

#include "proxy/http_types.hpp"

namespace gateway::proxy {

// The size of reads of a head.
constexpr std::size_t kHeadReadBytes = 4096;

// Parses one head. The parser stores fields in much more memory than their text needs, so a long head stays
// text until it is complete. The beginning of a head is parsed at once, so that a peer that does not speak
// HTTP has its error soon.
class HeadParsing {
 public:
  // Parses what `buffer` holds of the head, and removes it from the buffer. Returns need_more if the head is
  // incomplete.
  template <typename Parser>
  boost::system::error_code Parse(Parser& parser, boost::beast::flat_buffer& buffer) {
    boost::system::error_code error = boost::beast::http::error::need_more;
    if (!ShouldParse(buffer)) return error;
    // Without the eager mode, the parser consumes one element of the message in each call.
    do {
      const std::size_t parsed_bytes = parser.put(buffer.data(), error);
      buffer.consume(parsed_bytes);
      parsed_bytes_ += parsed_bytes;
    } while (!error && !parser.is_header_done());
    searched_bytes_ = 0;
    return error;
  }

 private:
  // The part of a head that is parsed before the head is complete.
  static constexpr std::size_t kEagerBytes = 512;

  bool ShouldParse(const boost::beast::flat_buffer& buffer) {
    constexpr std::string_view kEndOfHead = "\r\n\r\n";
    if (parsed_bytes_ + buffer.size() <= kEagerBytes || buffer.size() >= kMaxHeaderBytes) return true;
    const std::string_view text(static_cast<const char*>(buffer.data().data()), buffer.size());
    const std::size_t begin = searched_bytes_ - std::min(searched_bytes_, kEndOfHead.size() - 1);
    searched_bytes_ = text.size();
    return text.find(kEndOfHead, begin) != std::string_view::npos || text.starts_with("\r\n");
  }

  std::size_t parsed_bytes_ = 0;
  std::size_t searched_bytes_ = 0;  // bytes of the buffer that do not contain the end of the head
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_HEAD_PARSING_HPP_
