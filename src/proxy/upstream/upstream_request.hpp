// One attempt of a request, as the gateway passes it to the upstream pool.
#ifndef GATEWAY_PROXY_UPSTREAM_UPSTREAM_REQUEST_HPP_
#define GATEWAY_PROXY_UPSTREAM_UPSTREAM_REQUEST_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/policy.hpp"
#include "proxy/body_source.hpp"
#include "proxy/clock.hpp"
#include "proxy/forwarded_request.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// Identifies an attempt within its pool. Never reused.
using AttemptId = std::uint64_t;

// The request to send, and the callbacks that report the progress of the attempt. The callbacks run on the
// event loop's thread and may call functions of the pool. `on_end` is required. `on_response_streaming` is
// required unless all responses are short enough to be buffered. The other callbacks may be empty.
struct UpstreamRequest {
  // The ID and the traffic class, for the log.
  std::string request_id = {};
  std::string class_name = {};
  // The head, and the buffered part of the body. Shared among the attempts of one request.
  std::shared_ptr<const ForwardedRequest> request;
  // The part of the body that follows the buffered part; null if the buffered body is complete.
  std::shared_ptr<BodySource> remaining_body;
  // If the response has not arrived by this time on the clock of Now(), the attempt ends with kTimedOut.
  Millis deadline = 0;
  // If there is a remaining body: the time that Req-Deadline reports to the endpoint instead of `deadline`.
  // By this time the client needs its response if it has sent the complete request already.
  Millis reported_deadline = 0;
  // Called when a new connection was established. Returns whether the request should still be sent. If not,
  // the attempt ends with kNotSent. The callback may cancel the attempt, and must then return false.
  std::function<bool()> may_send;
  // Called when the buffered part of the request has been sent, before `remaining_body` is sent. The pool has
  // released its pointer to `request`.
  std::function<void()> on_buffered_part_sent;
  // Called when the last byte of the request was handed to the kernel.
  std::function<void()> on_request_sent;
  // Called when a response with status 200 has begun and its body is streamed instead of buffered. `response`
  // holds the head and the part of the body that has arrived; `remaining_body` delivers the rest. `on_end` is
  // called later.
  std::function<void(HttpResponse response, std::shared_ptr<BodySource> remaining_body)>
      on_response_streaming;
  // Called exactly once when the attempt has ended, possibly before UpstreamPool::Start returns. `response`
  // is the endpoint's response if the response was buffered completely, otherwise empty.
  std::function<void(policy::AttemptResult result, HttpResponse response)> on_end;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_UPSTREAM_UPSTREAM_REQUEST_HPP_
