// Reads and validates the fields of a JSON object.
#ifndef GATEWAY_REGISTRY_JSON_FIELDS_HPP_
#define GATEWAY_REGISTRY_JSON_FIELDS_HPP_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace gateway::registry {

inline constexpr std::size_t kMaxTextBytes = 256;

// Reports a missing or invalid field. what() describes the problem without the name of the field.
class FieldError : public std::runtime_error {
 public:
  FieldError(std::string field, const std::string& message)
      : std::runtime_error(message), field_(std::move(field)) {}
  // Returns the name of the field, or an empty string if the error does not concern a single field.
  const std::string& field() const { return field_; }
  // Returns the field and the message in one sentence.
  std::string FullMessage() const { return field_.empty() ? what() : "'" + field_ + "' " + what(); }

 private:
  std::string field_;
};

// The following functions throw FieldError. They treat a field that is null as absent.

// Returns an empty string if the field is absent.
std::string ReadText(const nlohmann::json& object, const std::string& field);
// Requires that the field is present and not empty.
std::string ReadRequiredText(const nlohmann::json& object, const std::string& field);

struct NumberRange {
  double min;
  double max;
};
double ReadNumber(const nlohmann::json& object, const std::string& field, double default_value,
                  NumberRange range);
// Reads a non-negative number and truncates fractions. Returns std::nullopt if the field is absent.
std::optional<std::int64_t> ReadInteger(const nlohmann::json& object, const std::string& field);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_JSON_FIELDS_HPP_
