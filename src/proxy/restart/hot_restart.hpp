// The replacement of this process by another, or of another by this one: while both run they are one gateway.
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "proxy/restart/handover.hpp"

namespace gateway::proxy {

class HotRestart {
 public:
  // What it asks of the gateway, and tells it.
  struct Handlers {
    std::function<bool()> ready;                 // takes clients
    std::function<bool()> stopping;              // SIGTERM has come
    std::function<int()> listener;               // for the process that comes; -1: none any more
    std::function<HandoverState()> handed_over;  // for it as well
    std::function<void(double)> scale;           // the rate, by this factor
    std::function<void(bool half)> places;       // half of the clients' and hosts' places, or all again
    std::function<void(Descriptor)> adopt;       // a client's connection from the process before
  };

  // `path` of the socket on which replacements ask; empty: none comes, and nothing of the below happens.
  // `taken`: at the start another process listened at the clients' address, and handed nothing over.
  HotRestart(boost::asio::io_context& io, const std::string& path, Descriptor link, bool taken,
             Handlers handlers);

  // Takes its part, if there is another process. Once, when the gateway is able to act.
  void Begin();
  // To be called when ready() may have become true.
  void ReadyNow();
  // A process that takes clients has come in place of this one.
  bool Succeeded() const { return successor_ && successor_ready_ && successor_->open(); }
  // Tells the successor that this process leaves.
  void Leave();
  // Gives it a client's connection; false: it takes none.
  bool Give(Descriptor client);
  // Calls `done` once all that was given has left this process.
  void Flushed(const std::function<void()>& done);

 private:
  void ShareWithPredecessor();
  void ShareWithSuccessor(std::unique_ptr<Link> successor);
  void TakeAll();

  boost::asio::io_context& io_;
  const std::string path_;
  const bool taken_;
  const Handlers handlers_;
  boost::asio::steady_timer overlap_;
  std::unique_ptr<Link> predecessor_, successor_;
  bool predecessor_told_ = false;  // that this process takes clients
  bool whole_ = true;              // acts on all that was learned, not on a part
  bool successor_ready_ = false;
  std::optional<Handover> handover_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_
