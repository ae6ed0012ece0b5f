// Hot restart: a new process of a gateway (the successor) replaces the running process (the predecessor)
// without interrupting clients. During the overlap both processes run and act as one gateway: each process
// sends requests at half of the rate and uses at most half of the connections.
//
//   step  successor                                   predecessor
//   1     connects, sends Hello                       transfers its listener and its state
//   2     halves its rate and connections             halves its rate and connections
//   3     accepts clients, sends SuccessorReady       continues to serve until SIGTERM
//   4     returns to the full rate                    on SIGTERM: sends PredecessorLeaving, stops accepting,
//                                                     transfers clients that are between two requests, exits
//   5     returns to all connections
//
// If the predecessor exits early, the successor returns to the full rate and all connections. If the
// successor exits, the predecessor returns to the full rate and all connections. If no process responds to
// Hello but another process listens on the client address, both processes share that address (SO_REUSEPORT)
// and the successor assumes an overlap of fixed length.
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/file_descriptor.hpp"
#include "proxy/restart/hot_restart_channel.hpp"
#include "proxy/restart/hot_restart_message.hpp"
#include "proxy/restart/successor_acceptor.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {

// Implements both roles, because a process that has replaced its predecessor may later be replaced by a
// successor. To be used in the event loop's thread only.
class HotRestart final : private HotRestartChannel::Observer, private SuccessorAcceptor::Delegate {
 public:
  // The functions that the gateway provides. All callbacks must be set and must remain valid for the lifetime
  // of the HotRestart object. It calls them from the event loop, or from within Start() and
  // NotifyReadiness(). They must not call the HotRestart object.
  struct Callbacks {
    std::function<bool()> is_ready;     // returns whether the gateway passes its readiness check
    std::function<bool()> is_stopping;  // returns whether the gateway has received SIGTERM
    // Returns the listening socket for clients, or -1 if it is closed. The gateway keeps the ownership.
    std::function<int()> listener;
    std::function<TransferredState()> export_state;
    // Multiplies the request rate by `factor`: 0.5 when an overlap begins, 2 when it ends.
    std::function<void(double factor)> scale_rate;
    // Limits the connections to clients and endpoints to half of the budget, or to the full budget if `half`
    // is false.
    std::function<void(bool half)> limit_connections;
    // Serves a client connection that the predecessor has transferred. The connection is between two
    // requests.
    std::function<void(base::FileDescriptor connection)> adopt_client;
    // Returns the IDs of all requests that another process must refuse.
    std::function<std::vector<policy::RequestDigest>()> claimed_requests;
    // Refuses, or accepts again, requests that the other process has claimed or released.
    std::function<void(const std::vector<policy::RequestDigest>& ids)> requests_claimed;
    std::function<void(const std::vector<policy::RequestDigest>& ids)> requests_released;
    // Another process has received SIGHUP: the configuration file may have changed.
    std::function<void()> config_replaced;
  };

  // `path` is the path of the Unix socket to which successors connect. If it is empty, no successor can
  // connect. `predecessor` is the connection to the predecessor; empty if there is none. `address_in_use` is
  // whether another process listened on the client address at the start but transferred nothing.
  HotRestart(boost::asio::io_context& io, const std::string& path, base::FileDescriptor predecessor,
             bool address_in_use, Callbacks callbacks);

  // Begins the overlap with the predecessor, if there is one, and listens for successors. To be called once,
  // when the callbacks may be called.
  void Start();
  // Notifies the predecessor, if there is one, that this process accepts clients, provided that is_ready()
  // returns true. To be called whenever is_ready() may have become true, also before Start().
  void NotifyReadiness();

  // Handles the messages of the other process that have arrived, so that its latest claims are known.
  void ReceiveClaims();
  // Notifies the other processes, if there are any, that this process has taken on a request, or that no
  // endpoint can have executed it.
  void ShareClaim(const policy::RequestDigest& id);
  void ShareRelease(const policy::RequestDigest& id);

  // Notifies the other processes, if there are any, that this process has received SIGHUP.
  void ShareReload();

  // Returns whether a successor is connected and accepts clients.
  bool HasReadySuccessor() const;

  // The following methods require that HasReadySuccessor() has returned true.

  // Notifies the successor that this process stops accepting clients and will exit.
  void AnnounceLeaving();
  // Transfers a client connection that is between two requests to the successor. If the successor is no
  // longer connected, closes the connection and returns false.
  bool TransferClient(base::FileDescriptor connection);
  // Returns whether messages to the successor wait to be sent. May be called at any time.
  bool HasUnsentTransfers() const { return successor_ && !successor_->all_sent(); }
  // Calls `done` when all transfers have been sent, possibly before this method returns.
  void WhenTransfersSent(const std::function<void()>& done);

 private:
  enum class PredecessorState {
    kNone,          // there is no predecessor, or it has exited
    kUnresponsive,  // it listens on the client address but does not respond; the overlap has a fixed length
    kServing,       // it is connected and accepts clients
    kNotified,      // as kServing, and it was notified that this process accepts clients
    kLeaving,       // it is connected, no longer accepts clients and completes its requests
  };
  enum class SuccessorState {
    kNone,      // no successor has connected, or it has disconnected
    kStarting,  // it is connected and does not accept clients yet
    kReady,     // it is connected and accepts clients
  };

  void OnMessage(HotRestartChannel& channel, HotRestartMessage message) override;
  void OnClosed(HotRestartChannel& channel) override;
  int ListenerForSuccessor() override;
  TransferredState StateForSuccessor() override;
  void OnSuccessor(std::unique_ptr<HotRestartChannel> channel) override;

  void OnPredecessorMessage(HotRestartMessage message);
  bool HandleShared(HotRestartChannel* relay_to, const HotRestartMessage& message);
  void SendClaimsToSuccessor();
  void OnPredecessorDisconnected();
  void OnSuccessorDisconnected();
  void ScheduleEndOfOverlap();
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
  bool reload_during_transfer_ =
      false;  // whether SIGHUP arrived after the state for a successor was exported
  std::optional<SuccessorAcceptor> acceptor_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_HPP_
