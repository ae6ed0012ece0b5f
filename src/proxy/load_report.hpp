// The load report that endpoints add to their responses.
#ifndef GATEWAY_PROXY_LOAD_REPORT_HPP_
#define GATEWAY_PROXY_LOAD_REPORT_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace gateway::proxy {

// Parses a report such as "inflight=7,util=0.61" into values in the order of `fields`. The value of a missing
// or malformed field is NaN. Other fields of the report are ignored. Returns an empty vector for an empty
// text.
std::vector<double> ParseLoadReport(std::string_view text, const std::vector<std::string>& fields);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_LOAD_REPORT_HPP_
