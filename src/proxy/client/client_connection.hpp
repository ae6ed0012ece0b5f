// One connection of a client.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/file_descriptor.hpp"
#include "proxy/body_source.hpp"
#include "proxy/buffer_budget.hpp"
#include "proxy/client/client_request.hpp"
#include "proxy/client/drain_state.hpp"
#include "proxy/client/lingering_close.hpp"
#include "proxy/client/request_reader.hpp"
#include "proxy/client/request_validation.hpp"
#include "proxy/client/response_writer.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

class ClientConnection;

// Sends a client's idle connection to another process. Returns false if that does not take it; the connection
// is closed then.
using ConnectionTransfer = std::function<bool(base::FileDescriptor client)>;

// Implemented by the owner of the connections.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // Returns whether there are as many connections as there may be.
  virtual bool AtConnectionLimit() const = 0;
  // The connection was closed or transferred. The owner drops its pointer to it.
  virtual void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) = 0;
};

// What all connections of a ClientServer share. Must outlive their last event.
struct ClientConnectionContext {
  boost::asio::io_context& io;
  ClientConnectionOwner& owner;
  const ClientCallbacks callbacks;
  const RequestValidator validator;
  const Millis shed_retry_after_ms;  // 0: connections that are shed get no Retry-After
  BufferBudget body_budget;          // for the buffered parts of request bodies
  DrainState drain = {};
  std::size_t active_requests = 0;   // complete requests whose response is not written yet
  ConnectionTransfer transfer = {};  // set once idle connections are to be transferred
};

// Serves the requests of one client, one after the other.
//
// Between requests the connection only waits until the socket is readable: nothing is read before a request
// is begun, so an idle connection can be closed, or transferred to another process, without loss. While a
// request is being served the connection reads ahead to see the client disconnect; what it reads is the start
// of the next request. For a request whose body is streamed the connection is the body's source.
//
// The owner holds a shared pointer until OnConnectionClosed; pending operations and streamed bodies hold
// others. Runs on the event loop's thread.
class ClientConnection final : public BodySource,
                               public std::enable_shared_from_this<ClientConnection>,
                               private RequestReader::Delegate,
                               private ResponseWriter::Delegate,
                               private LingeringClose::Delegate {
 public:
  // `transferred` says that the connection comes from another process, which has served requests on it.
  ClientConnection(ClientConnectionContext& context, boost::asio::ip::tcp::socket socket, bool transferred);

  // Begins to serve requests. `accept_wait_ms` bounds the time for which the connection waited to be
  // accepted.
  void Start(Millis accept_wait_ms);
  // Answers with 503 without reading a request, and closes.
  void Shed();
  // Closes the connection at once, and ends what is under way on it. No effect if it is closed.
  void Close();
  // Transfers the connection to another process by the context's `transfer`, if it is between requests.
  // Returns false if it is not.
  bool Transfer();
  // Applies the timeouts and the rules of a drain. Called at regular intervals.
  void CheckTimeouts(Millis now);

  // Whether the connection is between requests with nothing unread, so that closing it loses nothing.
  bool IsIdle();
  // Whether it has been idle for long enough that no request should be on its way, nor a response that a
  // reset would destroy.
  bool IsSettled(Millis now) { return now - phase_entered_at_ > kSettleTimeMs && IsIdle(); }
  // Whether a part of a request was read, and the rest has not arrived.
  bool IsRequestStalled();
  // Whether the connection can end soon without an endpoint's doing: it may be evicted, or is closing.
  bool IsReclaimable() const;
  // When the current phase began: for an idle connection, when it became idle.
  Millis phase_entered_at() const { return phase_entered_at_; }
  // When the client was last seen to make progress with an incomplete request.
  Millis last_progress_at() const;

  // For ClientResponder; `request_number` is that of the request.
  void Respond(std::uint64_t request_number, HttpResponse response,
               std::shared_ptr<BodySource> remaining_body);
  bool DetectDisconnect(std::uint64_t request_number);

  // BodySource: the rest of the current request's body.
  void ReadNext(PieceHandler handler) override { reader_.ReadNextPiece(std::move(handler)); }
  void Cancel() override {}  // the response ends the connection
  bool started() const override { return reader_.streaming_started(); }

 private:
  enum class Phase {
    kReading,    // idle, or reading a request
    kServing,    // the request awaits its response; its body may still be read
    kWriting,    // a response is being written
    kLingering,  // the last response was written
    kClosed,
  };

  static constexpr Millis kSettleTimeMs = 300;

  // RequestReader::Delegate, ResponseWriter::Delegate, LingeringClose::Delegate
  std::shared_ptr<void> KeepAlive() override { return shared_from_this(); }
  void OnRequestHead() override;
  void OnRequestBuffered() override;
  void OnStreamedBodyComplete() override;
  void OnReadError(boost::system::error_code error) override;
  void OnResponseWritten(boost::system::error_code error) override;
  void OnResponseAborted() override { Close(); }
  void OnLingerFinished() override { Close(); }

  void EnterPhase(Phase phase);
  bool IsBetweenRequests() const { return phase_ == Phase::kReading && !reading_request_; }

  void AwaitRequest();
  void DispatchRequest();
  void BeginServing();
  Millis TimeInKernelQueues();

  void WatchForDisconnect();
  bool HasDisconnected();
  void OnDisconnect();

  void CheckReadingTimeouts(Millis now);
  void CheckServingTimeouts(Millis now);
  void RejectSlowRequest();
  void AbandonRequest();

  void RejectAndClose(const RequestError& error, Millis retry_after_ms = 0);
  void RespondWithError(const RequestError& error, Millis retry_after_ms = 0);
  void WriteResponse(HttpResponse response, std::shared_ptr<BodySource> remaining_body);
  bool KeepsAliveAfterResponse();
  void EndRequest();

  ClientConnectionContext& context_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseWriter writer_;
  LingeringClose linger_;

  Phase phase_ = Phase::kReading;
  Millis phase_entered_at_ = Now();
  Millis request_started_at_ = phase_entered_at_;  // not after the first byte of the current request
  bool reading_request_ = false;                   // in kReading: some of a request has arrived
  std::uint64_t wait_number_ = 0;                  // of the wait for readability that counts
  bool watches_for_disconnect_ = false;            // in kServing: such a wait is pending

  bool keep_alive_ = true;  // the connection goes on behind the current response
  bool shed_ = false;
  unsigned http_version_ = 11;
  std::uint64_t request_number_ = 0;  // of the last request that was dispatched; 0: none was
  Millis accept_wait_ms_ = 0;         // of the bytes that had arrived when the connection was accepted

  bool is_readiness_check_ = false;
  RequestAttributes attributes_;  // of the request that is being read
  std::string request_id_;        // of the request that was dispatched
  std::string class_name_;
  bool request_open_ = false;    // a request was dispatched and has not ended
  bool counted_active_ = false;  // in the context's active_requests
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_
