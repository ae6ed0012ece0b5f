// The report of results as an HTML page with plots.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "lab/gnuplot.hpp"
#include "lab/report.hpp"

namespace gateway::lab {
namespace {

constexpr double kMillisPerSecond = 1000;

struct Chart {
  const char* file;
  const char* title;
  const char* axis;
  bool logarithmic;
  std::vector<std::pair<int, const char*>>
      columns;  // column number in the data file, and suffix of the variant's name in the legend
};

const std::vector<Chart> kCharts{
    {"goodput", "Requests answered within their objective", "share of arrivals", false, {{3, ""}}},
    {"latency", "Latency of served requests", "ms", true, {{6, " p50"}, {7, " p99"}}},
    {"lost-chances",
     "Rejected and failed requests",
     "share of arrivals",
     false,
     {{4, " rejected"}, {5, " failed"}}}};

// Returns rows of time in s, arrivals, shares and percentiles. Arrivals, shares and percentiles are means
// over the runs of the variant.
std::string PlotData(const Results& results, const std::string& variant) {
  std::map<double, std::pair<int, std::array<double, 6>>> rows;
  for (const RunResult& run : results.runs) {
    if (run.variant != variant) continue;
    for (const Window& window : run.windows) {
      auto& [count, sums] = rows[window.at];
      const double arrived = std::max(1.0, static_cast<double>(window.arrived));
      const double values[] = {static_cast<double>(window.arrived),
                               static_cast<double>(window.in_objective) / arrived,
                               static_cast<double>(window.rejected) / arrived,
                               static_cast<double>(window.failed) / arrived,
                               window.p50,
                               window.p99};
      ++count;
      for (std::size_t i = 0; i < sums.size(); ++i) sums[i] += values[i];
    }
  }
  std::string text;
  for (const auto& [at, row] : rows) {
    text += fmt::format("{:.3f}", at / kMillisPerSecond);
    for (const double sum : row.second) text += fmt::format(" {:.6g}", sum / row.first);
    text += "\n";
  }
  return text;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::stringstream text;
  text << std::ifstream(path, std::ios::binary).rdbuf();
  return text.str();
}

// Escapes the reserved characters of HTML.
std::string HtmlEscaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    escaped += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return escaped;
}

// Returns gnuplot commands that mark the events in a plot.
std::string EventMarks(const std::vector<std::pair<Millis, std::string>>& events) {
  constexpr int kLabelRows = 5;
  std::string script;
  int row = 0;
  for (const auto& [at, text] : events) {
    if (at < 0) continue;
    const double seconds = at / kMillisPerSecond;
    script +=
        fmt::format("set arrow from {0},graph 0 to {0},graph 1 nohead lc rgb '#cc8888' dt 2\n", seconds);
    script += fmt::format("set label {} at {},graph {:.2f} font ',9' tc rgb '#884444' noenhanced\n",
                          GnuplotQuoted(text), seconds, 0.96 - 0.07 * (row++ % kLabelRows));
  }
  return script;
}

std::string PlotCommand(const Chart& chart, const std::vector<std::string>& variants) {
  std::string command = "plot ";
  for (std::size_t variant = 0; variant < variants.size(); ++variant) {
    for (std::size_t column = 0; column < chart.columns.size(); ++column) {
      command +=
          fmt::format("{}'{}.dat' using 1:{} lw 2 lc {} dt {} title '{}{}'",
                      variant + column == 0 ? "" : ", ", variants[variant], chart.columns[column].first,
                      variant + 1, column == 0 ? 1 : 2, variants[variant], chart.columns[column].second);
    }
  }
  return command + "\n";
}

std::string GnuplotScript(const Results& results, const std::vector<std::string>& variants) {
  std::string script =
      "set terminal svg size 960,320 dynamic background rgb 'white'\nset encoding utf8\n"
      "set key outside right noenhanced\nset grid ytics lc rgb '#dddddd'\nset xlabel 's'\nset style data "
      "lines\n";
  for (const Chart& chart : kCharts) {
    script += fmt::format("set output '{}.svg'\nset title '{}'\nset ylabel '{}'\n", chart.file, chart.title,
                          chart.axis);
    script +=
        chart.logarithmic ? "set logscale y\nset autoscale y\n" : "unset logscale y\nset yrange [0:1.02]\n";
    script += "unset arrow\nunset label\n";
    script += EventMarks(results.runs.front().events);
    script += PlotCommand(chart, variants);
  }
  return script;
}

// Reads an SVG file without its XML declaration, which is not allowed inside an HTML page.
std::string InlineSvg(const std::filesystem::path& path) {
  std::string svg = ReadFile(path);
  svg.erase(0, svg.find("<svg"));
  return svg;
}

std::string PageHead(const Results& results) {
  return fmt::format(
      "<!doctype html>\n<html><head><meta "
      "charset=\"utf-8\"><title>{0}</title><style>body{{font-family:sans-serif;"
      "max-width:62em;margin:2em auto;padding:0 "
      "1em}}pre{{overflow-x:auto}}svg{{max-width:100%;height:auto}}</style>"
      "</head><body>\n<h1>{0}</h1>\n<p>{1}</p>\n",
      HtmlEscaped(results.experiment), HtmlEscaped(results.about));
}

std::string EventLines(const RunResult& run) {
  std::string lines;
  for (const auto& [at, text] : run.events) {
    if (at < 0) continue;
    lines += fmt::format("{:9.3f} s  {} (seed {}): {}\n", at / kMillisPerSecond, run.variant, run.seed, text);
  }
  for (const std::string& violation : run.violations) {
    lines += fmt::format("{} (seed {}): {}\n", run.variant, run.seed, violation);
  }
  return lines;
}

}  // namespace

void WriteReport(const Results& results, const std::string& folder_path) {
  if (results.runs.empty()) throw std::runtime_error("the results contain no run");
  const std::filesystem::path folder(folder_path);
  MakeFolder(folder);
  const std::vector<std::string> variants = Variants(results);
  for (const std::string& variant : variants) {
    WriteTextFile(folder / (variant + ".dat"), PlotData(results, variant));
  }
  WriteTextFile(folder / "plot.gnuplot", GnuplotScript(results, variants));
  RunGnuplot(folder, "plot.gnuplot");
  std::string page = PageHead(results);
  for (const Chart& chart : kCharts) {
    page += InlineSvg(folder / (std::string(chart.file) + ".svg")) + "\n";
  }
  page += "<h2>Figures</h2>\n<pre>" + HtmlEscaped(Summary(results)) + "</pre>\n<h2>Events</h2>\n<pre>";
  for (const RunResult& run : results.runs) page += HtmlEscaped(EventLines(run));
  WriteTextFile(folder / "report.html", page + "</pre>\n</body></html>\n");
}

}  // namespace gateway::lab
