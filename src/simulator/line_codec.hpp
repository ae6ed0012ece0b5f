// Reads the fields of one line of the simulator's wire. A line is a message word and positional values, all
// separated by single spaces; "-" stands for an absent value, and absent values at the end may be left off.
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

// A line that breaks the wire's rules. what() names the fault, without the line's number.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Replaces `parts` with the parts of `text` between the separators. An empty text has one empty part.
void Split(std::string_view text, char separator, std::vector<std::string_view>& parts);

// The number that makes up all of `text`; floating-point numbers must be finite. Throws WireError, whose text
// calls the value `name`.
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

// "1" or "true", "0" or "false". Throws WireError, whose text calls the value `name`.
bool ParseFlag(std::string_view text, std::string_view name);

// The fields of one line. They refer to the text of the line, which has to outlive them. Indices count from
// 0, the message word. Getters throw WireError, whose text calls the value `name`.
class LineFields {
 public:
  // Replaces the fields with those of `line`, which comes without its line feed. A carriage return at its end
  // is dropped.
  void Assign(std::string_view line);

  std::string_view word() const { return parts_.front(); }

  // Empty where the value is absent.
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

  // All fields from `index` on, as they stand in the line. `index` is at most the number of fields.
  std::vector<std::string_view> From(std::size_t index) const;

 private:
  std::vector<std::string_view> parts_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_LINE_CODEC_HPP_
