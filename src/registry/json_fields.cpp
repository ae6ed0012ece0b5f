#include "registry/json_fields.hpp"

#include <algorithm>

namespace gateway::registry {
namespace {

using nlohmann::json;

constexpr double kMaxInteger = 9e15;  // a double represents all integers up to this value exactly
constexpr unsigned char kDelete = 127;

bool IsAbsent(const json& object, const std::string& field) {
  return !object.contains(field) || object[field].is_null();
}

bool IsControlCharacter(unsigned char byte) { return byte < ' ' || byte == kDelete; }

std::string CheckedText(const json& value, const std::string& field, bool required) {
  if (!value.is_string()) throw FieldError(field, "must be a string");
  std::string text = value;
  if (required && text.empty()) throw FieldError(field, "must not be empty");
  if (text.size() > kMaxTextBytes) throw FieldError(field, "is longer than 256 bytes");
  if (std::ranges::any_of(text, IsControlCharacter)) {
    throw FieldError(field, "must not contain control characters");
  }
  return text;
}

}  // namespace

std::string ReadText(const json& object, const std::string& field) {
  if (IsAbsent(object, field)) return "";
  return CheckedText(object[field], field, /*required=*/false);
}

std::string ReadRequiredText(const json& object, const std::string& field) {
  if (IsAbsent(object, field)) throw FieldError(field, "is missing");
  return CheckedText(object[field], field, /*required=*/true);
}

double ReadNumber(const json& object, const std::string& field, double default_value, NumberRange range) {
  if (IsAbsent(object, field)) return default_value;
  if (!object[field].is_number()) throw FieldError(field, "must be a number");
  const double number = object[field];
  if (!(number >= range.min && number <= range.max)) {
    throw FieldError(field, "must be from " + json(range.min).dump() + " to " + json(range.max).dump());
  }
  return number;
}

std::optional<std::int64_t> ReadInteger(const json& object, const std::string& field) {
  if (IsAbsent(object, field)) return std::nullopt;
  return static_cast<std::int64_t>(ReadNumber(object, field, 0, {0, kMaxInteger}));
}

}  // namespace gateway::registry
