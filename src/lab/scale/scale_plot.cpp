#include "lab/scale/scale_plot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "lab/gnuplot.hpp"
#include "lab/scale/scale_fit.hpp"
#include "lab/temporary_folder.hpp"

namespace gateway::lab {
namespace {

constexpr std::size_t kGnuplotColours = 8;  // gnuplot repeats its colours after this number of lines

// Figures that one plot shows. A figure belongs to the group if its name has the prefix and one of the
// suffixes.
struct FigureGroup {
  std::string_view name;
  std::string_view label;
  std::string_view prefix;
  std::vector<std::string_view> suffixes;
};

const std::vector<FigureGroup> kFigureGroups{{"processor", "% of a core", "cpu_", {"_percent"}},
                                             {"processor-time", "us", "cpu_", {"_us"}},
                                             {"traffic", "bytes/s", "bytes_", {"_per_s"}},
                                             {"messages", "messages/s", "messages_", {"_per_s"}},
                                             {"size", "bytes", "bytes_per_", {"_change", "_whole_list"}},
                                             {"memory", "MB", "memory_", {"_mb"}},
                                             {"time", "ms", "", {"_ms", "_ms_p50", "_ms_p99", "_ms_max"}}};

// One figure of one role, drawn in one colour.
struct Line {
  std::string role, figure;
  std::string points;  // rows of size and value, one per run
  const ScaleFit* fit = nullptr;
};

bool IsInGroup(const FigureGroup& group, const std::string& figure) {
  if (!figure.starts_with(group.prefix)) return false;
  return std::any_of(group.suffixes.begin(), group.suffixes.end(),
                     [&](std::string_view suffix) { return figure.ends_with(suffix); });
}

const ScaleFit* FitOf(const ScaleResult& result, const std::string& role, const std::string& figure) {
  for (const ScaleFit& fit : result.fits) {
    if (fit.role == role && fit.figure == figure) return &fit;
  }
  return nullptr;
}

Line& LineOf(std::vector<Line>& lines, const std::string& role, const std::string& figure) {
  for (Line& line : lines) {
    if (line.role == role && line.figure == figure) return line;
  }
  lines.push_back({role, figure, "", nullptr});
  return lines.back();
}

std::vector<Line> LinesOf(const ScaleResult& result, const FigureGroup& group) {
  std::vector<Line> lines;
  for (const ScalePoint& point : result.points) {
    for (const auto& [role, figures] : point.roles) {
      for (const auto& [figure, values] : figures) {
        if (!IsInGroup(group, figure)) continue;
        Line& line = LineOf(lines, role, figure);
        for (const double value : values) line.points += fmt::format("{:.9g} {:.9g}\n", point.value, value);
      }
    }
  }
  for (Line& line : lines) line.fit = FitOf(result, line.role, line.figure);
  return lines;
}

// Returns the fitted curve as a gnuplot expression in x.
std::string Expression(const ScaleFit& fit) {
  switch (fit.model) {
    case GrowthModel::kConstant: return fmt::format("{:.9g}", fit.offset);
    case GrowthModel::kLinear: return fmt::format("{:.9g}+{:.9g}*x", fit.offset, fit.slope);
    case GrowthModel::kNLogN: return fmt::format("{:.9g}+{:.9g}*x*log(x)", fit.offset, fit.slope);
    case GrowthModel::kQuadratic: return fmt::format("{:.9g}+{:.9g}*x*x", fit.offset, fit.slope);
  }
  return "0";
}

std::string Title(const Line& line) {
  std::string title = line.role + " " + line.figure;
  if (line.fit != nullptr) title += fmt::format(" ({})", GrowthModelName(line.fit->model));
  return title;
}

// The range of sizes on the x axis. The axis is logarithmic, so the range is positive.
struct Range {
  double from = 1, to = 1;
};

Range RangeOf(const ScaleResult& result) {
  Range range{std::max(1.0, result.full), std::max({1.0, result.full, result.largest})};
  for (const ScalePoint& point : result.points) {
    if (point.value > 0) range.from = std::min(range.from, point.value);
  }
  if (range.to <= range.from) range.to = 2 * range.from;
  return range;
}

std::string Header(const ScaleResult& result, const FigureGroup& group, const std::filesystem::path& file) {
  const Range range = RangeOf(result);
  std::string script =
      "set terminal svg size 960,360 dynamic background rgb 'white'\nset encoding utf8\n"
      "set key outside right noenhanced\nset grid ytics lc rgb '#dddddd'\nset samples 400\n"
      "set logscale x\nset yrange [0:*]\n";
  script += fmt::format("set output {}\n", GnuplotQuoted(file.string()));
  script += fmt::format("set title {} noenhanced\n", GnuplotQuoted(result.name + ": " + result.about));
  script += fmt::format("set xlabel {} noenhanced\n", GnuplotQuoted(result.unit));
  script += fmt::format("set ylabel {} noenhanced\n", GnuplotQuoted(std::string(group.label)));
  script += fmt::format("set xrange [{:.9g}:{:.9g}]\n", range.from, range.to);
  if (result.largest < range.to) {
    script += fmt::format("set arrow from {0:.9g},graph 0 to {0:.9g},graph 1 nohead lc rgb '#cc8888' dt 2\n",
                          std::max(result.largest, range.from));
    script += fmt::format("set label 'largest measured' at {:.9g},graph 0.95 font ',9' tc rgb '#884444'\n",
                          std::max(result.largest, range.from));
  }
  return script;
}

std::string Script(const ScaleResult& result, const FigureGroup& group, const std::vector<Line>& lines,
                   const std::filesystem::path& file) {
  std::string script = Header(result, group, file);
  std::string plot = "plot ";
  for (std::size_t i = 0; i < lines.size(); ++i) {
    script += fmt::format("$line{} << END_OF_POINTS\n{}END_OF_POINTS\n", i, lines[i].points);
    if (i > 0) plot += ", ";
    const std::size_t colour = 1 + i % kGnuplotColours, style = 1 + i / kGnuplotColours;
    plot += fmt::format("$line{} using 1:2 with points pt {} ps 0.6 lc {} title {}", i, 2 * style + 5, colour,
                        GnuplotQuoted(Title(lines[i])));
    if (lines[i].fit == nullptr) continue;
    plot += fmt::format(", {} with lines lw 2 lc {} dt {} notitle", Expression(*lines[i].fit), colour, style);
  }
  return script + plot + "\n";
}

}  // namespace

std::vector<std::filesystem::path> WriteScalePlots(const ScaleResult& result,
                                                   const std::filesystem::path& folder) {
  MakeFolder(folder);
  const TemporaryFolder scripts;
  std::vector<std::filesystem::path> written;
  for (const FigureGroup& group : kFigureGroups) {
    const std::vector<Line> lines = LinesOf(result, group);
    if (lines.empty()) continue;
    const auto file = std::filesystem::absolute(folder) / fmt::format("{}-{}.svg", result.name, group.name);
    const std::string script = fmt::format("{}.gnuplot", group.name);
    WriteTextFile(scripts.path() / script, Script(result, group, lines, file));
    RunGnuplot(scripts.path(), script);
    written.push_back(file);
  }
  return written;
}

}  // namespace gateway::lab
