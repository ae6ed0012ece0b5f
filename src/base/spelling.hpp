// Suggestions for mistyped words in configuration files and command lines.
#ifndef GATEWAY_BASE_SPELLING_HPP_
#define GATEWAY_BASE_SPELLING_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace gateway::base {

// Returns the word in `words` with the smallest edit distance to `typed`. If several words have this
// distance, returns the first of them. Returns an empty string if the distance exceeds the limit. The limit
// is a third of the length of `typed`, but at least one edit and at most three edits.
std::string NearestWord(std::string_view typed, const std::vector<std::string>& words);

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SPELLING_HPP_
