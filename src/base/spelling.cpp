#include "base/spelling.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace gateway::base {
namespace {

constexpr std::size_t kMaxDistance = 3;     // edits
constexpr std::size_t kLettersPerEdit = 3;  // each group of this many letters allows one edit

// Computes the Levenshtein distance, one row of the table at a time.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = std::exchange(row[j + 1], std::min({substituted, row[j] + 1, row[j + 1] + 1}));
    }
  }
  return row.back();
}

}  // namespace

std::string NearestWord(std::string_view typed, const std::vector<std::string>& words) {
  std::string nearest;
  const std::size_t max_distance = std::clamp<std::size_t>(typed.size() / kLettersPerEdit, 1, kMaxDistance);
  std::size_t smallest = max_distance + 1;
  for (const std::string& word : words) {
    const std::size_t distance = EditDistance(typed, word);
    if (distance < smallest) {
      smallest = distance;
      nearest = word;
    }
  }
  return nearest;
}

}  // namespace gateway::base
