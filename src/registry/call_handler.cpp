#include "registry/call_handler.hpp"

#include <utility>
#include <variant>

#include "registry/registry_json.hpp"

namespace gateway::registry {

void CallHandler::Handle(const std::shared_ptr<Session>& session, std::string_view call,
                         const std::string& body) {
  ParsedCall parsed = ParseCall(call, body);
  if (const auto* error = std::get_if<Error>(&parsed)) return session->Respond(ErrorResponse(*error));
  if (const auto* renewal = std::get_if<RenewalRequest>(&parsed)) {
    return session->Respond(ResultResponse(Renew(*renewal)));
  }
  HandleCommand(session, std::get<Command>(std::move(parsed)));
}

void CallHandler::HandleCommand(const std::shared_ptr<Session>& session, Command command) {
  const bool by_member = command.action == Action::kRegister && !command.by_operator;
  if (by_member && command.member.lease_duration <= 0) {
    command.member.lease_duration = default_lease_duration_;
  }
  catalog_.Propose(std::move(command),
                   [session](const CommandResult& result) { session->Respond(ResultResponse(result)); });
}

CommandResult CallHandler::Renew(const RenewalRequest& renewal) {
  ++renewals_;
  switch (leases_.Renew(renewal)) {
    case RenewalResult::kRenewed:
    case RenewalResult::kRecovered: return CommandResult::Unchanged(catalog_.catalog().revision());
    case RenewalResult::kStaleIncarnation:
      return CommandResult::Failed({ErrorCode::kStaleIncarnation, "incarnation",
                                    "the lease belongs to another process of this member"});
    case RenewalResult::kUnknownMember:
    case RenewalResult::kExpiring: break;
  }
  return CommandResult::Failed(
      {ErrorCode::kUnknownMember, "id", "member '" + renewal.id + "' has no lease and must register"});
}

}  // namespace gateway::registry
