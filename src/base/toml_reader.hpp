// A strict reader for TOML files. A key that no getter requests is an error, and errors name the file, line
// and column.
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

// The range of valid numbers for a key, inclusive at both ends.
struct Range {
  double minimum = -std::numeric_limits<double>::infinity();
  double maximum = std::numeric_limits<double>::infinity();
};
inline constexpr Range kNotNegative{0, std::numeric_limits<double>::infinity()};
inline constexpr Range kAboveZero{1e-9, std::numeric_limits<double>::infinity()};
inline constexpr Range kFraction{0, 1};

// One table of a TOML file. Getters return the value of a key. If the file does not have the key, they return
// `fallback`, and getters without a fallback throw ConfigError. Getters also throw ConfigError, with the
// location of the value, if the value has the wrong type or is out of range. Copies share the parsed file,
// which lives as long as the last copy. Not thread-safe.
class TomlTable {
 public:
  // Reads a file. Throws ConfigError if the file can't be read or is not valid TOML. If the file contains
  // extends = "FILE", top-level keys that are absent in the file are taken from FILE. FILE is a path relative
  // to the folder of `path`.
  static TomlTable FromFile(const std::string& path);

  // Reads a string. Errors use `name` in place of the file name.
  static TomlTable FromText(std::string_view text, const std::string& name);

  // Returns whether the table has the key. RejectUnknownKeys() then accepts the key.
  bool Has(const std::string& key);

  double Number(const std::string& key, Range range = {});
  double Number(const std::string& key, double fallback, Range range = {});

  // Returns the duration in ms. The file specifies the duration in seconds, and `seconds` is its valid range
  // in seconds.
  Millis Seconds(const std::string& key, Millis fallback, Range seconds = {});

  int Integer(const std::string& key, int fallback, int minimum, int maximum);

  bool Flag(const std::string& key, bool fallback);

  std::string Text(const std::string& key);
  std::string Text(const std::string& key, std::string fallback);

  // Returns a string that must be one of `words`.
  std::string OneOf(const std::string& key, const std::string& fallback,
                    const std::vector<std::string>& words);

  // Returns an array in the order of the file, or an empty one if the file does not have the key.
  std::vector<std::string> TextList(const std::string& key);
  std::vector<double> NumberList(const std::string& key, Range range = {});

  // Returns a table of non-negative numbers, or an empty one if the file does not have the key.
  std::map<std::string, double> NumberTable(const std::string& key);

  // Returns nullopt if the file does not have the key.
  std::optional<TomlTable> Table(const std::string& key);

  // Returns an array of tables, [[key]], or an empty one if the file does not have the key.
  std::vector<TomlTable> Tables(const std::string& key);

  // Throws ConfigError for the first key of the table that no getter has requested, and suggests the most
  // similar requested key. Must be called after the last getter.
  void RejectUnknownKeys() const;

  // Throws ConfigError with the location of the key, or with the location of the table if the table does not
  // have the key. Callers use it to report violations of their own rules.
  [[noreturn]] void Fail(const std::string& key, const std::string& reason) const;

 private:
  struct Impl;
  explicit TomlTable(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
  [[noreturn]] void FailMissing(const std::string& key) const;

  std::shared_ptr<Impl> impl_;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_TOML_READER_HPP_
