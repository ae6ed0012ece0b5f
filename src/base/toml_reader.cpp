#include "base/toml_reader.hpp"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <filesystem>

#include "base/base.hpp"

namespace gateway::base {
namespace {

constexpr Millis kMillisPerSecond = 1000;

std::string At(const std::string& file, const toml::source_region& region, std::string_view what) {
  return fmt::format("{}:{}:{}: {}", region.path ? *region.path : file, region.begin.line,
                     region.begin.column, what);
}

// Moved, not copied: a copy would not know its place in the file.
void Extend(toml::table& table, toml::table&& below) {
  for (auto&& [key, value] : below) {
    value.visit([&, &name = key](auto& node) { table.insert(name, std::move(node)); });
  }
  table.erase("extends");
}

}  // namespace

struct TomlTable::Impl {
  std::shared_ptr<const toml::table> root;
  const toml::table* table;
  std::string file;
  std::vector<std::string> asked;

  const toml::node* Find(const std::string& key) {
    if (std::find(asked.begin(), asked.end(), key) == asked.end()) asked.push_back(key);
    return table->get(key);
  }
  std::shared_ptr<Impl> Below(const toml::table& child) const {
    return std::make_shared<Impl>(Impl{root, &child, file, {}});
  }
};

TomlTable TomlTable::FromFile(const std::string& path) {
  try {
    auto root = std::make_shared<toml::table>(toml::parse_file(path));
    if (const auto extends = (*root)["extends"].value<std::string>()) {
      const std::string below = (std::filesystem::path(path).parent_path() / *extends).string();
      Extend(*root, toml::parse_file(below));
    }
    return TomlTable(std::make_shared<Impl>(Impl{root, root.get(), path, {}}));
  } catch (const toml::parse_error& error) {
    const auto& place = error.source();
    throw ConfigError(At(place.path ? *place.path : path, place, error.description()));
  }
}

TomlTable TomlTable::FromText(std::string_view text, const std::string& name) {
  try {
    auto root = std::make_shared<const toml::table>(toml::parse(text, name));
    return TomlTable(std::make_shared<Impl>(Impl{root, root.get(), name, {}}));
  } catch (const toml::parse_error& error) {
    throw ConfigError(At(name, error.source(), error.description()));
  }
}

void TomlTable::Fail(const std::string& key, const std::string& what) const {
  const toml::node* const node = impl_->table->get(key);
  throw ConfigError(At(impl_->file, node ? node->source() : impl_->table->source(), key + ": " + what));
}

// A key that is there and nearly this one was probably meant.
void TomlTable::Missing(const std::string& key) const {
  for (const auto& [name, value] : *impl_->table) {
    if (!Nearest(name.str(), {key}).empty()) {
      throw ConfigError(
          At(impl_->file, name.source(),
             fmt::format("unknown key '{}', did you mean '{}'?", std::string(name.str()), key)));
    }
  }
  Fail(key, "missing");
}

bool TomlTable::Has(const std::string& key) { return impl_->Find(key) != nullptr; }

double TomlTable::Number(const std::string& key, Range range) {
  if (!Has(key)) Missing(key);
  return Number(key, 0, range);
}

double TomlTable::Number(const std::string& key, double otherwise, Range range) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return otherwise;
  const auto value = node->value<double>();
  if (!value || !node->is_number() || !std::isfinite(*value)) Fail(key, "must be a number");
  if (*value < range.least || *value > range.most) {
    Fail(key, fmt::format("{} is not from {:g} to {:g}", *value, range.least, range.most));
  }
  return *value;
}

Millis TomlTable::Seconds(const std::string& key, Millis otherwise, Range seconds) {
  return kMillisPerSecond * Number(key, otherwise / kMillisPerSecond, seconds);
}

int TomlTable::Whole(const std::string& key, int otherwise, int least, int most) {
  const double value = Number(key, otherwise, {static_cast<double>(least), static_cast<double>(most)});
  if (value != std::floor(value)) Fail(key, "must be a whole number");
  return static_cast<int>(value);
}

bool TomlTable::Flag(const std::string& key, bool otherwise) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return otherwise;
  if (!node->is_boolean()) Fail(key, "must be true or false");
  return *node->value<bool>();
}

std::string TomlTable::Text(const std::string& key) {
  if (!Has(key)) Missing(key);
  return Text(key, "");
}

std::string TomlTable::Text(const std::string& key, std::string otherwise) {
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return otherwise;
  if (!node->is_string()) Fail(key, "must be a text");
  return *node->value<std::string>();
}

std::string TomlTable::Word(const std::string& key, const std::string& otherwise,
                            const std::vector<std::string>& words) {
  std::string word = Text(key, otherwise);
  if (std::find(words.begin(), words.end(), word) == words.end()) {
    const std::string near = Nearest(word, words);
    Fail(key, fmt::format("'{}' is none of {}{}", word, fmt::join(words, ", "),
                          near.empty() ? "" : "; did you mean '" + near + "'?"));
  }
  return word;
}

std::vector<std::string> TomlTable::Texts(const std::string& key) {
  std::vector<std::string> texts;
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return texts;
  if (!node->is_array()) Fail(key, "must be an array of texts");
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) Fail(key, "must be an array of texts");
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
    if (*value < range.least || *value > range.most) {
      Fail(key, fmt::format("{} is not from {:g} to {:g}", *value, range.least, range.most));
    }
    numbers.push_back(*value);
  }
  return numbers;
}

std::map<std::string, double> TomlTable::Numbers(const std::string& key) {
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
  return TomlTable(impl_->Below(*node->as_table()));
}

std::vector<TomlTable> TomlTable::Tables(const std::string& key) {
  std::vector<TomlTable> tables;
  const toml::node* const node = impl_->Find(key);
  if (node == nullptr) return tables;
  if (!node->is_array_of_tables()) Fail(key, "must be a list of tables, [[" + key + "]]");
  for (const toml::node& item : *node->as_array()) {
    tables.push_back(TomlTable(impl_->Below(*item.as_table())));
  }
  return tables;
}

void TomlTable::Done() const {
  for (const auto& [key, value] : *impl_->table) {
    const std::string name(key.str());
    if (std::find(impl_->asked.begin(), impl_->asked.end(), name) != impl_->asked.end()) continue;
    const std::string near = Nearest(name, impl_->asked);
    throw ConfigError(
        At(impl_->file, key.source(),
           near.empty() ? fmt::format("unknown key '{}'; known here: {}", name, fmt::join(impl_->asked, ", "))
                        : fmt::format("unknown key '{}', did you mean '{}'?", name, near)));
  }
}

}  // namespace gateway::base
