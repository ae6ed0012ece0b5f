#include "registry/registry_json.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/socket_address.hpp"
#include "registry/json_fields.hpp"

namespace gateway::registry {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr double kMinLeaseDurationMs = 500;
constexpr double kMaxLeaseDurationMs = 3600000;
constexpr NumberRange kSizeRange{1e-6, 1e6};

struct CodeName {
  ErrorCode code;
  const char* name;
};
constexpr std::array<CodeName, 11> kCodeNames{{{ErrorCode::kBadRequest, "bad_request"},
                                               {ErrorCode::kUnknownMember, "unknown_member"},
                                               {ErrorCode::kUnknownCall, "unknown_call"},
                                               {ErrorCode::kStaleIncarnation, "stale_incarnation"},
                                               {ErrorCode::kAddressConflict, "address_conflict"},
                                               {ErrorCode::kRemoved, "removed"},
                                               {ErrorCode::kChangedSince, "changed_since"},
                                               {ErrorCode::kKeyReused, "key_reused"},
                                               {ErrorCode::kOverloaded, "overloaded"},
                                               {ErrorCode::kStorageFailed, "storage_failed"},
                                               {ErrorCode::kUnreadable, "unreadable"}}};

// The name of a field in the published list, and the name of this field in calls to the service.
struct FieldName {
  const char* published;
  const char* call;
};
constexpr std::array<FieldName, 4> kFieldNames{
    {{"host_port", "address"}, {"locality", "zone"}, {"flavor", "kind"}, {"up_since_ms", "incarnation"}}};

const char* PhaseName(MemberPhase phase) {
  switch (phase) {
    case MemberPhase::kUp: return "up";
    case MemberPhase::kDraining: return "draining";
    case MemberPhase::kRemoved: return "removed";
  }
  return "";
}

Action ActionOf(std::string_view call) {
  for (const Action action :
       {Action::kRegister, Action::kDrain, Action::kUndrain, Action::kRemove, Action::kSetSize}) {
    if (call == CallName(action)) return action;
  }
  throw FieldError("", "unknown call; expected register, renew, drain, undrain, remove or size");
}

// Serializes the value and replaces invalid UTF-8.
std::string Dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

json ParseWithoutThrowing(const std::string& text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

std::string ReadAddress(const json& body) {
  std::string address = ReadRequiredText(body, "address");
  const auto endpoint = base::ParseSocketAddress(address);
  if (!endpoint || !endpoint->address().is_v4() || endpoint->port() == 0) {
    throw FieldError("address", "must be an IPv4 address and port, such as 10.1.0.18:3000");
  }
  return address;
}

std::string ReadCell(const json& body) {
  if (!body.contains("cell") || body["cell"].is_null()) return "";
  if (!body["cell"].is_primitive()) throw FieldError("cell", "must be a number or a string");
  std::string cell = body["cell"].dump();
  if (cell.size() > kMaxTextBytes) throw FieldError("cell", "is longer than 256 bytes");
  return cell;
}

base::Millis ReadLeaseDuration(const json& body) {
  const double duration = ReadNumber(body, "term_ms", 0, {0, kMaxLeaseDurationMs});
  if (duration > 0 && duration < kMinLeaseDurationMs) {
    throw FieldError("term_ms", "must be 0 or at least 500");
  }
  return duration;
}

Member ReadMemberFields(const json& body) {
  Member member;
  member.id = ReadRequiredText(body, "id");
  member.address = ReadAddress(body);
  member.zone = ReadText(body, "zone");
  member.machine_type = ReadText(body, "kind");
  member.version = ReadText(body, "version");
  member.cell = ReadCell(body);
  member.size = ReadNumber(body, "size", 1, kSizeRange);
  member.lease_duration = ReadLeaseDuration(body);
  member.incarnation = ReadInteger(body, "incarnation").value_or(0);
  return member;
}

bool ReadByOperator(const json& body) {
  const std::string by = ReadText(body, "by");
  if (!by.empty() && by != "member" && by != "operator") {
    throw FieldError("by", "must be member or operator");
  }
  return by == "operator";
}

Command ReadCommand(std::string_view call, const json& body) {
  Command command;
  command.action = ActionOf(call);
  command.idempotency_key = ReadText(body, "key");
  command.by_operator = ReadByOperator(body);
  command.if_revision = ReadInteger(body, "if_revision");
  command.if_incarnation = ReadInteger(body, "if_incarnation");
  if (command.action == Action::kRegister) {
    command.member = ReadMemberFields(body);
    return command;
  }
  command.member.id = ReadRequiredText(body, "id");
  if (command.action == Action::kSetSize) {
    if (!body.contains("size")) throw FieldError("size", "is missing");
    command.member.size = ReadNumber(body, "size", 1, kSizeRange);
  }
  return command;
}

RenewalRequest ReadRenewal(const json& body) {
  return {ReadRequiredText(body, "id"), ReadInteger(body, "incarnation").value_or(0)};
}

Member ReadPublishedMember(json entry) {
  for (const FieldName& name : kFieldNames) {
    if (entry.contains(name.published)) entry[name.call] = entry[name.published];
  }
  Member member = ReadMemberFields(entry);
  member.draining = entry.value("phase", "up") == PhaseName(MemberPhase::kDraining);
  return member;
}

Error ReadError(const json& error) {
  const auto name = error.at("code").get<std::string>();
  Error result(ErrorCode::kOther, error.value("field", ""), error.value("message", ""));
  for (const CodeName& known : kCodeNames) {
    if (name == known.name) result.code = known.code;
  }
  if (result.code == ErrorCode::kOther) result.other_code = name;
  return result;
}

}  // namespace

const char* ErrorCodeName(ErrorCode code) {
  for (const CodeName& known : kCodeNames) {
    if (code == known.code) return known.name;
  }
  return "";
}

std::string ErrorCodeName(const Error& error) {
  return error.code == ErrorCode::kOther ? error.other_code : ErrorCodeName(error.code);
}

const char* CallName(Action action) {
  switch (action) {
    case Action::kRegister: return "register";
    case Action::kDrain: return "drain";
    case Action::kUndrain: return "undrain";
    case Action::kRemove: return "remove";
    case Action::kSetSize: return "size";
    default: return "";
  }
}

std::string EncodeMember(const Member& member) {
  json entry = {{"id", member.id},
                {"host_port", member.address},
                {"locality", member.zone},
                {"flavor", member.machine_type},
                {"phase", PhaseName(member.phase())},
                {"size", member.size},
                {"up_since_ms", member.incarnation},
                {"version", member.version},
                {"changed", member.revision},
                {"term_ms", member.lease_duration}};
  entry["cell"] = member.cell.empty() ? json() : ParseWithoutThrowing(member.cell);
  if (member.suspect) entry["suspect"] = true;
  if (member.drained_by_operator) entry["held_out"] = true;
  if (member.expired) entry["expired"] = true;
  return Dump(entry);
}

std::string EncodeList(const Catalog& catalog, bool complete, const std::vector<const Member*>& members) {
  std::string text = "{\"revision\":" + std::to_string(catalog.revision());
  text += ",\"complete\":";
  text += complete ? "true" : "false";
  text += ",\"epoch\":\"" + catalog.epoch();
  text += "\",\"confirmed\":" + std::to_string(catalog.last_operator_removal());
  text += ",\"members\":[";
  const char* separator = "";
  for (const Member* member : members) {
    text += separator + EncodeMember(*member);
    separator = ",";
  }
  return text + "]}";
}

ParsedCall ParseCall(std::string_view call, const std::string& body) {
  const json parsed = ParseWithoutThrowing(body);
  if (!parsed.is_object()) return Error(ErrorCode::kBadRequest, "", "the body must be a JSON object");
  try {
    if (call == "renew") return ReadRenewal(parsed);
    return ReadCommand(call, parsed);
  } catch (const FieldError& error) {
    return Error(ErrorCode::kBadRequest, error.field(), error.FullMessage());
  }
}

std::string EncodeCall(const Command& command) {
  const Member& member = command.member;
  json body = {{"id", member.id}, {"by", command.by_operator ? "operator" : "member"}};
  if (command.action == Action::kRegister) {
    body.update({{"address", member.address},
                 {"zone", member.zone},
                 {"kind", member.machine_type},
                 {"version", member.version},
                 {"size", member.size},
                 {"term_ms", member.lease_duration},
                 {"incarnation", member.incarnation}});
    if (!member.cell.empty()) body["cell"] = ParseWithoutThrowing(member.cell);
  }
  if (command.action == Action::kSetSize) body["size"] = member.size;
  if (!command.idempotency_key.empty()) body["key"] = command.idempotency_key;
  if (command.if_revision) body["if_revision"] = *command.if_revision;
  if (command.if_incarnation) body["if_incarnation"] = *command.if_incarnation;
  return Dump(body);
}

std::string EncodeCall(const RenewalRequest& renewal) {
  return json{{"id", renewal.id}, {"incarnation", renewal.incarnation}}.dump();
}

std::string EncodeResult(const CommandResult& result) {
  if (result.error) return EncodeError(*result.error);
  return json{{"revision", result.revision}, {"changed", result.changed}}.dump();
}

std::string EncodeError(const Error& error) {
  json body = {{"code", ErrorCodeName(error)}, {"message", error.message}};
  if (!error.field.empty()) body["field"] = error.field;
  return Dump(json{{"error", std::move(body)}});
}

CommandResult ParseResult(unsigned status, const std::string& body) {
  const json parsed = ParseWithoutThrowing(body);
  const Error unreadable(ErrorCode::kUnreadable, "",
                         "unreadable response with status " + std::to_string(status));
  if (!parsed.is_object()) return CommandResult::Failed(unreadable);
  try {
    if (status != kOk) return CommandResult::Failed(ReadError(parsed.at("error")));
    return {std::nullopt, parsed.at("revision").get<Revision>(), parsed.value("changed", false)};
  } catch (const json::exception&) {
    return CommandResult::Failed(unreadable);
  }
}

std::optional<PublishedList> ParseList(const std::string& text, std::string& error) {
  const json parsed = ParseWithoutThrowing(text);
  const auto fail = [&error](std::string reason) {
    error = std::move(reason);
    return std::nullopt;
  };
  if (!parsed.is_object() || !parsed.contains("members") || !parsed["members"].is_array()) {
    return fail("'members' must be an array");
  }
  if (!parsed.value("complete", true)) return fail("the list is not complete: 'complete' is false");
  PublishedList list;
  try {
    list.revision = parsed.value("revision", Revision{0});
    for (const json& entry : parsed["members"]) {
      if (!entry.is_object()) return fail("each entry of 'members' must be an object");
      list.members.push_back(ReadPublishedMember(entry));
    }
  } catch (const FieldError& field_error) {
    return fail("'" + field_error.field() + "' " + field_error.what());
  } catch (const json::exception& json_error) {
    return fail(json_error.what());
  }
  return list;
}

}  // namespace gateway::registry
