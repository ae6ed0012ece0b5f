#include "registry/http_request.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "registry/registry_json.hpp"

namespace gateway::registry {
namespace {

constexpr base::Millis kMaxWait = 60000;

std::string EncodePost(const std::string& call, const std::string& body) {
  return "POST /registry/" + call +
         " HTTP/1.1\r\nHost: registry\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Parses a text that consists only of a non-negative integer. Returns std::nullopt for any other text.
std::optional<std::int64_t> ParseNonNegative(std::string_view text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end || number < 0) return std::nullopt;
  return number;
}

// Stores the parameter in `query`. Returns false if its value is malformed.
bool ReadParameter(std::string_view name, std::string_view value, WatchQuery& query) {
  if (name == "epoch") query.epoch = value;
  if (name != "after" && name != "wait_ms") return true;
  const auto number = ParseNonNegative(value);
  if (!number) return false;
  if (name == "after") query.after = number;
  if (name == "wait_ms") query.wait = std::min(kMaxWait, static_cast<base::Millis>(*number));
  return true;
}

}  // namespace

std::string EncodeRequest(const Command& command) {
  return EncodePost(CallName(command.action), EncodeCall(command));
}

std::string EncodeRequest(const RenewalRequest& renewal) { return EncodePost("renew", EncodeCall(renewal)); }

std::optional<WatchQuery> ParseWatchQuery(std::string_view target) {
  WatchQuery query;
  const std::size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) return query;
  std::string_view remaining = target.substr(question_mark + 1);
  while (!remaining.empty()) {
    const std::string_view parameter = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
    const std::size_t equals = parameter.find('=');
    if (equals == std::string_view::npos) continue;
    if (!ReadParameter(parameter.substr(0, equals), parameter.substr(equals + 1), query)) return std::nullopt;
  }
  return query;
}

}  // namespace gateway::registry
