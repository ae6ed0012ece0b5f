// The JSON forms of the registry's HTTP interface.
#include "registry/registry_json.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "command_generator.hpp"
#include "registry/http_response.hpp"

namespace gateway::registry {
namespace {

// The service reads the command that a client wrote.
RC_GTEST_PROP(RegistryJson, ReadsWhatItWrites, ()) {
  const Command command = *AnyCommand();
  RC_PRE(command.action <= Action::kSetSize);
  const ParsedCall call = ParseCall(CallName(command.action), EncodeCall(command));
  RC_ASSERT(std::holds_alternative<Command>(call));
  RC_ASSERT(std::get<Command>(call) == command);
}

// Guards the codes on the wire, and their statuses.
TEST(RegistryJson, NamesEachErrorCode) {
  struct Row {
    ErrorCode code;
    const char* name;
    unsigned status;
  };
  for (const Row& row : std::initializer_list<Row>{{ErrorCode::kBadRequest, "bad_request", 400},
                                                   {ErrorCode::kUnknownMember, "unknown_member", 404},
                                                   {ErrorCode::kUnknownCall, "unknown_call", 404},
                                                   {ErrorCode::kStaleIncarnation, "stale_incarnation", 409},
                                                   {ErrorCode::kAddressConflict, "address_conflict", 409},
                                                   {ErrorCode::kRemoved, "removed", 409},
                                                   {ErrorCode::kChangedSince, "changed_since", 409},
                                                   {ErrorCode::kKeyReused, "key_reused", 409},
                                                   {ErrorCode::kOverloaded, "overloaded", 503},
                                                   {ErrorCode::kStorageFailed, "storage_failed", 503}}) {
    const std::string body = EncodeError({row.code, "id", "text"});
    EXPECT_EQ(nlohmann::json::parse(body)["error"]["code"], row.name);
    EXPECT_EQ(HttpStatus(row.code), row.status) << row.name;
    EXPECT_EQ(ParseResult(row.status, body).code(), row.code) << row.name;
  }
}

// A code of a later service is passed on as it was received; what is no result at all is unreadable.
TEST(RegistryJson, ReadsResultsOfOtherServices) {
  const CommandResult later = ParseResult(409, R"({"error":{"code":"frozen","message":"text"}})");
  EXPECT_EQ(later.code(), ErrorCode::kOther);
  EXPECT_EQ(ErrorCodeName(*later.error), "frozen");
  EXPECT_EQ(later.error->message, "text");
  EXPECT_EQ(ParseResult(200, "{}").code(), ErrorCode::kUnreadable);
  EXPECT_EQ(ParseResult(502, "<html>").code(), ErrorCode::kUnreadable);
}

}  // namespace
}  // namespace gateway::registry
