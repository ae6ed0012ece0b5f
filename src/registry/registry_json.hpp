// Encodes and decodes the JSON of the registry's HTTP API: the published list (see "Discovery" in PROTOCOL),
// the calls of members and operators, and the results of calls. The field names on the wire are fixed. Some
// of them differ from the names in the code.
#ifndef GATEWAY_REGISTRY_REGISTRY_JSON_HPP_
#define GATEWAY_REGISTRY_REGISTRY_JSON_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "registry/catalog.hpp"
#include "registry/command.hpp"

namespace gateway::registry {

// Returns the name of the code on the wire, or an empty string for kNone and kOther.
const char* ErrorCodeName(ErrorCode code);
// Returns the name of the error's code as the service sent it, even if this program does not know the code.
std::string ErrorCodeName(const Error& error);
// Returns the last segment of the call's path, such as "register". Returns an empty string for actions that
// only the service itself proposes.
const char* CallName(Action action);

// Encodes a member as an entry of the published list. Adds fields that only this service defines; gateways
// ignore unknown fields.
std::string EncodeMember(const Member& member);
// Encodes the published list. `complete` states that `members` is the full list, not a delta or part of the
// history.
std::string EncodeList(const Catalog& catalog, bool complete, const std::vector<const Member*>& members);

using ParsedCall = std::variant<Command, RenewalRequest, Error>;
// Decodes a call. `call` is the last segment of its path: register, renew, drain, undrain, remove or size.
ParsedCall ParseCall(std::string_view call, const std::string& body);
// Encode the bodies that ParseCall() decodes.
std::string EncodeCall(const Command& command);
std::string EncodeCall(const RenewalRequest& renewal);

std::string EncodeResult(const CommandResult& result);
std::string EncodeError(const Error& error);
// Decodes the result that a service sent. The code is kUnreadable if the response cannot be decoded.
CommandResult ParseResult(unsigned status, const std::string& body);

// A published list. Operators use it to restore the members after a service has lost its state.
struct PublishedList {
  Revision revision = 0;
  std::vector<Member> members;
};
// Returns std::nullopt, and sets `error`, if the text is not a complete list.
std::optional<PublishedList> ParseList(const std::string& text, std::string& error);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_REGISTRY_JSON_HPP_
