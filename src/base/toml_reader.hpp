// Strict reading of TOML files: each key is asked for once, and one that nobody asked for is an error.
#ifndef GATEWAY_BASE_TOML_READER_HPP_
#define GATEWAY_BASE_TOML_READER_HPP_

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.hpp"

namespace gateway::base {

// "FILE:LINE:COLUMN: what is wrong", one line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Range {
  double least = -std::numeric_limits<double>::infinity();
  double most = std::numeric_limits<double>::infinity();
};
inline constexpr Range kNotNegative{0, std::numeric_limits<double>::infinity()};
inline constexpr Range kAboveZero{1e-9, std::numeric_limits<double>::infinity()};
inline constexpr Range kShare{0, 1};

// One table of a file. Every getter throws ConfigError on a value of another type or out of its range; Done()
// throws on the first key that no getter asked for and names the nearest of those that were. Keeps the file
// alive.
class TomlTable {
 public:
  // Throws ConfigError if the file can't be read or is no TOML. With a key extends = "FILE" (beside it) all
  // top-level keys that the file does not give itself are that file's.
  static TomlTable FromFile(const std::string& path);
  static TomlTable FromText(std::string_view text, const std::string& name);

  bool Has(const std::string& key);
  double Number(const std::string& key, Range range = {});  // throws where the key is missing
  double Number(const std::string& key, double otherwise, Range range = {});
  // A time that the file gives in seconds, with the range in seconds too; `otherwise` is in ms.
  Millis Seconds(const std::string& key, Millis otherwise, Range seconds = {});
  int Whole(const std::string& key, int otherwise, int least, int most);
  bool Flag(const std::string& key, bool otherwise);
  std::string Text(const std::string& key);
  std::string Text(const std::string& key, std::string otherwise);
  // One of `words`.
  std::string Word(const std::string& key, const std::string& otherwise,
                   const std::vector<std::string>& words);
  std::vector<std::string> Texts(const std::string& key);
  // An array of numbers, in the file's order; empty where the key is missing.
  std::vector<double> NumberList(const std::string& key, Range range = {});
  std::map<std::string, double> Numbers(const std::string& key);  // of a table of numbers, in the keys' order
  std::optional<TomlTable> Table(const std::string& key);
  std::vector<TomlTable> Tables(const std::string& key);  // [[key]]
  void Done() const;

  // For what only the caller can judge: throws ConfigError at the place of the key, or of the table.
  [[noreturn]] void Fail(const std::string& key, const std::string& what) const;

 private:
  [[noreturn]] void Missing(const std::string& key) const;
  struct Impl;
  explicit TomlTable(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
  std::shared_ptr<Impl> impl_;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_TOML_READER_HPP_
