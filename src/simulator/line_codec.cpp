#include "simulator/line_codec.hpp"

namespace gateway::simulator {
namespace {

constexpr std::string_view kAbsent = "-";

}  // namespace

void Split(std::string_view text, char separator, std::vector<std::string_view>& parts) {
  parts.clear();
  for (;;) {
    const std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return;
    text.remove_prefix(end + 1);
  }
}

bool ParseFlag(std::string_view text, std::string_view name) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw WireError(std::string(name) + " is not a boolean (1, 0, true or false): '" + std::string(text) + "'");
}

void LineFields::Assign(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  Split(line, ' ', parts_);
}

std::string_view LineFields::Optional(std::size_t index) const {
  if (index >= parts_.size() || parts_[index] == kAbsent) return {};
  return parts_[index];
}

std::string_view LineFields::Required(std::size_t index, std::string_view name) const {
  const std::string_view text = Optional(index);
  if (text.empty()) throw WireError(std::string(word()) + ": " + std::string(name) + " is missing");
  return text;
}

std::vector<std::string_view> LineFields::From(std::size_t index) const {
  return {parts_.begin() + static_cast<std::ptrdiff_t>(index), parts_.end()};
}

}  // namespace gateway::simulator
