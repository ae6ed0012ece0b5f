// Parses the load report that an endpoint adds to a response.
#ifndef GATEWAY_PROXY_LOAD_REPORT_HPP_
#define GATEWAY_PROXY_LOAD_REPORT_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace gateway::proxy {

// The header field of a response that has the load report.
constexpr char kLoadReportField[] = "Srv-Load";

// Parses a report such as "inflight=7,util=0.61". Returns one value for each element of `fields`, in
// this order. The value of a missing or malformed field is NaN. Ignores all other fields of the report.
// Returns an empty vector if `text` is empty.
std::vector<double> ParseLoadReport(std::string_view text, const std::vector<std::string>& fields);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_LOAD_REPORT_HPP_
