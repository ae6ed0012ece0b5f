// Suggestions for mistyped words in configuration files and command lines.
#ifndef GATEWAY_BASE_SPELLING_HPP_
#define GATEWAY_BASE_SPELLING_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace gateway::base {

// Returns the word in `words` with the smallest edit distance to `typed`, or the first such word if there are
// several. Returns an empty string if all distances exceed three or a third of the length of `typed`; a
// distance of one is always accepted.
std::string NearestWord(std::string_view typed, const std::vector<std::string>& words);

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SPELLING_HPP_
