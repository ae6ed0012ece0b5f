// Tests of the JSON encoding in the registry's HTTP API.
#include "registry/registry_json.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "command_generator.hpp"
#include "registry/http_response.hpp"

namespace gateway::registry {
namespace {

// The service must decode exactly the command that a client encoded.
RC_GTEST_PROP(RegistryJson, DecodesEncodedCommands, ()) {
  const Command command = *AnyCommand();
  RC_PRE(command.action <= Action::kSetSize);
  const ParsedCall call = ParseCall(CallName(command.action), EncodeCall(command));
  RC_ASSERT(std::holds_alternative<Command>(call));
  RC_ASSERT(std::get<Command>(call) == command);
}

// Clients depend on the name and the HTTP status of each error code.
TEST(RegistryJson, EncodesAndDecodesEachErrorCode) {
  struct ErrorCase {
    ErrorCode code;
    const char* name;
    unsigned status;
  };
  for (const ErrorCase& error_case :
       std::initializer_list<ErrorCase>{{ErrorCode::kBadRequest, "bad_request", 400},
                                        {ErrorCode::kUnknownMember, "unknown_member", 404},
                                        {ErrorCode::kUnknownCall, "unknown_call", 404},
                                        {ErrorCode::kStaleIncarnation, "stale_incarnation", 409},
                                        {ErrorCode::kAddressConflict, "address_conflict", 409},
                                        {ErrorCode::kRemoved, "removed", 409},
                                        {ErrorCode::kChangedSince, "changed_since", 409},
                                        {ErrorCode::kKeyReused, "key_reused", 409},
                                        {ErrorCode::kOverloaded, "overloaded", 503},
                                        {ErrorCode::kStorageFailed, "storage_failed", 503}}) {
    const std::string body = EncodeError({error_case.code, "id", "text"});
    EXPECT_EQ(nlohmann::json::parse(body)["error"]["code"], error_case.name);
    EXPECT_EQ(HttpStatus(error_case.code), error_case.status) << error_case.name;
    EXPECT_EQ(ParseResult(error_case.status, body).code(), error_case.code) << error_case.name;
  }
}

// A newer service may send an error code that this program does not know. The code must be preserved as
// received. A response without a result must be reported as unreadable.
TEST(RegistryJson, PreservesUnknownCodesAndReportsUnreadableResponses) {
  const CommandResult unknown_code = ParseResult(409, R"({"error":{"code":"frozen","message":"text"}})");
  EXPECT_EQ(unknown_code.code(), ErrorCode::kOther);
  EXPECT_EQ(ErrorCodeName(*unknown_code.error), "frozen");
  EXPECT_EQ(unknown_code.error->message, "text");
  EXPECT_EQ(ParseResult(200, "{}").code(), ErrorCode::kUnreadable);
  EXPECT_EQ(ParseResult(502, "<html>").code(), ErrorCode::kUnreadable);
}

}  // namespace
}  // namespace gateway::registry
