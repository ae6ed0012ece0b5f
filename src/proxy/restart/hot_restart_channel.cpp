#include "proxy/restart/hot_restart_channel.hpp"

#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Millis kSendRetryIntervalMs = 5;

}  // namespace

HotRestartChannel::HotRestartChannel(asio::io_context& io, base::FileDescriptor socket)
    : socket_(io, socket.Release()), retry_timer_(io) {}

HotRestartChannel::~HotRestartChannel() { *alive_ = false; }

void HotRestartChannel::SetObserver(Observer& observer) {
  observer_ = &observer;
  if (!receiving_ && open_) Receive();
}

void HotRestartChannel::Receive() {
  receiving_ = true;
  socket_.async_wait(asio::posix::stream_descriptor::wait_read, [this, alive = alive_](error_code ec) {
    if (!*alive || !open_) return;
    if (ec) return Close();
    if (DeliverArrived()) Receive();
  });
}

// Passes the messages that have arrived to the observer. Returns false if the channel was destroyed, closed
// or paused meanwhile.
bool HotRestartChannel::DeliverArrived() {
  const std::shared_ptr<bool> alive = alive_;
  for (;;) {
    Packet packet;
    const ReceiveResult result = ReceivePacket(socket_.native_handle(), packet);
    if (result == ReceiveResult::kNothingYet) return true;
    if (result == ReceiveResult::kEnded) {
      Close();
      return false;
    }
    delivering_ = true;
    observer_->OnMessage(*this, DecodeMessage(std::move(packet)));
    if (!*alive) return false;
    delivering_ = false;
    if (!open_ || !receiving_) return false;
  }
}

void HotRestartChannel::ReceiveNow() {
  if (receiving_ && open_ && !delivering_) DeliverArrived();
}

void HotRestartChannel::Send(HotRestartMessage message) {
  if (!open_) return;
  send_queue_.push_back(EncodeMessage(std::move(message)));
  if (send_queue_.size() == 1) SendQueued();
}

void HotRestartChannel::SendQueued() {
  while (!send_queue_.empty()) {
    const SendResult result = SendPacket(socket_.native_handle(), send_queue_.front());
    if (result == SendResult::kTryLater) return RetrySending();
    if (result == SendResult::kBroken) return Close();
    send_queue_.pop_front();
  }
}

void HotRestartChannel::RetrySending() {
  retry_timer_.expires_after(TimerDuration(kSendRetryIntervalMs));
  retry_timer_.async_wait([this, alive = alive_](error_code ec) {
    if (!ec && *alive && open_) SendQueued();
  });
}

void HotRestartChannel::Close() {
  if (!std::exchange(open_, false)) return;
  send_queue_.clear();
  error_code ignored;
  socket_.close(ignored);
  asio::post(socket_.get_executor(), [this, alive = alive_] {
    if (*alive && observer_ != nullptr) observer_->OnClosed(*this);
  });
}

}  // namespace gateway::proxy
