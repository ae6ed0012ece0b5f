// Reads checked fields of a JSON object.
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

// A field that is missing or has a wrong value; what() says what is wrong with it.
class FieldError : public std::runtime_error {
 public:
  FieldError(std::string field, const std::string& message)
      : std::runtime_error(message), field_(std::move(field)) {}
  // Empty: not about one field.
  const std::string& field() const { return field_; }
  // Field and message in one sentence.
  std::string Sentence() const { return field_.empty() ? what() : "'" + field_ + "' " + what(); }

 private:
  std::string field_;
};

// All of these throw FieldError. A field that is null counts as absent.

// Returns an empty text if the field is absent.
std::string ReadText(const nlohmann::json& object, const std::string& field);
// The field must be there and not empty.
std::string ReadRequiredText(const nlohmann::json& object, const std::string& field);

struct NumberRange {
  double min;
  double max;
};
double ReadNumber(const nlohmann::json& object, const std::string& field, double default_value,
                  NumberRange range);
// A number from 0; fractions are cut off.
std::optional<std::int64_t> ReadInteger(const nlohmann::json& object, const std::string& field);

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_JSON_FIELDS_HPP_
