// Parses the fields of one line of the simulator's wire protocol. A line consists of a message word and
// positional values, separated by single spaces. "-" stands for an absent value; absent values at the end of
// a line may be omitted.
#ifndef GATEWAY_SIMULATOR_LINE_CODEC_HPP_
#define GATEWAY_SIMULATOR_LINE_CODEC_HPP_

#include <charconv>
#include <cmath>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace gateway::simulator {

// A line that violates the wire protocol. what() describes the error but does not contain the line number.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Splits `text` at each separator and replaces the content of `parts` with the parts. An empty text yields
// one empty part.
void Split(std::string_view text, char separator, std::vector<std::string_view>& parts);

// Parses `text`, which must consist of one finite number. Otherwise throws a WireError that refers to the
// value as `name`.
template <typename T>
T ParseNumber(std::string_view text, std::string_view name) {
  T value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  bool valid = error == std::errc() && end == last;
  if constexpr (std::is_floating_point_v<T>) valid = valid && std::isfinite(value);
  if (!valid) throw WireError(std::string(name) + " is not a number: '" + std::string(text) + "'");
  return value;
}

// Returns true for "1" and "true", and false for "0" and "false". For any other text, throws a WireError that
// refers to the value as `name`.
bool ParseFlag(std::string_view text, std::string_view name);

// The fields of one line. Index 0 is the message word. The fields are views into the line, so the line must
// outlive them. Getters throw a WireError that refers to the value as `name` if the value is missing or
// malformed.
class LineFields {
 public:
  // Replaces the fields with the fields of `line`. `line` must not contain a line feed. A carriage return at
  // the end of `line` is ignored.
  void Assign(std::string_view line);

  std::string_view word() const { return parts_.front(); }

  // Returns an empty view if the value is absent.
  std::string_view Optional(std::size_t index) const;

  std::string_view Required(std::size_t index, std::string_view name) const;

  template <typename T>
  T Number(std::size_t index, std::string_view name) const {
    return ParseNumber<T>(Required(index, name), name);
  }

  template <typename T>
  T NumberOr(std::size_t index, std::string_view name, T fallback) const {
    const std::string_view text = Optional(index);
    return text.empty() ? fallback : ParseNumber<T>(text, name);
  }

  bool Flag(std::size_t index, std::string_view name) const { return ParseFlag(Required(index, name), name); }

  // Returns all fields from `index` on. A field with an absent value is "-". `index` must not exceed the
  // number of fields.
  std::vector<std::string_view> From(std::size_t index) const;

 private:
  std::vector<std::string_view> parts_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_LINE_CODEC_HPP_
