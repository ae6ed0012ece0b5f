// A body on its way through the gateway.
#ifndef GATEWAY_PROXY_BODY_HPP_
#define GATEWAY_PROXY_BODY_HPP_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <string_view>

namespace gateway::proxy {

constexpr std::size_t kPiece = 16 * 1024;  // of a body that passes through, at the most

// Who reads a body hands it on one piece at a time: the next is read once it is asked for, so a slow reader
// holds back its writer.
class BodySource {
 public:
  // The piece stays valid until the next call, the last one until this returns. After an error or the last
  // piece nothing follows.
  using Taken = std::function<void(const boost::system::error_code& ec, std::string_view piece, bool last)>;

  virtual ~BodySource() = default;
  // `taken` is called once, never before this returns.
  virtual void Next(Taken taken) = 0;
  // Nobody wants the rest.
  virtual void Drop() = 0;
  // Whether some of it was handed on: it can't be had again from the start.
  virtual bool begun() const = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_BODY_HPP_
