// The replacement of the process: what the old one passes to the new one over a Unix socket, which only the
// process of the same user at the same clients' address is given. Whatever fails here, the new process starts
// without it.
#ifndef GATEWAY_PROXY_RESTART_HANDOVER_HPP_
#define GATEWAY_PROXY_RESTART_HANDOVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

// A descriptor that is closed with its owner.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(other.Release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }
  int Release();

 private:
  int fd_ = -1;
};

// What the old process tells: its list of hosts, and what it has learned.
struct HandoverState {
  EndpointList list;
  policy::LearnedState learned;
};

// One side of the connection between both, once each has seen that the other is there.
class Link {
 public:
  struct Handlers {
    std::function<void(std::string_view word, Descriptor with)> heard;
    std::function<void()> ended;  // the other process is gone, or the connection broken
  };
  Link(boost::asio::io_context& io, Descriptor socket);
  ~Link();
  void Listen(Handlers handlers);

  // Sends a word, with a descriptor if there is one; what the other can't take yet waits.
  void Say(std::string word, Descriptor with = {});
  bool open() const { return open_; }
  bool flushed() const { return waiting_.empty(); }

 private:
  void Read();
  void Flush();
  void End();

  boost::asio::posix::stream_descriptor socket_;
  boost::asio::steady_timer again_;
  Handlers handlers_;
  std::deque<std::pair<std::string, Descriptor>> waiting_;
  bool open_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // handlers may come after the end of this
};

// The new process at its start: all that the old one left, as far as there is one.
struct InheritedState {
  Descriptor listener;
  std::optional<HandoverState> handed_over;
  Descriptor link;
};

// Asks the process that serves at `address`. Takes half a second at the most, if it hangs.
InheritedState Inherit(const std::string& path, const boost::asio::ip::tcp::endpoint& address);

// The running process: waits for the one that replaces it.
class Handover {
 public:
  // Gives the listener and the handed_over to whoever asks, and then the link to them. One link at a time; a
  // later process that asks takes the place of one that is gone.
  struct Handlers {
    std::function<int()> listener;  // -1: none any more
    std::function<HandoverState()> handed_over;
    std::function<void(std::unique_ptr<Link>)> linked;
  };
  // What stands at the path is removed if nobody listens there; where that fails nothing is handed over.
  Handover(boost::asio::io_context& io, const std::string& path, Handlers handlers);
  ~Handover();

 private:
  void Accept();
  void Welcome(Descriptor socket);
  void Answer(std::string_view word);

  boost::asio::io_context& io_;
  const Handlers handlers_;
  boost::asio::posix::stream_descriptor listener_;
  std::unique_ptr<Link> caller_;  // has not said what it wants; the next one takes its place
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HANDOVER_HPP_
