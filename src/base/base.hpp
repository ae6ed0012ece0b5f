// src/base: what every other folder may use and what uses none of them: time, text, strict configuration
// files and histograms. Nothing here knows of requests, hosts or gateways.
#ifndef GATEWAY_BASE_BASE_HPP_
#define GATEWAY_BASE_BASE_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace gateway::base {

using Millis = double;  // spans and, from a stated zero, points in time

// The word of `words` with the fewest letters to change, to name to whoever mistyped it; empty where none is
// near (more than a third of the letters, or three, differ).
std::string Nearest(std::string_view typed, const std::vector<std::string>& words);

// As many descriptors as the system allows this process; fewer are no error.
void RaiseDescriptors();

}  // namespace gateway::base

#endif  // GATEWAY_BASE_BASE_HPP_
