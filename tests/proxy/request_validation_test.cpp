// Tests of the rules by which the gateway accepts or rejects the head of a client's request.
#include "proxy/client/request_validation.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

namespace gateway::proxy::testing {
namespace {

namespace http = boost::beast::http;

policy::TrafficClassSettings MakeClass(const std::string& name, policy::Idempotency idempotency) {
  policy::TrafficClassSettings settings;
  settings.name = name;
  settings.idempotency = idempotency;
  return settings;
}

RequestValidator MakeValidator() {
  policy::Settings settings;
  settings.classes = {MakeClass("view", policy::Idempotency::kIdempotent),
                      MakeClass("pay", policy::Idempotency::kIdempotencyKey)};
  return RequestValidator(settings);
}

HttpRequest MakeHead(http::verb method, const std::string& class_name) {
  HttpRequest head(method, "/api/x?y", 11);
  head.set("Req-Id", "r1");
  head.set("Req-Kind", class_name);
  head.set("Req-Deadline", "480m");
  return head;
}

// Returns the status of `error`, or ok if there is no error.
http::status StatusOf(const std::optional<RequestError>& error) {
  return error ? error->status : http::status::ok;
}

http::status Validate(const HttpRequest& head) {
  RequestAttributes ignored;
  return StatusOf(MakeValidator().Validate(head, ignored));
}

TEST(RequestValidation, ReadsTheAttributesOfAValidRequest) {
  HttpRequest head = MakeHead(http::verb::get, "view");
  head.set("Req-Owner", "acme");
  head.set("Req-Key", "k");
  RequestAttributes attributes;
  ASSERT_FALSE(MakeValidator().Validate(head, attributes));
  EXPECT_EQ(attributes.id, "r1");
  EXPECT_EQ(attributes.class_name, "view");
  EXPECT_EQ(attributes.tenant, "acme");
  EXPECT_EQ(attributes.affinity_key, "k");
  EXPECT_EQ(attributes.time_allowed, 480);
}

TEST(RequestValidation, ReportsTheFirstViolatedRuleOfAnInvalidRequest) {
  HttpRequest head = MakeHead(http::verb::get, "pay");
  EXPECT_EQ(Validate(head), http::status::method_not_allowed);
  head.method(http::verb::post);
  EXPECT_EQ(Validate(head), http::status::bad_request);
  head.set("Idempotency-Key", "k");
  EXPECT_EQ(Validate(head), http::status::ok);
  head.set("Req-Id", std::string(257, 'x'));
  EXPECT_EQ(Validate(head), http::status::bad_request);
  head.target("/apis");
  EXPECT_EQ(Validate(head), http::status::not_found);
}

TEST(RequestValidation, RejectsContradictoryOrUnsupportedFraming) {
  HttpRequest head = MakeHead(http::verb::post, "pay");
  EXPECT_EQ(StatusOf(ValidateFraming(head, {.content_length = kMaxBodyBytes})), http::status::ok);
  EXPECT_EQ(StatusOf(ValidateFraming(head, {.content_length = kMaxBodyBytes + 1})),
            http::status::payload_too_large);
  head.set(http::field::transfer_encoding, "chunked");
  EXPECT_EQ(StatusOf(ValidateFraming(head, {.chunked = true})), http::status::ok);
  head.set(http::field::content_length, "5");
  EXPECT_EQ(StatusOf(ValidateFraming(head, {.chunked = true})), http::status::bad_request);
  head.erase(http::field::content_length);
  head.set(http::field::transfer_encoding, "gzip, chunked");
  EXPECT_EQ(StatusOf(ValidateFraming(head, {.chunked = true})), http::status::not_implemented);
}

TEST(RequestValidation, ParsesValidDeadlinesAndRejectsMalformedOnes) {
  EXPECT_EQ(ParseDeadline("480m"), 480);
  EXPECT_EQ(ParseDeadline("480000u"), 480);
  EXPECT_EQ(ParseDeadline("99999999m"), 600000);
  for (const char* const text : {"", "m", "480", "480s", "-1m", "infm", "1e3m", "4 m"}) {
    EXPECT_EQ(ParseDeadline(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace gateway::proxy::testing
