// A connection to an endpoint.
#ifndef GATEWAY_PROXY_UPSTREAM_UPSTREAM_CONNECTION_HPP_
#define GATEWAY_PROXY_UPSTREAM_UPSTREAM_CONNECTION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/body_source.hpp"
#include "proxy/buffer_budget.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"
#include "proxy/upstream/request_writer.hpp"
#include "proxy/upstream/response_reader.hpp"
#include "proxy/upstream/upstream_error_log.hpp"
#include "proxy/upstream/upstream_request.hpp"

namespace gateway::proxy {

class UpstreamConnection;

// Implemented by the pool.
class UpstreamConnectionOwner {
 public:
  virtual ~UpstreamConnectionOwner() = default;
  // Returns whether requests may be sent to this endpoint at this address.
  virtual bool MayUse(const std::string& endpoint, const boost::asio::ip::tcp::endpoint& address) const = 0;
  // Called when the connection begins to serve the attempt.
  virtual void OnAttemptStarted(AttemptId attempt, const std::shared_ptr<UpstreamConnection>& connection) = 0;
  // Called when a connection no longer serves the attempt.
  virtual void OnAttemptEnded(AttemptId attempt) = 0;
  // Called when the connection has become idle and can serve another attempt. Called only if MayUse returns
  // true for its endpoint.
  virtual void OnIdle(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  // Called before an idle connection closes.
  virtual void OnIdleClosed(const UpstreamConnection& connection) = 0;
};

// Counters since the start of the process.
struct UpstreamCounts {
  std::uint64_t connects = 0;       // connections that the pool began to establish
  std::uint64_t reuses = 0;         // attempts that were sent on an idle connection
  std::uint64_t stale = 0;          // idle connections that were found unusable when they were to be reused
  std::uint64_t resets_new = 0;     // connections that broke after their first request was sent
  std::uint64_t resets_reused = 0;  // connections that broke after a later request was sent
  std::uint64_t not_started = 0;    // attempts that had no usable endpoint, no time left, or no connection
};

// State that all connections of a pool share. Must outlive the last event of each connection.
struct UpstreamConnectionContext {
  boost::asio::io_context& io;
  UpstreamConnectionOwner& owner;
  const Millis connect_timeout_ms;
  const Millis idle_timeout_ms;  // idle time after which a connection is closed
  const std::shared_ptr<BufferBudget> buffer_budget;
  std::size_t open_connections = 0;
  UpstreamCounts counts = {};
  UpstreamErrorLog error_log = {};
};

// Serves attempts to one endpoint, one after the other. A read is pending while the connection is idle, which
// detects a close by the endpoint. If the body of a response is streamed, the connection is the BodySource of
// that body.
//
// The owner holds a shared pointer to the connection while the connection serves an attempt or is idle.
// Pending operations and streamed bodies also hold shared pointers. Runs on the event loop's thread.
class UpstreamConnection final : public BodySource,
                                 public std::enable_shared_from_this<UpstreamConnection>,
                                 private RequestWriter::Delegate,
                                 private ResponseReader::Delegate {
 public:
  UpstreamConnection(UpstreamConnectionContext& context, std::string endpoint,
                     const boost::asio::ip::tcp::endpoint& address);

  const std::string& endpoint() const { return endpoint_; }

  // Creates the socket. Returns false if no file descriptor is available. After Open has returned true, the
  // caller must call Connect.
  bool Open();
  // Connects to the endpoint, and then sends the request.
  void Connect(AttemptId id, UpstreamRequest request);
  // Sends the request on an idle connection.
  void Send(AttemptId id, UpstreamRequest request);
  // Changes the deadline of the current attempt.
  void SetDeadline(Millis deadline);
  // Closes the connection, and ends the current attempt because its time is over.
  void TimeOut();
  // Closes the connection. If there is a current attempt, ends it with `result`.
  void EndAttempt(policy::AttemptResult result);
  // Closes the connection. Ends the current attempt with kCancelled, or with kNotSent if the endpoint can't
  // have received the complete request.
  void CancelAttempt();
  // Closes the connection. Must not be called while the connection serves an attempt. Has no effect on a
  // closed connection.
  void Close();

  // Checks the socket of an idle connection. Returns whether the connection is open and has no unread data.
  bool IsUsable();
  bool connecting() const { return connecting_; }

  // BodySource: the rest of the current response's body.
  void ReadNext(PieceHandler handler) override;
  void Cancel() override;
  bool started() const override { return reader_.streaming(); }

 private:
  struct Attempt {
    AttemptId id;
    UpstreamRequest request;
  };

  // RequestWriter::Delegate, ResponseReader::Delegate
  std::shared_ptr<void> KeepAlive() override { return shared_from_this(); }
  void OnWaitForEndpoint() override;
  void OnWaitForBody() override;
  void OnBufferedPartSent() override;
  void OnRequestSent(boost::system::error_code error) override;
  void OnBodyFailed() override;
  void OnResponseHead(boost::system::error_code error) override;
  void OnResponseBuffered() override;
  void OnBufferLimitReached() override;
  void OnPieceStreamed() override;
  void OnResponseStreamed() override;
  void OnResponseBroken(boost::system::error_code error) override;

  void LogAbandonedResponse(policy::AttemptResult result);
  void StartAttempt(AttemptId id, UpstreamRequest request);
  void ReportAttemptEnd(policy::AttemptResult result, HttpResponse response);
  void OnConnected(boost::system::error_code error);
  void SendRequest();
  void OnEarlyResponse(boost::system::error_code error);
  void StartStreaming();
  void CloseIdle();
  void ReuseOrClose();
  void BecomeIdle();
  void SetTimer(Millis due);
  void OnTimer();

  UpstreamConnectionContext& context_;
  const std::string endpoint_;
  const boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Millis timer_due_ = 0;
  RequestWriter writer_;
  ResponseReader reader_;

  std::optional<Attempt> attempt_;
  bool open_ = false;
  bool connecting_ = false;
  bool request_sent_ = false;        // the last byte of the request was sent
  bool broken_before_sent_ = false;  // the endpoint responded or closed while the last part was being sent
  int attempt_count_ = 0;            // number of attempts on this connection, including the current one
  Millis attempt_started_at_ = 0;
  Millis idle_since_ = 0;  // start of the last idle period
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_UPSTREAM_CONNECTION_HPP_
