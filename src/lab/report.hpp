// Results as text and as a page with plots.
#ifndef GATEWAY_LAB_REPORT_HPP_
#define GATEWAY_LAB_REPORT_HPP_

#include <string>

#include "lab/results.hpp"

namespace gateway::lab {

// A table of the figures, with a column for each variant.
std::string Summary(const Results& results);

// The figures of two results with 95% confidence intervals over their runs, and the ratios of the means.
std::string Compare(const Results& a, const Results& b);

// Writes FOLDER/report.html, which has the figures, the events and plots over time of goodput, latency and
// rejections (means over the seeds), and needs no network. The plots are also written as SVG files. Throws
// std::runtime_error where the folder can't be written or gnuplot can't be run.
void WriteReport(const Results& results, const std::string& folder);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REPORT_HPP_
