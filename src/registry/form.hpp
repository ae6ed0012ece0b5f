// What is said on the sockets: the published list (PROTOCOL, "Discovery"), and this service's own calls, as
// JSON.
#ifndef GATEWAY_REGISTRY_FORM_HPP_
#define GATEWAY_REGISTRY_FORM_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "registry/catalog.hpp"

namespace gateway::registry {

// One member, in the published form and with what this service adds: gateways pass over what they don't know.
std::string ToText(const Member& member);
// The published answer. `members` holds their texts.
std::string ListText(const Catalog& catalog, bool complete, const std::vector<const Member*>& members);

struct Renewal {
  std::string id;
  Incarnation incarnation = 0;
};
using Call = std::variant<Command, Renewal, Outcome>;  // an Outcome: what is wrong with it
// `name`: register, renew, drain, undrain, remove or size. `operators`: said by people, not by a member's
// process.
Call ParseCall(std::string_view name, const std::string& body);

unsigned StatusOf(const Outcome& outcome);
std::string ToText(const Outcome& outcome);

// The same from the caller's end: what ParseCall reads, as a whole request or as its body alone.
const char* NameOf(Action action);  // of the calls that ParseCall knows
std::string ToBody(const Command& command);
std::string ToRequest(const Command& command);
std::string ToRequest(const Renewal& renewal);
// What a service answered; the code is "unreadable" where it is no answer of this form.
Outcome ParseOutcome(unsigned status, const std::string& body);

// "?after=41&wait_ms=500": nothing if a figure is none. What it does not name is absent.
struct WatchQuery {
  std::optional<Revision> after;
  base::Millis wait = 0;  // 60,000 at most
  std::string epoch;      // of `after`; empty: not said
};
std::optional<WatchQuery> ParseWatch(std::string_view target);

// Members of a list in the published form; nothing, and why, if it is none. For restoring a lost service.
struct PublishedList {
  Revision revision = 0;
  std::vector<Member> members;
};
std::optional<PublishedList> ParseList(const std::string& text, std::string& why);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_FORM_HPP_
