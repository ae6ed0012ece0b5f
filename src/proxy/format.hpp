// printf-style formatting for log lines.
#ifndef GATEWAY_PROXY_FORMAT_HPP_
#define GATEWAY_PROXY_FORMAT_HPP_

#include <cstddef>
#include <cstdio>
#include <string>

namespace gateway::proxy {

// Returns the formatted text, truncated to 511 bytes.
template <typename... Values>
std::string Format(const char* format, Values... values) {
  constexpr std::size_t kBufferBytes = 512;
  char text[kBufferBytes];
  std::snprintf(text, sizeof text, format, values...);
  return text;
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_FORMAT_HPP_
