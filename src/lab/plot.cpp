#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "lab/gnuplot.hpp"
#include "lab/results.hpp"

namespace gateway::lab {
namespace {

struct Chart {
  const char* file;
  const char* title;
  const char* axis;
  bool logarithmic;
  std::vector<std::pair<int, const char*>> columns;  // of the data, and what they show
};

const std::vector<Chart> kCharts{
    {"goodput", "Answered in time", "share of arrivals", false, {{3, ""}}},
    {"latency", "Latency of what was served", "ms", true, {{6, " p50"}, {7, " p99"}}},
    {"lost-chances", "Refused and failed", "share of arrivals", false, {{4, " refused"}, {5, " failed"}}}};

// Columns: time in s, arrivals, then shares and percentiles, each the mean over the variant's plays.
std::string Data(const Results& results, const std::string& variant) {
  std::map<double, std::pair<int, std::array<double, 6>>> rows;
  for (const Play& play : results.plays) {
    if (play.variant != variant) continue;
    for (const Window& w : play.windows) {
      auto& [count, sums] = rows[w.at];
      const double arrived = std::max(1.0, static_cast<double>(w.arrived));
      const double values[] = {static_cast<double>(w.arrived),
                               static_cast<double>(w.in_aim) / arrived,
                               static_cast<double>(w.refused) / arrived,
                               static_cast<double>(w.failed) / arrived,
                               w.p50,
                               w.p99};
      ++count;
      for (std::size_t i = 0; i < sums.size(); ++i) sums[i] += values[i];
    }
  }
  std::string text;
  for (const auto& [at, row] : rows) {
    text += fmt::format("{:.3f}", at / 1000);
    for (const double sum : row.second) text += fmt::format(" {:.6g}", sum / row.first);
    text += "\n";
  }
  return text;
}

std::string Read(const std::filesystem::path& path) {
  std::stringstream text;
  text << std::ifstream(path, std::ios::binary).rdbuf();
  return text.str();
}

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    out += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return out;
}

std::string Script(const Results& results, const std::vector<std::string>& variants) {
  std::string script =
      "set terminal svg size 960,320 dynamic background rgb 'white'\nset encoding utf8\n"
      "set key outside right noenhanced\nset grid ytics lc rgb '#dddddd'\nset xlabel 's'\nset style data "
      "lines\n";
  const auto& events = results.plays.front().events;
  for (const Chart& chart : kCharts) {
    script += fmt::format("set output '{}.svg'\nset title '{}'\nset ylabel '{}'\n", chart.file, chart.title,
                          chart.axis);
    script +=
        chart.logarithmic ? "set logscale y\nset autoscale y\n" : "unset logscale y\nset yrange [0:1.02]\n";
    script += "unset arrow\nunset label\n";
    int row = 0;
    for (const auto& [at, what] : events) {
      if (at < 0) continue;
      script +=
          fmt::format("set arrow from {0},graph 0 to {0},graph 1 nohead lc rgb '#cc8888' dt 2\n", at / 1000);
      script += fmt::format("set label {} at {},graph {:.2f} font ',9' tc rgb '#884444' noenhanced\n",
                            GnuplotQuoted(what), at / 1000, 0.96 - 0.07 * (row++ % 5));
    }
    script += "plot ";
    for (std::size_t i = 0; i < variants.size(); ++i) {
      for (std::size_t c = 0; c < chart.columns.size(); ++c) {
        script += fmt::format("{}'{}.dat' using 1:{} lw 2 lc {} dt {} title '{}{}'", i + c == 0 ? "" : ", ",
                              variants[i], chart.columns[c].first, i + 1, c == 0 ? 1 : 2, variants[i],
                              chart.columns[c].second);
      }
    }
    script += "\n";
  }
  return script;
}

}  // namespace

void Plot(const Results& results, const std::string& folder) {
  if (results.plays.empty()) throw std::runtime_error("the result holds no play");
  const std::filesystem::path at(folder);
  MakeFolder(at);
  const std::vector<std::string> variants = Variants(results);
  for (const std::string& variant : variants) WriteTextFile(at / (variant + ".dat"), Data(results, variant));
  WriteTextFile(at / "plot.gnuplot", Script(results, variants));
  RunGnuplot(at, "plot.gnuplot");
  std::string html = fmt::format(
      "<!doctype html>\n<html><head><meta "
      "charset=\"utf-8\"><title>{0}</title><style>body{{font-family:sans-serif;"
      "max-width:62em;margin:2em auto;padding:0 "
      "1em}}pre{{overflow-x:auto}}svg{{max-width:100%;height:auto}}</style>"
      "</head><body>\n<h1>{0}</h1>\n<p>{1}</p>\n",
      Escaped(results.experiment), Escaped(results.about));
  for (const Chart& chart : kCharts) {
    std::string svg = Read(at / (std::string(chart.file) + ".svg"));
    svg.erase(0, svg.find("<svg"));  // the XML head has no place within a page
    html += svg + "\n";
  }
  html += "<h2>Figures</h2>\n<pre>" + Escaped(Summary(results)) + "</pre>\n<h2>Events</h2>\n<pre>";
  for (const Play& play : results.plays) {
    for (const auto& [when, what] : play.events) {
      if (when >= 0) {
        html +=
            Escaped(fmt::format("{:9.3f} s  {} (seed {}): {}\n", when / 1000, play.variant, play.seed, what));
      }
    }
    for (const std::string& breach : play.breaches)
      html += Escaped(fmt::format("{} (seed {}): {}\n", play.variant, play.seed, breach));
  }
  WriteTextFile(at / "report.html", html + "</pre>\n</body></html>\n");
}

}  // namespace gateway::lab
