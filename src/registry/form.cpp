#include "registry/form.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/socket_address.hpp"

namespace gateway::registry {
namespace {

using nlohmann::json;

constexpr std::size_t kMostText = 256;  // of a name, an address, a key
constexpr double kLeastTerm = 500, kMostTerm = 3600000;
constexpr double kMostWait = 60000;

struct Wrong : std::runtime_error {
  Wrong(std::string field, const std::string& text) : std::runtime_error(text), field(std::move(field)) {}
  std::string field;
};

std::string TextOf(const json& body, const std::string& field, bool needed = false) {
  if (!body.contains(field) || body[field].is_null()) {
    if (needed) throw Wrong(field, "is missing");
    return "";
  }
  if (!body[field].is_string()) throw Wrong(field, "must be a text");
  std::string text = body[field];
  if (needed && text.empty()) throw Wrong(field, "must not be empty");
  if (text.size() > kMostText) throw Wrong(field, "is longer than 256 bytes");
  if (std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 127; })) {
    throw Wrong(field, "must hold no control characters");
  }
  return text;
}

double NumberOf(const json& body, const std::string& field, double otherwise, double least, double most) {
  if (!body.contains(field) || body[field].is_null()) return otherwise;
  if (!body[field].is_number()) throw Wrong(field, "must be a number");
  const double number = body[field];
  if (!(number >= least && number <= most)) {
    throw Wrong(field, "must be from " + json(least).dump() + " to " + json(most).dump());
  }
  return number;
}

std::optional<std::int64_t> WholeOf(const json& body, const std::string& field) {
  if (!body.contains(field) || body[field].is_null()) return std::nullopt;
  // Starts may come with fractions of a millisecond.
  return static_cast<std::int64_t>(NumberOf(body, field, 0, 0, 9e15));
}

void CheckAddress(const std::string& address) {
  const auto endpoint = base::ParseSocketAddress(address);
  if (!endpoint || !endpoint->address().is_v4() || endpoint->port() == 0) {
    throw Wrong("address", "must be an IPv4 address and port, such as 10.1.0.18:3000");
  }
}

Member ReadMember(const json& body) {
  Member m;
  m.id = TextOf(body, "id", /*needed=*/true);
  m.address = TextOf(body, "address", true);
  CheckAddress(m.address);
  m.zone = TextOf(body, "zone");
  m.kind = TextOf(body, "kind");
  m.version = TextOf(body, "version");
  if (body.contains("cell") && !body["cell"].is_null()) {
    if (!body["cell"].is_primitive()) throw Wrong("cell", "must be a number or a text");
    m.cell = body["cell"].dump();
    if (m.cell.size() > kMostText) throw Wrong("cell", "is longer than 256 bytes");
  }
  m.size = NumberOf(body, "size", 1, 1e-6, 1e6);
  m.term = NumberOf(body, "term_ms", 0, 0, kMostTerm);
  if (m.term > 0 && m.term < kLeastTerm) throw Wrong("term_ms", "must be 0 or at least 500");
  m.incarnation = WholeOf(body, "incarnation").value_or(0);
  return m;
}

std::string Post(const std::string& name, const std::string& body) {
  return "POST /registry/" + name +
         " HTTP/1.1\r\nHost: registry\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Action ActionOf(std::string_view name) {
  if (name == "register") return Action::kRegister;
  if (name == "drain") return Action::kDrain;
  if (name == "undrain") return Action::kUndrain;
  if (name == "remove") return Action::kRemove;
  if (name == "size") return Action::kSetSize;
  throw Wrong("", "no such call; there are register, renew, drain, undrain, remove and size");
}

}  // namespace

std::string ToText(const Member& m) {
  json entry = {{"id", m.id},
                {"host_port", m.address},
                {"locality", m.zone},
                {"flavor", m.kind},
                {"phase", m.phase()},
                {"size", m.size},
                {"up_since_ms", m.incarnation},
                {"version", m.version},
                {"changed", m.revision},
                {"term_ms", m.term}};
  entry["cell"] = m.cell.empty() ? json() : json::parse(m.cell, nullptr, /*allow_exceptions=*/false);
  if (m.suspect) entry["suspect"] = true;
  if (m.held_out) entry["held_out"] = true;
  if (m.expired) entry["expired"] = true;
  return entry.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ListText(const Catalog& catalog, bool complete, const std::vector<const Member*>& members) {
  std::string text = "{\"revision\":" + std::to_string(catalog.revision()) +
                     ",\"complete\":" + (complete ? "true" : "false") + ",\"epoch\":\"" + catalog.epoch() +
                     "\",\"confirmed\":" + std::to_string(catalog.confirmed()) + ",\"members\":[";
  const char* comma = "";
  for (const Member* member : members) {
    text += comma + ToText(*member);
    comma = ",";
  }
  return text + "]}";
}

Call ParseCall(std::string_view name, const std::string& body) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) return Outcome{"bad_request", "", "the body must be a JSON object"};
  try {
    if (name == "renew") {
      return Renewal{TextOf(parsed, "id", true), WholeOf(parsed, "incarnation").value_or(0)};
    }
    Command command;
    command.action = ActionOf(name);
    command.key = TextOf(parsed, "key");
    const std::string by = TextOf(parsed, "by");
    if (!by.empty() && by != "member" && by != "operator") throw Wrong("by", "must be member or operator");
    command.by_operator = by == "operator";
    command.if_revision = WholeOf(parsed, "if_revision");
    command.if_incarnation = WholeOf(parsed, "if_incarnation");
    if (command.action == Action::kRegister) {
      command.member = ReadMember(parsed);
    } else {
      command.member.id = TextOf(parsed, "id", true);
    }
    if (command.action == Action::kSetSize) {
      if (!parsed.contains("size")) throw Wrong("size", "is missing");
      command.member.size = NumberOf(parsed, "size", 1, 1e-6, 1e6);
    }
    return command;
  } catch (const Wrong& wrong) {
    return Outcome{"bad_request", wrong.field,
                   wrong.field.empty() ? wrong.what() : "'" + wrong.field + "' " + wrong.what()};
  }
}

unsigned StatusOf(const Outcome& outcome) {
  if (outcome.ok()) return 200;
  if (outcome.code == "bad_request") return 400;
  if (outcome.code == "unknown_member" || outcome.code == "unknown_call") return 404;
  if (outcome.code == "overloaded" || outcome.code == "storage_failed") return 503;
  return 409;
}

std::string ToText(const Outcome& outcome) {
  if (outcome.ok()) return json{{"revision", outcome.revision}, {"changed", outcome.changed}}.dump();
  json error = {{"code", outcome.code}, {"message", outcome.text}};
  if (!outcome.field.empty()) error["field"] = outcome.field;
  return json{{"error", std::move(error)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char* NameOf(Action action) {
  switch (action) {
    case Action::kRegister: return "register";
    case Action::kDrain: return "drain";
    case Action::kUndrain: return "undrain";
    case Action::kRemove: return "remove";
    case Action::kSetSize: return "size";
    default: return "";  // of the service's own
  }
}

std::string ToBody(const Command& command) {
  const Member& m = command.member;
  json body = {{"id", m.id}, {"by", command.by_operator ? "operator" : "member"}};
  if (command.action == Action::kRegister) {
    body.update({{"address", m.address},
                 {"zone", m.zone},
                 {"kind", m.kind},
                 {"version", m.version},
                 {"size", m.size},
                 {"term_ms", m.term},
                 {"incarnation", m.incarnation}});
    if (!m.cell.empty()) body["cell"] = json::parse(m.cell, nullptr, /*allow_exceptions=*/false);
  }
  if (command.action == Action::kSetSize) body["size"] = m.size;
  if (!command.key.empty()) body["key"] = command.key;
  if (command.if_revision) body["if_revision"] = *command.if_revision;
  if (command.if_incarnation) body["if_incarnation"] = *command.if_incarnation;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ToRequest(const Command& command) { return Post(NameOf(command.action), ToBody(command)); }

std::string ToRequest(const Renewal& renewal) {
  return Post("renew", json{{"id", renewal.id}, {"incarnation", renewal.incarnation}}.dump());
}

Outcome ParseOutcome(unsigned status, const std::string& body) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  Outcome outcome{"unreadable", "", "status " + std::to_string(status)};
  if (!parsed.is_object()) return outcome;
  try {
    if (status == 200)
      return {"", "", "", parsed.at("revision").get<Revision>(), parsed.value("changed", false)};
    const json& error = parsed.at("error");
    outcome = {error.at("code").get<std::string>(), error.value("field", ""), error.value("message", "")};
  } catch (const json::exception&) {
  }
  return outcome;
}

std::optional<WatchQuery> ParseWatch(std::string_view target) {
  WatchQuery query;
  const std::size_t mark = target.find('?');
  std::string_view left = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
  while (!left.empty()) {
    const std::string_view pair = left.substr(0, left.find('&'));
    left.remove_prefix(std::min(left.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "epoch") query.epoch = value;
    if (name != "after" && name != "wait_ms") continue;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc() || end != value.data() + value.size() || number < 0) return std::nullopt;
    if (name == "after") query.after = number;
    if (name == "wait_ms") query.wait = std::min(kMostWait, static_cast<double>(number));
  }
  return query;
}

std::optional<PublishedList> ParseList(const std::string& text, std::string& why) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  const auto fail = [&](const std::string& what) {
    why = what;
    return std::nullopt;
  };
  if (!parsed.is_object() || !parsed.contains("members") || !parsed["members"].is_array()) {
    return fail("no list of members");
  }
  if (!parsed.value("complete", true)) return fail("only a part of a list");
  PublishedList list;
  try {
    list.revision = parsed.value("revision", Revision{0});
    for (json entry : parsed["members"]) {
      if (!entry.is_object()) return fail("a member that is no object");
      for (const auto& [theirs, ours] : {std::pair("host_port", "address"),
                                         {"locality", "zone"},
                                         {"flavor", "kind"},
                                         {"up_since_ms", "incarnation"}}) {
        if (entry.contains(theirs)) entry[ours] = entry[theirs];
      }
      Member member = ReadMember(entry);
      member.draining = entry.value("phase", "up") == "draining";
      list.members.push_back(std::move(member));
    }
  } catch (const Wrong& wrong) {
    return fail("'" + wrong.field + "' " + wrong.what());
  } catch (const json::exception& error) {
    return fail(error.what());
  }
  return list;
}

}  // namespace gateway::registry
