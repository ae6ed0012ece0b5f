// A connection from a client.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

// Transfers a client's idle connection to another process. If that process does not accept the connection,
// closes it and returns false.
using ConnectionTransfer = std::function<bool(base::FileDescriptor client)>;

// Implemented by the object that owns the connections.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // Returns whether the limit on connections is reached.
  virtual bool AtConnectionLimit() const = 0;
  // Called when a request is refused because too much memory is in use.
  virtual void OnMemoryExhausted() = 0;
  // Requests that CheckTimeouts of all connections is called at `time` or earlier.
  virtual void CheckTimeoutsBy(Millis time) = 0;
  // Called when a connection was closed or transferred. The owner must release its pointer to the connection.
  virtual void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) = 0;
};

// State that all connections of a ClientServer share. Must outlive all pending operations of the connections.
struct ClientConnectionContext {
  boost::asio::io_context& io;
  ClientConnectionOwner& owner;
  const ClientCallbacks callbacks;
  const RequestValidator validator;
  const Millis shed_retry_after_ms;  // Retry-After in responses to shed connections; 0: none
  const std::shared_ptr<BufferBudget> buffer_budget;
  DrainState drain = {};
  std::size_t active_requests = 0;    // complete requests whose response is not written yet
  std::uint64_t memory_refusals = 0;  // requests refused because the budget was used up, since the start
  ConnectionTransfer transfer = {};   // empty until the transfer of idle connections begins
};

// Serves the requests of one client, one after the other.
//
// Between requests, the connection waits until the socket is readable, and reads nothing before that. An idle
// connection can therefore be closed, or transferred to another process, without losing data. While a request
// is being served, the connection reads ahead to detect a disconnect of the client. The bytes that it reads
// ahead belong to the next request. If the body of a request is streamed, the connection is the BodySource of
// that body.
//
// The owner holds a shared pointer to the connection until OnConnectionClosed. Pending operations and
// streamed bodies also hold shared pointers. Runs on the event loop's thread.
class ClientConnection final : public BodySource,
                               public std::enable_shared_from_this<ClientConnection>,
                               private RequestReader::Delegate,
                               private ResponseWriter::Delegate,
                               private LingeringClose::Delegate {
 public:
  // `transferred` is true if another process has served requests on the connection and then transferred it to
  // this process.
  ClientConnection(ClientConnectionContext& context, boost::asio::ip::tcp::socket socket, bool transferred);

  // Begins to serve requests. `accept_wait_ms` is an upper bound on the time for which the connection has
  // waited in the accept queue.
  void Start(Millis accept_wait_ms);
  // Responds with 503 without reading a request, and closes the connection.
  void Shed();
  // Responds with 503 to the incomplete request, and closes the connection at once. To be called only if
  // IsRequestStalled returns true.
  void RefuseStalled();
  // Closes the connection at once and ends the current request. Has no effect on a closed connection.
  void Close();
  // Transfers the connection to another process with the context's `transfer` function. If the connection is
  // not between requests, has no effect and returns false.
  bool Transfer();
  // Applies the timeouts and the rules of a drain. Called at regular intervals.
  void CheckTimeouts(Millis now);

  // Whether the connection is between requests and has no unread data, so that closing it loses no request.
  bool IsIdle() const;
  // Whether the connection has been idle for longer than kSettleTimeMs, so that no request or response should
  // still be in transit. If a response is in transit, closing the connection could reset it, and the client
  // would lose the response.
  bool IsSettled(Millis now) const { return now - phase_entered_at_ > kSettleTimeMs && IsIdle(); }
  // Whether the last response of the connection was written, and the client has not closed its side yet.
  bool IsLingering() const { return phase_ == Phase::kLingering; }
  // Whether a part of a request was read and no further data of the request has arrived.
  bool IsRequestStalled() const;
  // The memory that an incomplete request uses of which no endpoint has a part; 0 if there is no such
  // request.
  std::size_t UnsentBytes() const;
  // Refuses the request that UnsentBytes refers to, and closes the connection after the response.
  void RefuseUnsent();
  // Refuses the request of which only a part was read, if there is one that was not dispatched, and closes
  // the connection after the response.
  void RefuseIncomplete();
  // Whether the connection can end soon without waiting for an endpoint. True while the connection waits for
  // a request or reads one. Also true while it lingers after its last response, unless the connection was
  // shed.
  bool IsReclaimable() const;
  // Whether the end of the process could cost the client a response. This is the case in each of these
  // phases:
  // - a part of a request has arrived, is unread, or may be in transit because the connection is not settled;
  // - the response is awaited, from the queue or from an endpoint;
  // - the response is being written and progresses, which it does not if neither the endpoint sends nor the
  //   client reads for kStallTimeMs;
  // - the last response is not acknowledged, or the client still sends, so that a close would reset the
  //   connection.
  bool HasPendingWork(Millis now) const;
  // The start of the current phase. For an idle connection, this is the time at which it became idle.
  Millis phase_entered_at() const { return phase_entered_at_; }
  // The arrival of the first byte of the current request, or an earlier time.
  Millis request_started_at() const { return request_started_at_; }
  // The last time at which the connection observed progress of an incomplete request.
  Millis last_progress_at() const;

  // Called by ClientResponder with the number of the request that it responds to.
  void Respond(std::uint64_t request_number, HttpResponse response,
               std::shared_ptr<BodySource> remaining_body);
  bool DetectDisconnect(std::uint64_t request_number);
  Millis EarliestCompletion(std::uint64_t request_number);

  // BodySource: the rest of the current request's body.
  void ReadNext(PieceHandler handler) override { reader_.ReadNextPiece(std::move(handler)); }
  void Cancel() override {}  // no effect: the connection closes after the response
  bool started() const override { return reader_.streaming_started(); }

 private:
  enum class Phase {
    kReading,    // the connection waits for a request or reads one
    kServing,    // the request waits for its response; its body may still be read
    kWriting,    // the response is being written
    kLingering,  // the last response was written; the client has not closed its side yet
    kClosed,
  };

  // Short enough for the next process to be ready within 10 s after SIGTERM if a host or a client hangs.
  static constexpr Millis kStallTimeMs = 5000;

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
  void OnRequestComplete();
  std::optional<RequestError> ValidateRequest(const RequestHead& head);
  void RefuseForDrain();
  void RefuseForMemory();
  Millis TimeInKernelQueues();

  void WatchForDisconnect();
  bool HasDisconnected();
  void OnDisconnect();

  void CheckReadingTimeouts(Millis now);
  Millis DrainCloseTime() const;
  void CheckDrain(Millis now);
  void CheckServingTimeouts(Millis now);
  void RejectSlowRequest();
  void CancelIncompleteRequest();

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
  Millis request_started_at_ =
      phase_entered_at_;                  // at or before the arrival of the first byte of the request
  bool reading_request_ = false;          // in kReading: a part of a request has arrived
  bool disconnect_wait_pending_ = false;  // a wait for readability detects a disconnect in kServing

  bool keep_alive_ = true;  // the connection may stay open after the current response
  bool shed_ = false;
  unsigned http_version_ = 11;
  // Number of the last dispatched request; 0 if there was none. Starts at 1 on a transferred connection.
  std::uint64_t request_number_ = 0;
  Millis accept_wait_ms_ = 0;  // upper bound on the time in the accept queue

  bool is_readiness_check_ = false;
  RequestAttributes attributes_;  // attributes of the request that is being read
  std::string request_id_;        // ID of the last dispatched request
  std::string class_name_;        // traffic class of the last dispatched request
  Millis time_allowed_ = 0;       // how long the client waits for the response to that request
  bool request_open_ = false;     // a request was dispatched and has not ended
  bool counted_active_ = false;   // the request is counted in the context's active_requests
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_CONNECTION_HPP_
