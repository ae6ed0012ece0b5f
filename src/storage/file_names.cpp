#include "storage/file_names.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace gateway::storage {
namespace {

constexpr std::size_t kDigits = 16;
constexpr int kHexadecimal = 16;

}  // namespace

std::string NumberedName(std::string_view stem, Sequence sequence) {
  std::array<char, kDigits + 1> number{};
  std::snprintf(number.data(), number.size(), "%016llx", static_cast<unsigned long long>(sequence));
  return std::string(stem) + "-" + number.data();
}

std::optional<Sequence> ParseNumberedName(std::string_view stem, std::string_view name) {
  if (name.size() != stem.size() + 1 + kDigits) return std::nullopt;
  const std::string_view digits = name.substr(stem.size() + 1);
  Sequence sequence = 0;
  const char* const end = digits.data() + digits.size();
  const auto [parsed_end, error] = std::from_chars(digits.data(), end, sequence, kHexadecimal);
  if (error != std::errc() || parsed_end != end) return std::nullopt;
  if (NumberedName(stem, sequence) != name) return std::nullopt;
  return sequence;
}

std::vector<NumberedFile> FindNumberedFiles(const std::vector<std::string>& names, std::string_view stem) {
  std::vector<NumberedFile> files;
  for (const std::string& name : names) {
    if (const auto sequence = ParseNumberedName(stem, name)) files.push_back({*sequence, name});
  }
  return files;
}

}  // namespace gateway::storage
