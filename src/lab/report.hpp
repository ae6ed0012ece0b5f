// Reports of results: text tables, and an HTML page with plots.
#ifndef GATEWAY_LAB_REPORT_HPP_
#define GATEWAY_LAB_REPORT_HPP_

#include <string>

#include "lab/results.hpp"

namespace gateway::lab {

// Returns a table of the figures with a column for each variant.
std::string Summary(const Results& results);

// Returns a table for each variant. It has the figures of both results with 95% confidence intervals over
// their runs, and the ratios of the means.
std::string Compare(const Results& a, const Results& b);

// Writes FOLDER/report.html with the figures, the events, and plots of goodput, latency and rejections over
// time. The plots show means over the seeds. The page loads nothing over the network. The plots are also
// written as SVG files. Throws std::runtime_error if the folder can't be written or gnuplot can't be run.
void WriteReport(const Results& results, const std::string& folder);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REPORT_HPP_
