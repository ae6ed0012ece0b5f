#include "base/toml_reader.hpp"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <filesystem>

#include "base/spelling.hpp"

namespace gateway::base {
namespace {

constexpr Millis kMillisPerSecond = 1000;

// Returns "FILE:LINE:COLUMN: REASON".
std::string LocatedError(const std::string& file, const toml::source_region& region,
                         std::string_view reason) {
  return fmt::format("{}:{}:{}: {}", region.path ? *region.path : file, region.begin.line,
                     region.begin.column, reason);
}

// Adds the keys of `base` that `table` does not have, and removes the key "extends". Moves the values,
// because copies of values lose their location in the file.
void AddMissingKeys(toml::table& table, toml::table&& base) {
  for (auto&& [key, value] : base) {
    value.visit([&, &name = key](auto& node) { table.insert(name, std::move(node)); });
  }
  table.erase("extends");
}

void CheckRange(const TomlTable& table, const std::string& key, double value, Range range) {
  if (value >= range.minimum && value <= range.maximum) return;
  table.Fail(key,
             fmt::format("{} is out of range, expected {:g} to {:g}", value, range.minimum, range.maximum));
}

}  // namespace

struct TomlTable::Impl {
  std::shared_ptr<const toml::table> root;
  const toml::table* table;
  std::string file;
  std::vector<std::string> known_keys;  // keys that getters have requested

  bool IsKnown(const std::string& key) const {
    return std::find(known_keys.begin(), known_keys.end(), key) != known_keys.end();
  }
  const toml::node* Find(const std::string& key) {
    if (!IsKnown(key)) known_keys.push_back(key);
    return table->get(key);
  }
  std::shared_ptr<Impl> Child(const toml::table& child) const {
    return std::make_shared<Impl>(Impl{root, &child, file, {}});
  }
};

TomlTable TomlTable::FromFile(const std::string& path) {
  try {
    auto root = std::make_shared<toml::table>(toml::parse_file(path));
    if (const auto extends = (*root)["extends"].value<std::string>()) {
      const std::string base = (std::filesystem::path(path).parent_path() / *extends).string();
      AddMissingKeys(*root, toml::parse_file(base));
    }
    return TomlTable(std::make_shared<Impl>(Impl{root, root.get(), path, {}}));
  } catch (const toml::parse_error& error) {
    const auto& location = error.source();
    throw ConfigError(LocatedError(location.path ? *location.path : path, location, error.description()));
  }
}

TomlTable TomlTable::FromText(std::string_view text, const std::string& name) {
  try {
    auto root = std::make_shared<const toml::table>(toml::parse(text, name));
    return TomlTable(std::make_shared<Impl>(Impl{root, root.get(), name, {}}));
  } catch (const toml::parse_error& error) {
    throw ConfigError(LocatedError(name, error.source(), error.description()));
  }
}

void TomlTable::Fail(const std::string& key, const std::string& reason) const {
  const toml::node* const node = impl_->table->get(key);
  throw ConfigError(
      LocatedError(impl_->file, node ? node->source() : impl_->table->source(), key + ": " + reason));
}

// Reports a missing key. If an unknown key is spelled almost like the missing key, reports the unknown key,
// which is probably a misspelling.
void TomlTable::FailMissing(const std::string& key) const {
  for (const auto& [name, value] : *impl_->table) {
    if (!NearestWord(name.str(), {key}).empty()) {
      throw ConfigError(
          LocatedError(impl_->file, name.source(),
                       fmt::format("unknown key '{}', did you mean '{}'?", std::string(name.str()), key)));
    }
  }
  Fail(key, "missing");
}

bool TomlTable::Has(const std::string& key) { return impl_->Find(key) != nullptr; }

double TomlTable::Number(const std::string& key, Range range) {
  if (!Has(key)) FailMissing(key);
  return Number(key, 0, range);
}

double TomlTable::Number(const std::string& key, double fallback, Range range) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value<double>();
  if (!value || !node->is_number() || !std::isfinite(*value)) Fail(key, "must be a number");
  CheckRange(*this, key, *value, range);
  return *value;
}

Millis TomlTable::Seconds(const std::string& key, Millis fallback, Range seconds) {
  return kMillisPerSecond * Number(key, fallback / kMillisPerSecond, seconds);
}

int TomlTable::Integer(const std::string& key, int fallback, int minimum, int maximum) {
  const double value = Number(key, fallback, {static_cast<double>(minimum), static_cast<double>(maximum)});
  if (value != std::floor(value)) Fail(key, "must be an integer");
  return static_cast<int>(value);
}

bool TomlTable::Flag(const std::string& key, bool fallback) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return fallback;
  if (!node->is_boolean()) Fail(key, "must be true or false");
  return *node->value<bool>();
}

std::string TomlTable::Text(const std::string& key) {
  if (!Has(key)) FailMissing(key);
  return Text(key, "");
}

std::string TomlTable::Text(const std::string& key, std::string fallback) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return fallback;
  if (!node->is_string()) Fail(key, "must be a string");
  return *node->value<std::string>();
}

std::string TomlTable::OneOf(const std::string& key, const std::string& fallback,
                             const std::vector<std::string>& words) {
  std::string word = Text(key, fallback);
  if (std::find(words.begin(), words.end(), word) == words.end()) {
    const std::string nearest = NearestWord(word, words);
    Fail(key, fmt::format("'{}' is not one of {}{}", word, fmt::join(words, ", "),
                          nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
  }
  return word;
}

std::vector<std::string> TomlTable::TextList(const std::string& key) {
  std::vector<std::string> texts;
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return texts;
  if (!node->is_array()) Fail(key, "must be an array of strings");
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) Fail(key, "must be an array of strings");
    texts.push_back(*item.value<std::string>());
  }
  return texts;
}

std::vector<double> TomlTable::NumberList(const std::string& key, Range range) {
  std::vector<double> numbers;
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return numbers;
  if (!node->is_array()) Fail(key, "must be an array of numbers");
  for (const toml::node& item : *node->as_array()) {
    const auto value = item.value<double>();
    if (!value || !item.is_number() || !std::isfinite(*value)) Fail(key, "must be an array of numbers");
    CheckRange(*this, key, *value, range);
    numbers.push_back(*value);
  }
  return numbers;
}

std::map<std::string, double> TomlTable::NumberTable(const std::string& key) {
  std::map<std::string, double> numbers;
  const auto table = Table(key);
  if (!table) return numbers;
  for (const auto& [name, value] : *table->impl_->table) {
    TomlTable copy = *table;
    numbers[std::string(name.str())] = copy.Number(std::string(name.str()), kNotNegative);
  }
  return numbers;
}

std::optional<TomlTable> TomlTable::Table(const std::string& key) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_table()) Fail(key, "must be a table");
  return TomlTable(impl_->Child(*node->as_table()));
}

std::vector<TomlTable> TomlTable::Tables(const std::string& key) {
  std::vector<TomlTable> tables;
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return tables;
  if (!node->is_array_of_tables()) Fail(key, "must be an array of tables, [[" + key + "]]");
  for (const toml::node& item : *node->as_array()) {
    tables.push_back(TomlTable(impl_->Child(*item.as_table())));
  }
  return tables;
}

void TomlTable::RejectUnknownKeys() const {
  for (const auto& [key, value] : *impl_->table) {
    const std::string name(key.str());
    if (impl_->IsKnown(name)) continue;
    const std::string nearest = NearestWord(name, impl_->known_keys);
    throw ConfigError(LocatedError(
        impl_->file, key.source(),
        nearest.empty()
            ? fmt::format("unknown key '{}'; expected one of: {}", name, fmt::join(impl_->known_keys, ", "))
            : fmt::format("unknown key '{}', did you mean '{}'?", name, nearest)));
  }
}

}  // namespace gateway::base
