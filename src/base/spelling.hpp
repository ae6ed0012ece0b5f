// Suggestions for mistyped words of configuration files and command lines.
#ifndef GATEWAY_BASE_SPELLING_HPP_
#define GATEWAY_BASE_SPELLING_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace gateway::base {

// Returns the word of `words` with the smallest edit distance to `typed`, the first of them where several are
// as near. Returns an empty text where the distance of all is above a third of the length of `typed` or above
// three; a distance of one always counts as near.
std::string NearestWord(std::string_view typed, const std::vector<std::string>& words);

}  // namespace gateway::base

#endif  // GATEWAY_BASE_SPELLING_HPP_
