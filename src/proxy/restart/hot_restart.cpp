#include "proxy/restart/hot_restart.hpp"

#include <boost/system/error_code.hpp>
#include <utility>
#include <variant>

#include "base/log.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

using boost::system::error_code;

// The assumed length of the overlap with an unresponsive predecessor.
constexpr Millis kUnresponsiveOverlapMs = 11000;
constexpr Millis kTransferPollIntervalMs = 10;  // time between two checks whether all transfers were sent

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, const std::string& path, base::FileDescriptor predecessor,
                       bool address_in_use, Callbacks callbacks)
    : io_(io), path_(path), callbacks_(std::move(callbacks)), overlap_timer_(io), transfer_timer_(io) {
  if (predecessor) {
    predecessor_ = std::make_unique<HotRestartChannel>(io, std::move(predecessor));
    predecessor_state_ = PredecessorState::kServing;
  } else if (address_in_use) {
    predecessor_state_ = PredecessorState::kUnresponsive;
  }
}

void HotRestart::Start() {
  if (predecessor_state_ != PredecessorState::kNone) BeginOverlap();
  if (predecessor_state_ == PredecessorState::kUnresponsive) ScheduleEndOfOverlap();
  if (predecessor_) {
    base::Log(base::Level::kInfo, "replacement", "replaces", "this process replaces a running process");
    predecessor_->SetObserver(*this);
    NotifyReadiness();
  }
  if (path_.empty()) return;
  SuccessorAcceptor::Delegate& delegate = *this;
  acceptor_.emplace(io_, path_, delegate);
}

void HotRestart::NotifyReadiness() {
  if (predecessor_state_ != PredecessorState::kServing || !callbacks_.is_ready()) return;
  predecessor_state_ = PredecessorState::kNotified;
  predecessor_->Send(SuccessorReady{});
}

bool HotRestart::HasReadySuccessor() const {
  return successor_state_ == SuccessorState::kReady && successor_->open();
}

void HotRestart::AnnounceLeaving() { successor_->Send(PredecessorLeaving{}); }

bool HotRestart::TransferClient(base::FileDescriptor connection) {
  if (!successor_ || !successor_->open()) return false;
  successor_->Send(ClientTransfer{std::move(connection)});
  return true;
}

void HotRestart::WhenTransfersSent(const std::function<void()>& done) {
  if (!HasUnsentTransfers()) return done();
  transfer_timer_.expires_after(TimerDuration(kTransferPollIntervalMs));
  transfer_timer_.async_wait([this, done](error_code ec) {
    if (!ec) WhenTransfersSent(done);
  });
}

void HotRestart::ReceiveClaims() {
  if (predecessor_) predecessor_->ReceiveNow();
  if (successor_) successor_->ReceiveNow();
}

void HotRestart::ShareClaim(const policy::RequestDigest& id) {
  if (predecessor_) predecessor_->Send(RequestsClaimed{{id}});
  if (successor_) successor_->Send(RequestsClaimed{{id}});
}

void HotRestart::ShareRelease(const policy::RequestDigest& id) {
  if (predecessor_) predecessor_->Send(RequestsReleased{{id}});
  if (successor_) successor_->Send(RequestsReleased{{id}});
}

void HotRestart::ShareReload() {
  reload_during_transfer_ = true;
  if (predecessor_) predecessor_->Send(ConfigReplaced{});
  if (successor_) successor_->Send(ConfigReplaced{});
}

// Returns whether the message was one for all processes: a claim, a release or a reload. Relays it, because
// three processes may run for a short time: the first one completes its last requests while the third one
// starts.
bool HotRestart::HandleShared(HotRestartChannel* relay_to, const HotRestartMessage& message) {
  if (const auto* const claimed = std::get_if<RequestsClaimed>(&message)) {
    callbacks_.requests_claimed(claimed->ids);
    if (relay_to != nullptr) relay_to->Send(*claimed);
    return true;
  }
  if (const auto* const released = std::get_if<RequestsReleased>(&message)) {
    callbacks_.requests_released(released->ids);
    if (relay_to != nullptr) relay_to->Send(*released);
    return true;
  }
  if (std::holds_alternative<ConfigReplaced>(message)) {
    callbacks_.config_replaced();
    if (relay_to != nullptr) relay_to->Send(ConfigReplaced{});
    return true;
  }
  return false;
}

void HotRestart::SendClaimsToSuccessor() {
  RequestsClaimed message;
  for (const policy::RequestDigest& id : callbacks_.claimed_requests()) {
    message.ids.push_back(id);
    if (message.ids.size() == kMaxIdsPerMessage) successor_->Send(std::exchange(message, {}));
  }
  if (!message.ids.empty()) successor_->Send(std::move(message));
}

void HotRestart::OnMessage(HotRestartChannel& channel, HotRestartMessage message) {
  HotRestartChannel* const relay_to = &channel == predecessor_.get() ? successor_.get() : predecessor_.get();
  if (HandleShared(relay_to, message)) return;
  if (&channel == predecessor_.get()) {
    OnPredecessorMessage(std::move(message));
  } else if (std::holds_alternative<SuccessorReady>(message)) {
    successor_state_ = SuccessorState::kReady;
  }
}

void HotRestart::OnClosed(HotRestartChannel& channel) {
  if (&channel == predecessor_.get()) {
    OnPredecessorDisconnected();
  } else {
    OnSuccessorDisconnected();
  }
}

void HotRestart::OnPredecessorMessage(HotRestartMessage message) {
  if (auto* const client = std::get_if<ClientTransfer>(&message)) {
    callbacks_.adopt_client(std::move(client->connection));
  } else if (std::holds_alternative<PredecessorLeaving>(message)) {
    predecessor_state_ = PredecessorState::kLeaving;
    EndOverlap();
  }
}

void HotRestart::OnPredecessorDisconnected() {
  predecessor_state_ = PredecessorState::kNone;
  predecessor_.reset();
  EndOverlap();
}

// Returns -1 (no transfer) while a successor is connected, because a process can have only one successor.
// Also returns -1 while this process stops.
int HotRestart::ListenerForSuccessor() {
  if (successor_ || callbacks_.is_stopping()) return -1;
  return callbacks_.listener();
}

TransferredState HotRestart::StateForSuccessor() {
  reload_during_transfer_ = false;
  return callbacks_.export_state();
}

void HotRestart::OnSuccessor(std::unique_ptr<HotRestartChannel> channel) {
  base::Log(base::Level::kInfo, "replacement", "successor_came", "a successor process has connected");
  successor_ = std::move(channel);
  successor_state_ = SuccessorState::kStarting;
  BeginOverlap();
  SendClaimsToSuccessor();
  if (reload_during_transfer_) successor_->Send(ConfigReplaced{});
  successor_->SetObserver(*this);
}

void HotRestart::OnSuccessorDisconnected() {
  base::Log(base::Level::kWarning, "replacement", "successor_gone", "the successor process has disconnected");
  successor_state_ = SuccessorState::kNone;
  successor_.reset();
  if (!callbacks_.is_stopping()) EndOverlap();
}

void HotRestart::ScheduleEndOfOverlap() {
  overlap_timer_.expires_after(TimerDuration(kUnresponsiveOverlapMs));
  overlap_timer_.async_wait([this](error_code ec) {
    if (ec) return;
    predecessor_state_ = PredecessorState::kNone;
    EndOverlap();
  });
}

void HotRestart::BeginOverlap() {
  if (!std::exchange(rate_is_halved_, true)) callbacks_.scale_rate(0.5);
  callbacks_.limit_connections(/*half=*/true);
}

// Restores the full rate, because the other process of the overlap has stopped accepting clients or has
// exited. Restores the full connection limit only if the other process has disconnected, because it uses its
// connections until then.
void HotRestart::EndOverlap() {
  if (std::exchange(rate_is_halved_, false)) callbacks_.scale_rate(2);
  if (!predecessor_ && !successor_) callbacks_.limit_connections(/*half=*/false);
}

}  // namespace gateway::proxy
