// The connection between a running process and its successor, as used by the event loop of either process.
#ifndef GATEWAY_PROXY_RESTART_HOT_RESTART_CHANNEL_HPP_
#define GATEWAY_PROXY_RESTART_HOT_RESTART_CHANNEL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "base/file_descriptor.hpp"
#include "proxy/restart/hot_restart_message.hpp"
#include "proxy/restart/packet_socket.hpp"

namespace gateway::proxy {

// Sends and receives messages without blocking. To be used in the event loop's thread only.
class HotRestartChannel {
 public:
  // The channel calls both methods from the event loop. They may destroy the channel.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnMessage(HotRestartChannel& channel, HotRestartMessage message) = 0;
    // Called last, when the other process has exited or the connection has failed. Never called from within
    // Send().
    virtual void OnClosed(HotRestartChannel& channel) = 0;
  };

  // `socket` must be connected.
  HotRestartChannel(boost::asio::io_context& io, base::FileDescriptor socket);
  ~HotRestartChannel();
  HotRestartChannel(const HotRestartChannel&) = delete;
  HotRestartChannel& operator=(const HotRestartChannel&) = delete;

  // The first call begins to receive messages. A later call replaces the observer, and resumes receiving. An
  // observer must outlive the channel unless it is replaced.
  void SetObserver(Observer& observer);
  // Calls the observer no more until SetObserver is called, so that the next observer receives all further
  // messages. To be called from Observer::OnMessage.
  void PauseReceiving() { receiving_ = false; }

  // Passes all messages that have arrived to the observer before it returns. Has no effect while the channel
  // delivers messages already.
  void ReceiveNow();

  // Sends the message, or queues it while the socket's buffer is full. Drops a message that is too long for
  // the socket. Does nothing after the channel has closed.
  void Send(HotRestartMessage message);
  bool open() const { return open_; }
  bool all_sent() const { return send_queue_.empty(); }

 private:
  void Receive();
  bool DeliverArrived();
  void SendQueued();
  void RetrySending();
  void Close();

  boost::asio::posix::stream_descriptor socket_;
  boost::asio::steady_timer retry_timer_;
  Observer* observer_ = nullptr;
  std::deque<Packet> send_queue_;
  bool open_ = true;
  bool delivering_ = false;
  bool receiving_ = false;  // whether a wait for messages is pending, or messages are being delivered
  // Set to false by the destructor. Pending handlers share it and check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_HOT_RESTART_CHANNEL_HPP_
