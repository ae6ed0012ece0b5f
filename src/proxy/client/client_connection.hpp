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

// Transfers a client's idle connection to another process. Closes the connection and returns false if that
// process does not accept it.
using ConnectionTransfer = std::function<bool(base::FileDescriptor client)>;

// Implemented by the owner of the connections.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // Returns whether the limit on connections is reached.
  virtual bool AtConnectionLimit() const = 0;
  // The connection was closed or transferred. The owner drops its pointer to it.
  virtual void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) = 0;
};

// State that all connections of a ClientServer share. Must outlive their last event.
struct ClientConnectionContext {
  boost::asio::io_context& io;
  ClientConnectionOwner& owner;
  const ClientCallbacks callbacks;
  const RequestValidator validator;
  const Millis shed_retry_after_ms;  // 0: connections that are shed get no Retry-After
  BufferBudget body_budget;          // for the buffered parts of request bodies
  DrainState drain = {};
  std::size_t active_requests = 0;   // complete requests whose response is not written yet
  ConnectionTransfer transfer = {};  // set when the transfer of idle connections begins
};

// Serves the requests of one client, one after the other.
//
// Between requests the connection only waits until the socket is readable. Nothing is read before that, so an
// idle connection can be closed, or transferred to another process, without loss. While a request is being
// served the connection reads ahead to detect that the client disconnects; the bytes read belong to the next
// request. For a request whose body is streamed the connection is the body's source.
//
// The owner holds a shared pointer until OnConnectionClosed; pending operations and streamed bodies hold
// others. Runs on the event loop's thread.
class ClientConnection final : public BodySource,
                               public std::enable_shared_from_this<ClientConnection>,
                               private RequestReader::Delegate,
                               private ResponseWriter::Delegate,
                               private LingeringClose::Delegate {
 public:
  // `transferred` is set if another process has served requests on the connection and transferred it.
  ClientConnection(ClientConnectionContext& context, boost::asio::ip::tcp::socket socket, bool transferred);

  // Begins to serve requests. `accept_wait_ms` bounds the time for which the connection waited to be
  // accepted.
  void Start(Millis accept_wait_ms);
  // Responds with 503 without reading a request, and closes the connection.
  void Shed();
  // Closes the connection at once, and ends its current request. Has no effect on a closed connection.
  void Close();
  // Transfers the connection to another process by the context's `transfer`. Returns false, without effect,
  // if the connection is not between requests.
  bool Transfer();
  // Applies the timeouts and the rules of a drain. Called at regular intervals.
  void CheckTimeouts(Millis now);

  // Whether the connection is between requests with nothing unread, so that closing it loses nothing.
  bool IsIdle();
  // Whether the connection has been idle for so long that neither a request nor a response should be in
  // transit. Closing the connection could reset it, which would destroy a response in transit.
  bool IsSettled(Millis now) { return now - phase_entered_at_ > kSettleTimeMs && IsIdle(); }
  // Whether only a part of a request was read and no more of the request has arrived.
  bool IsRequestStalled();
  // Whether the connection can end soon without waiting for an endpoint: it can be evicted, or is closing.
  bool IsReclaimable() const;
  // The start of the current phase: for an idle connection, the time at which it became idle.
  Millis phase_entered_at() const { return phase_entered_at_; }
  // The last time at which the client was observed to make progress with an incomplete request.
  Millis last_progress_at() const;

  // Called by ClientResponder with the number of its request.
  void Respond(std::uint64_t request_number, HttpResponse response,
               std::shared_ptr<BodySource> remaining_body);
  bool DetectDisconnect(std::uint64_t request_number);

  // BodySource: the rest of the current request's body.
  void ReadNext(PieceHandler handler) override { reader_.ReadNextPiece(std::move(handler)); }
  void Cancel() override {}  // the connection closes after the response
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
  Millis request_started_at_ = phase_entered_at_;  // not later than the first byte of the request
  bool reading_request_ = false;                   // in kReading: a part of a request has arrived
  std::uint64_t wait_number_ = 0;  // number of the latest wait for readability; earlier waits are ignored
  bool watches_for_disconnect_ = false;  // in kServing: a wait for readability is pending

  bool keep_alive_ = true;  // the connection may stay open after the current response
  bool shed_ = false;
  unsigned http_version_ = 11;
  std::uint64_t request_number_ = 0;  // number of the last dispatched request; 0 if there was none
  Millis accept_wait_ms_ = 0;         // bound on the time in the accept queue

  bool is_readiness_check_ = false;
  RequestAttributes attributes_;  // the request that is being read
  std::string request_id_;        // the request that was dispatched
  std::string class_name_;
  bool request_open_ = false;    // a request was dispatched and has not ended
  bool counted_active_ = false;  // the request is counted in the context's active_requests
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_
