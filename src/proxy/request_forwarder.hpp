// Forwards clients' requests to endpoints as the policy decides, and responds to each request exactly once.
//
// Reports the events of requests and attempts to the policy, and executes the policy's actions for them. Runs
// on the event loop's thread only.
#ifndef GATEWAY_PROXY_REQUEST_FORWARDER_HPP_
#define GATEWAY_PROXY_REQUEST_FORWARDER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/policy.hpp"
#include "gateway/repeat_detection.hpp"
#include "proxy/admin/metrics.hpp"
#include "proxy/body_source.hpp"
#include "proxy/client/client_server.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"
#include "proxy/policy_driver.hpp"
#include "proxy/upstream/upstream_pool.hpp"

namespace gateway::proxy {

// The functions through which the processes of a hot restart share the IDs of requests. All are required.
struct ClaimSharing {
  std::function<void()> receive;  // makes the latest claims of the other process known
  std::function<void(const policy::RequestDigest& id)> claim;
  std::function<void(const policy::RequestDigest& id)> release;
};

class RequestForwarder final : public RequestActions {
 public:
  // Keeps references to all arguments, which must outlive the forwarder.
  RequestForwarder(boost::asio::io_context& io, const policy::Settings& settings, PolicyDriver& driver,
                   UpstreamPool& upstream, Metrics& metrics, std::size_t max_remembered_ids,
                   std::shared_ptr<BufferBudget> budget, ClaimSharing sharing);

  // Begins to handle a request. Responds with 409 if an active request has the same ID, or if the request is
  // not idempotent and an endpoint may have executed a request with the same ID.
  void OnRequest(ClientRequest request);
  // Handles the end of a request body. `completed_at` is the earliest time at which the client can have sent
  // the last byte. Called only for a request that was passed to OnRequest before the body was complete.
  void OnRequestComplete(const std::string& id, Millis completed_at);
  // Handles the disconnect of the client of a request.
  void OnClientDisconnected(const std::string& id);

  // Responds to all requests that have no response yet: with 504, or with 503 if the request is incomplete.
  void TimeOutAll();

  // The number of requests whose client disconnected before the response, since the start of the process.
  std::uint64_t disconnected() const { return disconnected_; }
  // The number of requests that were refused because of their ID, since the start of the process.
  std::uint64_t repeats() const { return repeats_; }
  // The number of incomplete requests that were refused because others use their share of the connections to
  // endpoints, since the start of the process.
  std::uint64_t incomplete_refusals() const { return incomplete_refusals_; }

  // The IDs that another process of this gateway must refuse.
  std::vector<policy::RequestDigest> ClaimedIds() const;
  // Refuses, or accepts again, the IDs that another process has claimed or released.
  void AddRemoteClaims(const std::vector<policy::RequestDigest>& ids);
  void RemoveRemoteClaims(const std::vector<policy::RequestDigest>& ids);

  void Execute(const policy::Send& send) override;
  void Execute(const policy::Reject& reject) override;
  void Execute(const policy::Fail& fail) override;
  void Execute(const policy::Cancel& cancel) override;
  bool IsFinished(const std::string& request) const override;
  void OnEventHandled(const std::string& request) override;

 private:
  struct Attempt {
    std::string endpoint;
    Millis sent_at = 0;  // time of sending, or the later time at which the request was complete
    Millis timeout = 0;  // counted from sent_at
    AttemptId id = 0;    // ID of the attempt in the upstream pool
    bool in_flight = true;
    bool may_have_executed = true;
  };
  // A request. It is kept until it has a response and all of its attempts have ended.
  struct ActiveRequest {
    explicit ActiveRequest(boost::asio::io_context& io) : timeout_timer(io) {}
    std::shared_ptr<const ForwardedRequest> message;
    std::shared_ptr<BodySource> remaining_body;  // null if the request arrived complete
    bool complete = true;
    std::string class_name;
    // Set if the request must not be repeated.
    std::optional<policy::RequestDigest> claimed_id;
    Millis received_at = 0;
    Millis time_allowed = 0;       // how long the client waits, counted from when it has sent the last byte
    bool handling_arrival = true;  // the policy has not handled the arrival event yet
    ClientResponder responder;
    Millis respond_by = 0;  // time by which the policy must respond
    bool responded = false;
    std::vector<Attempt> attempts;
    boost::asio::steady_timer timeout_timer;
  };

  bool IsRepeat(const std::string& id, const std::optional<policy::RequestDigest>& claimed_id);
  void Remember(const policy::RequestDigest& id);
  void UpdateExecutedCharge();
  void EndClaim(const ActiveRequest& active);
  ActiveRequest* FindRequest(const std::string& id);
  ActiveRequest& AddRequest(ClientRequest& request, const std::optional<policy::RequestDigest>& claimed_id);
  void SetDeadline(const std::string& id, ActiveRequest& active, Millis client_timeout_at);
  void OnDeadline(const std::string& id);
  void TimeOut(const std::string& id);
  void EndIncompleteAttempts(const std::string& id);
  static std::vector<AttemptId> InFlight(const ActiveRequest& active);
  HttpResponse MakeTimeoutResponse(const ActiveRequest& active) const;
  HttpResponse MakeRefusal() const;
  bool HasRoomForIncomplete() const;
  // Returns whether the client still waits for the response. Checks the client's socket, and handles a
  // disconnect that was not reported yet.
  bool IsAwaited(const std::string& id);
  void ReportNotSent(const policy::Send& send, ActiveRequest* active);
  UpstreamRequest MakeUpstreamRequest(const policy::Send& send, const ActiveRequest& active,
                                      std::size_t index, Millis now, Millis timeout);
  void OnAttemptEnded(const std::string& id, std::size_t index, policy::AttemptResult result,
                      HttpResponse response);
  void OnResponseStarted(const std::string& id, std::size_t attempt, HttpResponse response,
                         std::shared_ptr<BodySource> remaining_body);
  void Respond(ActiveRequest& active, HttpResponse response,
               std::shared_ptr<BodySource> remaining_body = nullptr);
  // Records the time from the arrival of the request to the policy's first decision. `sent` is true if the
  // policy decided to send the request.
  void RecordFirstDecision(const ActiveRequest& active, Millis now, bool sent);
  void EraseIfEnded(const std::string& id);

  boost::asio::io_context& io_;
  const policy::Settings& settings_;
  PolicyDriver& driver_;
  UpstreamPool& upstream_;
  Metrics& metrics_;
  std::unordered_map<std::string, ActiveRequest> requests_;
  policy::RepeatDetection executed_;
  BufferCharge executed_charge_;
  const ClaimSharing sharing_;
  std::uint64_t disconnected_ = 0;
  std::uint64_t repeats_ = 0;
  std::size_t incomplete_requests_ = 0;  // active requests whose body is incomplete
  std::uint64_t incomplete_refusals_ = 0;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_REQUEST_FORWARDER_HPP_
