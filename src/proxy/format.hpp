// Text formatted as by printf, for log lines.
#ifndef GATEWAY_PROXY_FORMAT_HPP_
#define GATEWAY_PROXY_FORMAT_HPP_

#include <cstddef>
#include <cstdio>
#include <string>

namespace gateway::proxy {

// Longer texts are cut to 511 bytes.
template <typename... Values>
std::string Format(const char* format, Values... values) {
  constexpr std::size_t kMaximumLength = 512;
  char text[kMaximumLength];
  std::snprintf(text, sizeof text, format, values...);
  return text;
}

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_FORMAT_HPP_
