// The JSON forms of the registry's HTTP interface: the published list (PROTOCOL, "Discovery"), the calls of
// members and operators, and their results. All words of that interface are translated here; their form on
// the wire is fixed.
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

// The code on the wire. Empty for kNone and kOther.
const char* ErrorCodeName(ErrorCode code);
// The code as the service sent it, also where this program does not know it.
std::string ErrorCodeName(const Error& error);
// The last part of the call's path, such as "register". Empty for actions of the service itself.
const char* CallName(Action action);

// One member in the published form, with the fields that this service adds. Gateways ignore fields that they
// do not know.
std::string EncodeMember(const Member& member);
// The published list. `complete`: `members` is the whole list, else a delta or a part of the history.
std::string EncodeList(const Catalog& catalog, bool complete, const std::vector<const Member*>& members);

using ParsedCall = std::variant<Command, RenewalRequest, Error>;
// `call` is the last part of the path: register, renew, drain, undrain, remove or size.
ParsedCall ParseCall(std::string_view call, const std::string& body);
// The bodies that ParseCall() reads.
std::string EncodeCall(const Command& command);
std::string EncodeCall(const RenewalRequest& renewal);

std::string EncodeResult(const CommandResult& result);
std::string EncodeError(const Error& error);
// The result that a service sent. The code is kUnreadable where the response has another form.
CommandResult ParseResult(unsigned status, const std::string& body);

// A published list that is read back to restore a service that lost its state.
struct PublishedList {
  Revision revision = 0;
  std::vector<Member> members;
};
// Returns nothing, and the reason in `error`, if the text is no complete list.
std::optional<PublishedList> ParseList(const std::string& text, std::string& error);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_REGISTRY_JSON_HPP_
