// Tests of the mapping from an endpoint's response to the result of the attempt.
#include "proxy/upstream/response_classification.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http/status.hpp>

namespace gateway::proxy::testing {
namespace {

namespace http = boost::beast::http;
using policy::AttemptResult;

AttemptResult Classify(http::status status, const char* declined) {
  HttpResponse response(status, 11);
  if (declined != nullptr) response.set("Srv-Declined", declined);
  return ClassifyResponse(response);
}

// Only a response with status 503 or 504 and Srv-Declined: 1 proves that the endpoint did not execute the
// request. The gateway may retry a non-idempotent request after such a response, but not after any other
// response.
TEST(ResponseClassification, Only503And504WithSrvDeclinedAreRejections) {
  EXPECT_EQ(Classify(http::status::ok, nullptr), AttemptResult::kServed);
  EXPECT_EQ(Classify(http::status::ok, "1"), AttemptResult::kServed);
  EXPECT_EQ(Classify(http::status::service_unavailable, "1"), AttemptResult::kRejected);
  EXPECT_EQ(Classify(http::status::gateway_timeout, "1"), AttemptResult::kRejected);
  EXPECT_EQ(Classify(http::status::service_unavailable, nullptr), AttemptResult::kError);
  EXPECT_EQ(Classify(http::status::service_unavailable, "0"), AttemptResult::kError);
  EXPECT_EQ(Classify(http::status::internal_server_error, "1"), AttemptResult::kError);
}

}  // namespace
}  // namespace gateway::proxy::testing
