#include "base/base.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace gateway::base {
namespace {

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t changed = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = std::exchange(row[j + 1], std::min({changed, row[j] + 1, row[j + 1] + 1}));
    }
  }
  return row.back();
}

}  // namespace

std::string Nearest(std::string_view typed, const std::vector<std::string>& words) {
  std::string best;
  std::size_t least = std::min<std::size_t>(3, std::max<std::size_t>(1, typed.size() / 3)) + 1;
  for (const std::string& word : words) {
    const std::size_t distance = EditDistance(typed, word);
    if (distance < least) {
      least = distance;
      best = word;
    }
  }
  return best;
}

void RaiseDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace gateway::base
