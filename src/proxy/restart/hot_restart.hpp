// Hot restart: two processes of one gateway overlap while the new one replaces the running one, without a
// client noticing. While both run they act as one gateway: each sends at half the rate and keeps to half of
// the connections.
//
//   step  successor                                   predecessor
//   1     connects, says Hello                        transfers its listener and its state
//   2     halves its rate and connections             halves its rate and connections
//   3     accepts clients, says SuccessorReady        continues to serve until SIGTERM
//   4     back to the full rate                       on SIGTERM: says PredecessorLeaving, stops accepting,
//                                                     transfers clients that are between two requests, exits
//   5     back to all connections
//
// If the predecessor disappears the successor goes on with step 5; if the successor disappears the
// predecessor takes back the full rate and all connections. Where nobody answers the Hello but another
// process listens at the clients' address, both share that address (SO_REUSEPORT) and the successor assumes
// an overlap of fixed length.
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/restart/hot_restart_channel.hpp"
#include "proxy/restart/hot_restart_message.hpp"
#include "proxy/restart/successor_acceptor.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// Both roles of one process: it may replace another and be replaced later. One thread: the event loop's.
class HotRestart final : private HotRestartChannel::Observer, private SuccessorAcceptor::Delegate {
 public:
  // What the gateway provides. All must be set and remain valid for this object's lifetime. Called from the
  // event loop, or from within Start() and NotifyReadiness(); they must not call back.
  struct Callbacks {
    std::function<bool()> is_ready;     // whether the gateway answers a readiness check with yes
    std::function<bool()> is_stopping;  // whether SIGTERM has come
    // The clients' listening socket, which stays the gateway's; -1: it is closed.
    std::function<int()> listener;
    std::function<TransferredState()> export_state;
    // Multiplies the rate of requests by `factor`: 0.5 when an overlap begins, 2 when it ends.
    std::function<void(double factor)> scale_rate;
    // Limits the connections to clients and endpoints to half of all, or to all again.
    std::function<void(bool half)> limit_connections;
    // Takes a client's connection, between two requests, from the predecessor.
    std::function<void(base::FileDescriptor connection)> adopt_client;
  };

  // `path`: of the Unix socket on which successors connect; empty: none ever does.
  // `predecessor`: the connection to the process that this one replaces; empty: there is none.
  // `address_in_use`: at the start another process listened at the clients' address and transferred nothing.
  HotRestart(boost::asio::io_context& io, const std::string& path, base::FileDescriptor predecessor,
             bool address_in_use, Callbacks callbacks);

  // Begins the overlap with a predecessor, and listens for successors. To be called once, when the gateway is
  // able to act on its callbacks.
  void Start();
  // To be called when is_ready() may have become true, before Start() too: notifies the predecessor.
  void NotifyReadiness();

  // Whether a successor is connected that accepts clients.
  bool HasReadySuccessor() const;

  // The following require HasReadySuccessor().
  // Tells the successor that this process leaves.
  void AnnounceLeaving();
  // Gives the successor a client's connection that is between two requests; false: there is none to take it,
  // and the connection is closed.
  bool TransferClient(base::FileDescriptor connection);
  // Calls `done` once all that was transferred has been sent; at once if it has been already.
  void WhenTransfersSent(const std::function<void()>& done);

 private:
  enum class PredecessorState {
    kNone,          // there is none, or it has ended
    kUnresponsive,  // it listens at the clients' address but does not answer: the overlap has a fixed length
    kServing,       // connected
    kNotified,      // connected, and knows that this process accepts clients
    kLeaving,       // connected; it accepts no clients and is finishing
  };
  enum class SuccessorState {
    kNone,      // none has connected, or it has ended
    kStarting,  // connected
    kReady,     // connected, and accepts clients
  };

  void OnMessage(HotRestartChannel& channel, HotRestartMessage message) override;
  void OnClosed(HotRestartChannel& channel) override;
  int ListenerForSuccessor() override;
  TransferredState StateForSuccessor() override;
  void OnSuccessor(std::unique_ptr<HotRestartChannel> channel) override;

  void OnPredecessorMessage(HotRestartMessage message);
  void OnPredecessorGone();
  void OnSuccessorGone();
  void EndOverlapLater();
  void BeginOverlap();
  void EndOverlap();

  boost::asio::io_context& io_;
  const std::string path_;
  const Callbacks callbacks_;
  boost::asio::steady_timer overlap_timer_;
  boost::asio::steady_timer transfer_timer_;
  PredecessorState predecessor_state_ = PredecessorState::kNone;
  SuccessorState successor_state_ = SuccessorState::kNone;
  std::unique_ptr<HotRestartChannel> predecessor_;
  std::unique_ptr<HotRestartChannel> successor_;
  bool rate_is_halved_ = false;
  std::optional<SuccessorAcceptor> acceptor_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_
