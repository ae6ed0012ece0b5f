// Strict reading of TOML files: a key that no reader asks for is an error, and errors name file, line and
// column.
#ifndef GATEWAY_BASE_TOML_READER_HPP_
#define GATEWAY_BASE_TOML_READER_HPP_

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/config_error.hpp"
#include "base/millis.hpp"

namespace gateway::base {

// The numbers that a key may have, both ends included.
struct Range {
  double minimum = -std::numeric_limits<double>::infinity();
  double maximum = std::numeric_limits<double>::infinity();
};
inline constexpr Range kNotNegative{0, std::numeric_limits<double>::infinity()};
inline constexpr Range kAboveZero{1e-9, std::numeric_limits<double>::infinity()};
inline constexpr Range kFraction{0, 1};

// One table of a TOML file. Getters return the value of a key, and `fallback` where the file does not have
// it; those without a fallback throw ConfigError then. They throw ConfigError, at the place of the value, for
// one of the wrong type or out of range. Copies share the file, which lives as long as the last of them. To
// be used in one thread at a time.
class TomlTable {
 public:
  // Reads a file. Throws ConfigError if it can't be read or is no TOML. With a key extends = "FILE", a path
  // relative to the folder of `path`, the top-level keys that the file does not have are those of FILE.
  static TomlTable FromFile(const std::string& path);

  // The same of a text; errors call it `name`.
  static TomlTable FromText(std::string_view text, const std::string& name);

  bool Has(const std::string& key);

  double Number(const std::string& key, Range range = {});
  double Number(const std::string& key, double fallback, Range range = {});

  // A duration in ms that the file gives in seconds. `seconds` is the range in seconds.
  Millis Seconds(const std::string& key, Millis fallback, Range seconds = {});

  int Integer(const std::string& key, int fallback, int minimum, int maximum);

  bool Flag(const std::string& key, bool fallback);

  std::string Text(const std::string& key);
  std::string Text(const std::string& key, std::string fallback);

  // A text that has to be one of `words`.
  std::string OneOf(const std::string& key, const std::string& fallback,
                    const std::vector<std::string>& words);

  // An array, in the order of the file; empty where the file does not have the key.
  std::vector<std::string> TextList(const std::string& key);
  std::vector<double> NumberList(const std::string& key, Range range = {});

  // A table of numbers, none of them negative; empty where the file does not have the key.
  std::map<std::string, double> NumberTable(const std::string& key);

  std::optional<TomlTable> Table(const std::string& key);

  // An array of tables, [[key]]; empty where the file does not have the key.
  std::vector<TomlTable> Tables(const std::string& key);

  // To be called after the last getter: throws ConfigError for the first key of the table that no getter
  // asked for, with the nearest of those that were asked for as a suggestion.
  void RejectUnknownKeys() const;

  // Throws ConfigError at the place of the key, or of the table where it does not have the key: for rules
  // that only the caller knows.
  [[noreturn]] void Fail(const std::string& key, const std::string& reason) const;

 private:
  struct Impl;
  explicit TomlTable(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
  [[noreturn]] void FailMissing(const std::string& key) const;

  std::shared_ptr<Impl> impl_;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_TOML_READER_HPP_
