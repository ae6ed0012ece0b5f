// The report of results as text tables.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

#include "lab/estimate.hpp"
#include "lab/figures.hpp"
#include "lab/report.hpp"

namespace gateway::lab {
namespace {

using Row = std::vector<std::string>;

// Returns the names of the figures of all runs in the order of FigureNames(). The figures of a class or
// fault, such as "p99_ms/pay", are at the position of their base name, "p99_ms".
std::vector<std::string> PresentFigures(const Results& results) {
  std::set<std::string> present;
  for (const RunResult& run : results.runs) {
    for (const auto& [name, value] : run.figures) present.insert(name);
  }
  std::vector<std::string> ordered;
  for (const std::string& known : FigureNames()) {
    for (const std::string& name : present) {
      if (FigureBaseName(name) == known) ordered.push_back(name);
    }
  }
  return ordered;
}

// Returns the number of characters of a UTF-8 text. Continuation bytes do not count.
std::size_t DisplayWidth(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

// Aligns the first column to the left and all other columns to the right.
std::string FormatTable(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], DisplayWidth(row[i]));
  }
  std::string text;
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string padding(widths[i] - DisplayWidth(row[i]), ' ');
      text += i == 0 ? "  " + row[i] + padding : "  " + padding + row[i];
    }
    text += "\n";
  }
  return text;
}

bool IntervalsOverlap(const Estimate& a, const Estimate& b) {
  return std::abs(a.mean - b.mean) <= a.half_width + b.half_width;
}

// Marks the ratio with "*" if the confidence intervals do not overlap.
std::string FormatRatio(const Estimate& a, const Estimate& b) {
  if (a.mean == 0) return "-";
  const bool differ = a.count > 1 && b.count > 1 && !IntervalsOverlap(a, b);
  return fmt::format("{:.3f}{}", b.mean / a.mean, differ ? "*" : "");
}

}  // namespace

std::string Summary(const Results& results) {
  const std::vector<std::string> variants = Variants(results);
  std::vector<Row> rows{{"figure"}};
  rows.front().insert(rows.front().end(), variants.begin(), variants.end());
  for (const std::string& figure : PresentFigures(results)) {
    Row row{figure};
    for (const std::string& variant : variants) {
      row.push_back(FormatFigure(EstimateMean(FigureValues(results, variant, figure))));
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(rows);
}

std::string Compare(const Results& a, const Results& b) {
  std::string text = fmt::format(
      "A: {}, B: {}; mean ± half width of the 95% confidence interval over the runs; B/A with '*' if the "
      "intervals do not overlap\n",
      a.experiment, b.experiment);
  for (const std::string& variant : Variants(a)) {
    std::vector<Row> rows{{variant, "A", "B", "B/A"}};
    for (const std::string& figure : PresentFigures(a)) {
      const Estimate mean_a = EstimateMean(FigureValues(a, variant, figure));
      const Estimate mean_b = EstimateMean(FigureValues(b, variant, figure));
      if (mean_a.count == 0 || mean_b.count == 0) continue;
      rows.push_back({figure, FormatFigure(mean_a), FormatFigure(mean_b), FormatRatio(mean_a, mean_b)});
    }
    if (rows.size() > 1) text += "\n" + FormatTable(rows);
  }
  return text;
}

}  // namespace gateway::lab
