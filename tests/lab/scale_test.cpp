// Tests of scale runs: experiment files, sweeps with synthetic costs, and small fleets of real processes. The
// tests check no absolute speeds or CPU times, because these depend on the machine.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "lab/http_server.hpp"
#include "lab/scale/fleet_measurer.hpp"
#include "lab/scale/gateway_configuration.hpp"
#include "lab/scale/hollow_comparison.hpp"
#include "lab/scale/hollow_gateway.hpp"
#include "lab/scale/request_queue.hpp"
#include "lab/scale/scale_experiment.hpp"
#include "lab/scale/scale_fit.hpp"
#include "lab/scale/scale_sweep.hpp"
#include "lab/scale/storms.hpp"
#include "lab/temporary_folder.hpp"
#include "proxy/config.hpp"
#include "proxy/gateway.hpp"

namespace gateway::lab {
namespace {

constexpr Millis kTestTimeoutMs = 120000;
const ScaleLimits kMachineLimits{12000, 300, 20000};
const ScalePrograms kPrograms{GATEWAYCTL_PROGRAM, GATEWAY_PROGRAM};

const std::string kSweepFile = R"(
name = "small"
axis = "hosts"
points = [1, 5, 20, 100]
full = 100
plays = 1
[fixed]
gateways_real = 1
gateways_hollow = 3
changes_per_s = 40
requests_per_s = 100
)";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

std::string ErrorOf(const std::string& text, const ScaleLimits& limits = kMachineLimits) {
  try {
    ParseScaleExperiment(text, "test.toml", limits);
  } catch (const base::ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(ScaleExperiment, ReadsEveryExperimentFileInTheRepository) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(EXPERIMENTS "/scale")) {
    const ScaleExperiment experiment = ReadScaleExperiment(entry.path().string(), kMachineLimits);
    EXPECT_EQ(experiment.name, entry.path().stem().string());
    EXPECT_FALSE(experiment.about.empty()) << experiment.name;
    ++files;
  }
  EXPECT_EQ(files, 9);
}

TEST(ScaleExperiment, ErrorOfAnInvalidFileNamesTheFileAndTheField) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {Replaced(kSweepFile, "axis = \"hosts\"", "axis = \"hostes\""), "axis: "},
      {Replaced(kSweepFile, "axis = \"hosts\"\n", ""), "axis: "},
      {Replaced(kSweepFile, "[1, 5, 20, 100]", "[1, 5, 100]"), "points: needs at least 4 points, but has 3"},
      {Replaced(kSweepFile, "[1, 5, 20, 100]", "[1, 20, 5, 100]"),
       "points: must be in ascending order, but 5 follows 20"},
      {Replaced(kSweepFile, "[1, 5, 20, 100]", "[10, 20, 50, 100]"),
       "points: must span two decades (a factor of 100), but the range is 10 to 100"},
      {Replaced(kSweepFile, "[1, 5, 20, 100]", "[1, 5, 20, \"x\"]"), "points: must be an array of numbers"},
      {Replaced(kSweepFile, "full = 100", "full = 2000"), "limited_by: missing"},
      {Replaced(kSweepFile, "full = 100", "full = -1"), "full: "},
      {Replaced(kSweepFile, "plays = 1", "plays = 0"), "plays: "},
      {Replaced(kSweepFile, "plays = 1", "plais = 1"), "plais"},
      {Replaced(kSweepFile, "gateways_real = 1", "gateways_real = 181"), "gateways_real: "},
      {Replaced(kSweepFile, "changes_per_s = 40", "changes_per_s = \"many\""),
       "changes_per_s: must be a number"},
      {Replaced(kSweepFile, "name = \"small\"", "name = \"Small One\""), "name: "}};
  for (const auto& [text, field] : cases) {
    const std::string error = ErrorOf(text);
    EXPECT_NE(error.find(field), std::string::npos) << "'" << error << "' does not contain '" << field << "'";
    EXPECT_EQ(error.rfind("test.toml:", 0), 0U) << error;
  }
  EXPECT_EQ(ErrorOf(kSweepFile), "");
}

TEST(ScaleExperiment, ErrorForAFleetAboveALimitNamesTheFieldTheEstimateAndTheLimit) {
  const std::string memory = ErrorOf(Replaced(kSweepFile, "gateways_hollow = 3", "gateways_hollow = 900000"));
  EXPECT_NE(memory.find("fixed: "), std::string::npos) << memory;
  EXPECT_NE(memory.find("MB of memory; the limit is 12000 MB"), std::string::npos) << memory;
  const std::string points = ErrorOf(Replaced(kSweepFile, "[1, 5, 20, 100]", "[1, 5, 20, 900000]"));
  EXPECT_NE(points.find("points: hosts = 900000 would take about "), std::string::npos) << points;
  const std::string processes =
      ErrorOf(Replaced(kSweepFile, "gateways_real = 1", "gateways_real = 150"), {12000, 100, 20000});
  EXPECT_NE(processes.find("would take 155 processes; the limit is 100"), std::string::npos) << processes;
  const std::string descriptors =
      ErrorOf(Replaced(kSweepFile, "gateways_hollow = 3", "gateways_hollow = 5000"), {12000, 300, 4000});
  EXPECT_NE(descriptors.find("descriptors in one process; the limit is 4000"), std::string::npos)
      << descriptors;
}

// Runs gatewayctl and returns its exit code and its output (stdout and stderr).
std::pair<int, std::string> RunProgram(const std::string& arguments) {
  const TemporaryFolder folder;
  const std::string output = (folder.path() / "output").string();
  const int status =
      std::system((std::string(GATEWAYCTL_PROGRAM) + " " + arguments + " >" + output + " 2>&1").c_str());
  std::stringstream text;
  text << std::ifstream(output).rdbuf();
  return {WEXITSTATUS(status), text.str()};
}

TEST(ScaleCommand, RejectsAFleetAboveTheLimitsBeforeStartingAnyProcess) {
  const TemporaryFolder folder;
  const std::filesystem::path good = folder.path() / "good.toml", oversized = folder.path() / "large.toml",
                              started = folder.path() / "started";
  std::ofstream(good) << kSweepFile;
  std::ofstream(oversized) << Replaced(kSweepFile, "gateways_hollow = 3", "gateways_hollow = 900000");
  // The valid experiment is the first argument. If the tool ran it, the gateway command would create the file
  // `started`.
  const auto [code, text] =
      RunProgram(fmt::format("lab scale {} {} --json-dir {} --gateway 'touch {}'", good.string(),
                             oversized.string(), folder.path().string(), started.string()));
  EXPECT_EQ(code, 2) << text;
  EXPECT_NE(text.find("large.toml"), std::string::npos) << text;
  EXPECT_NE(text.find("the limit is"), std::string::npos) << text;
  EXPECT_FALSE(std::filesystem::exists(started));
  EXPECT_FALSE(std::filesystem::exists(folder.path() / "small.json"));
}

// A measurer that computes the costs of each role by a formula and starts no processes.
class SyntheticCosts : public ScaleMeasurer {
 public:
  RoleMeasures Measure(double value, std::uint64_t seed) override {
    measured.emplace_back(value, seed);
    if (refused_from > 0 && value >= refused_from) throw PointRefusedError("refused at the start: too many");
    const double noise = 1 + (seed % 2 == 0 ? 0.01 : -0.01);
    return {{"quadratic", {{"cpu_rest_percent", (0.5 + 0.001 * value * value) * noise}}},
            {"linear", {{"cpu_rest_percent", (2 + 0.05 * value) * noise}}},
            {"load", {{"saturated", value > 50 ? 1.0 : 0.0}}}};
  }
  std::vector<std::pair<double, std::uint64_t>> measured;
  double refused_from = 0;
};

const ScaleFit& FitOf(const ScaleResult& result, const std::string& role) {
  return *std::ranges::find(result.fits, role, &ScaleFit::role);
}

ScaleExperiment SmallSweep() { return ParseScaleExperiment(kSweepFile, "small.toml", kMachineLimits); }

TEST(ScaleSweep, FitsAQuadraticModelToAQuadraticCostAndALineToALinearCost) {
  ScaleExperiment experiment = SmallSweep();
  experiment.runs = 3;
  experiment.full = 1000;
  SyntheticCosts costs;
  const ScaleResult result = RunSweep(experiment, costs, {});
  EXPECT_EQ(FitOf(result, "quadratic").model, GrowthModel::kQuadratic);
  EXPECT_NEAR(FitOf(result, "quadratic").at_full.value, 0.5 + 0.001 * 1000 * 1000, 50);
  EXPECT_TRUE(FitOf(result, "quadratic").at_full.extrapolated);
  EXPECT_EQ(FitOf(result, "linear").model, GrowthModel::kLinear);
  EXPECT_NEAR(FitOf(result, "linear").at_full.value, 2 + 0.05 * 1000, 3);
}

TEST(ScaleSweep, MeasuresAllRunsOfAPointBeforeTheNextPoint) {
  ScaleExperiment experiment = SmallSweep();
  experiment.runs = 2;
  experiment.seed = 7;
  SyntheticCosts costs;
  std::vector<std::string> progress;
  SweepOptions options;
  options.on_progress = [&](const std::string& line) { progress.push_back(line); };
  const ScaleResult result = RunSweep(experiment, costs, options);
  const std::vector<std::pair<double, std::uint64_t>> expected{{1, 7},  {1, 8},  {5, 7},   {5, 8},
                                                               {20, 7}, {20, 8}, {100, 7}, {100, 8}};
  EXPECT_EQ(costs.measured, expected);
  ASSERT_EQ(result.points.size(), 4U);
  for (const ScalePoint& point : result.points) {
    EXPECT_EQ(point.roles.at("quadratic").at("cpu_rest_percent").size(), 2U);
  }
  EXPECT_EQ(result.largest, 100);
  EXPECT_EQ(result.limited_by, "");
  EXPECT_FALSE(result.fixed.contains("hosts"));
  ASSERT_EQ(progress.size(), 8U);
  EXPECT_EQ(progress[0].find("saturated"), std::string::npos) << progress[0];
  EXPECT_NE(progress[7].find("the tool itself was saturated"), std::string::npos) << progress[7];
}

TEST(ScaleSweep, KeepsTheOtherPointsIfOneIsRefused) {
  SyntheticCosts costs;
  costs.refused_from = 100;
  const ScaleResult result = RunSweep(SmallSweep(), costs, {});
  ASSERT_EQ(result.points.size(), 3U);
  ASSERT_EQ(result.refused.size(), 1U);
  EXPECT_EQ(result.refused[0].value, 100);
  EXPECT_EQ(result.refused[0].reason, "refused at the start: too many");
  EXPECT_EQ(result.largest, 20);
  EXPECT_EQ(result.limited_by, "refused at the start: too many");
}

TEST(ScaleSweep, MeasuresNoPointAfterTheDeadlineAndRecordsAllAsRefused) {
  SyntheticCosts costs;
  SweepOptions options;
  options.deadline = base::MonotonicNow() - 1;
  const ScaleResult result = RunSweep(SmallSweep(), costs, options);
  EXPECT_TRUE(costs.measured.empty());
  EXPECT_EQ(result.refused.size(), 4U);
}

TEST(ScaleFleet, SweepWithRealProcessesReportsAllFigures) {
  ScaleExperiment experiment = SmallSweep();
  // In a window of w seconds, a gateway makes between floor(w / 2.5) and floor(w / 2) + 1 calls. The bounds
  // on the rate below need a window of over 10 s.
  experiment.windows = {50, 300, 11000};
  experiment.points = {2, 20, 60, 200};
  FleetMeasurer measurer(experiment, kPrograms, /*quick=*/false, base::MonotonicNow() + kTestTimeoutMs);
  const ScaleResult result = RunSweep(experiment, measurer, {});
  ASSERT_TRUE(result.refused.empty()) << result.refused[0].reason;
  // Writing the result as JSON and parsing it again also checks the file format.
  const ScaleResult parsed = FromJson(nlohmann::json::parse(ToJson(result).dump()));
  const std::map<std::string, std::vector<std::string>> expected{
      {"gateway",
       {"cpu_idle_percent", "cpu_rest_percent", "cpu_per_change_us", "cpu_per_whole_list_us",
        "cpu_per_request_us", "bytes_in_per_s", "bytes_out_per_s", "messages_in_per_s", "messages_out_per_s",
        "bytes_per_change", "bytes_per_whole_list", "memory_mb", "ready_ms", "added_ms_p50", "added_ms_p99",
        "bytes_per_scrape"}},
      {"hollow_gateway",
       {"cpu_rest_percent", "cpu_per_change_us", "bytes_in_per_s", "bytes_out_per_s", "messages_in_per_s",
        "memory_mb", "ready_ms", "change_to_gateway_ms_p50", "change_to_gateway_ms_p99",
        "change_to_gateway_ms_max"}},
      {"list_service",
       {"cpu_idle_percent", "cpu_rest_percent", "cpu_per_change_us", "cpu_per_whole_list_us",
        "bytes_in_per_s", "bytes_out_per_s", "messages_in_per_s", "messages_out_per_s", "bytes_per_change",
        "bytes_per_whole_list", "memory_mb", "ready_ms"}},
      {"load", {"cpu_busiest_percent", "saturated", "memory_mb"}}};
  ASSERT_EQ(parsed.points.size(), experiment.points.size());
  for (std::size_t i = 0; i < parsed.points.size(); ++i) {
    EXPECT_EQ(parsed.points[i].value, experiment.points[i]);
    for (const auto& [role, figures] : expected) {
      for (const std::string& figure : figures) {
        ASSERT_TRUE(parsed.points[i].roles.at(role).contains(figure)) << role << " " << figure;
        for (const double value : parsed.points[i].roles.at(role).at(figure)) {
          EXPECT_TRUE(std::isfinite(value) && value >= 0) << role << " " << figure;
        }
      }
    }
    EXPECT_EQ(parsed.points[i].roles.at("gateway").at("served_percent"), RunValues{100});
    EXPECT_EQ(parsed.points[i].roles.at("load").at("changes_failed"), RunValues{0});
    EXPECT_EQ(parsed.points[i].roles.at("load").at("renewals_failed"), RunValues{0});
    // A gateway without changes calls the list service every 2 to 2.5 s, which is 0.4 to 0.5 calls per
    // second. This rate does not depend on the machine's speed.
    const double calls = parsed.points[i].roles.at("gateway").at("messages_out_per_s")[0];
    EXPECT_TRUE(calls > 0.3 && calls < 0.6) << calls;
  }
  // The size of a complete list in bytes grows linearly with the number of hosts. It does not depend on the
  // machine's speed.
  const auto fit = std::ranges::find_if(parsed.fits, [](const ScaleFit& candidate) {
    return candidate.role == "list_service" && candidate.figure == "bytes_per_whole_list";
  });
  ASSERT_NE(fit, parsed.fits.end());
  EXPECT_EQ(fit->model, GrowthModel::kLinear);
  EXPECT_TRUE(fit->slope > 100 && fit->slope < 400) << fit->slope;
}

TEST(ScaleFleet, RecordsThePointAsRefusedIfAGatewayExitsAtTheStart) {
  ScaleExperiment experiment = SmallSweep();
  experiment.axis = ScaleAxis::kTenants;
  experiment.windows = {50, 100, 100};
  experiment.points = {10, 73000};
  experiment.fixed.gateways_hollow = 0;
  FleetMeasurer measurer(experiment, kPrograms, /*quick=*/false, base::MonotonicNow() + kTestTimeoutMs);
  const ScaleResult result = RunSweep(experiment, measurer, {});
  ASSERT_EQ(result.points.size(), 1U);
  ASSERT_EQ(result.refused.size(), 1U);
  EXPECT_EQ(result.refused[0].value, 73000);
  EXPECT_NE(result.refused[0].reason.find("list index too large"), std::string::npos)
      << result.refused[0].reason;
}

TEST(HollowGateways, CauseTheSameLoadOnTheListServiceAsRealGateways) {
  FleetSize size;
  size.hosts = 10;
  size.gateways_hollow = 5;
  size.changes_per_s = 30;
  // The numbers of calls that a real and a hollow gateway make without load differ by one if one of them
  // starts earlier. In 30 s, each makes at least 12 calls, so that this is within the tolerance of 10%.
  const HollowComparison comparison =
      CompareHollowGateways(kPrograms, size, {50, 2000, 30000}, 1, 1, base::MonotonicNow() + kTestTimeoutMs);
  EXPECT_TRUE(comparison.IsWithinTolerance(/*include_machine_dependent=*/false))
      << ToJson(comparison).dump(1);
  for (const LoadRatio& ratio : comparison.ratios) EXPECT_GT(ratio.real, 0) << ratio.figure;
}

TEST(HollowGateways, ComparisonFailsIfARatioIsOutsideTheTolerance) {
  HollowComparison comparison;
  EXPECT_FALSE(comparison.IsWithinTolerance(true));  // no ratios
  comparison.ratios = {{"rest_calls", 100, 109}, {"service_cpu_ms", 100, 120, true}};
  EXPECT_TRUE(comparison.IsWithinTolerance(/*include_machine_dependent=*/false));
  EXPECT_FALSE(comparison.IsWithinTolerance(/*include_machine_dependent=*/true));
  comparison.ratios[0].hollow = 89;
  EXPECT_FALSE(comparison.IsWithinTolerance(/*include_machine_dependent=*/false));
}

// A list service that answers every call with 503 and records the times of the calls.
class FailingListService {
 public:
  explicit FailingListService(boost::asio::io_context& io)
      : handlers_(std::make_shared<const ServerConnection::Handlers>(
            ServerConnection::Handlers{[this](const auto& connection, const HttpRequest&) {
                                         calls.push_back(base::MonotonicNow());
                                         connection->Answer(MakeResponse(503));
                                       },
                                       [](const auto&) {}})),
        addresses_(io),
        listener_(io, addresses_.Registry(), nullptr, [this](tcp::socket socket) {
          std::make_shared<ServerConnection>(std::move(socket), nullptr, handlers_)->Begin();
        }) {}
  tcp::endpoint address() const { return addresses_.Registry(); }
  tcp::endpoint gateway() const { return addresses_.Gateway(0); }
  std::vector<Millis> calls;  // arrival time of each call; base::MonotonicNow

 private:
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
  Addresses addresses_;
  Listener listener_;
};

gateway::proxy::Config ConfigFor(const FailingListService& service) {
  const TemporaryFolder folder;
  const std::string file = (folder.path() / "config.json").string();
  GatewayConfigInput input;
  input.listen = service.gateway();
  input.list_service = service.address();
  input.seed = 5;
  std::ofstream(file) << GatewayConfiguration({}, input).dump();
  return gateway::proxy::LoadConfig(
      [&](const char* name) { return std::string_view(name) == "NODE_CONFIG" ? file.c_str() : nullptr; });
}

// If a hollow gateway retried failed calls after other delays than a real one, it would cause a different
// load on the list service. The real and the hollow gateway have the same seed, so they draw the same delays.
// They share one event loop, so a slow machine delays both equally.
TEST(HollowGateways, BackOffLikeRealGatewaysAfterFailedCalls) {
  constexpr Millis kToleranceMs = 150;
  boost::asio::io_context io(1);
  FailingListService real_service(io), hollow_service(io);
  gateway::proxy::Gateway real(io, ConfigFor(real_service));
  HollowGateway hollow(io, ConfigFor(hollow_service), [](std::int64_t) {});
  io.run_for(std::chrono::seconds(6));
  const std::size_t common_calls = std::min(real_service.calls.size(), hollow_service.calls.size());
  EXPECT_GE(common_calls, 3U);
  // The run may end after the last call of one gateway and before the last call of the other.
  EXPECT_LE(std::max(real_service.calls.size(), hollow_service.calls.size()) - common_calls, 1U);
  for (std::size_t i = 0; i < common_calls; ++i) {
    EXPECT_NEAR(real_service.calls[i], hollow_service.calls[i], kToleranceMs) << "call " << i;
  }
}

TEST(Storms, ReportPeakTrafficAndConvergenceTimeOfBothStorms) {
  ScaleExperiment experiment;
  experiment.file = "storms.toml";
  experiment.name = "storms";
  experiment.kind = ScaleKind::kStorms;
  experiment.runs = 1;
  experiment.outage = 500;
  experiment.fixed.hosts = 20;
  experiment.fixed.gateways_real = 0;
  experiment.fixed.gateways_hollow = 30;
  experiment.quick_fixed = experiment.fixed;
  StormOptions options;
  options.deadline = base::MonotonicNow() + kTestTimeoutMs;
  const std::vector<StormResult> storms = RunStorms(experiment, kPrograms, options);
  ASSERT_EQ(storms.size(), 2U);
  EXPECT_EQ(storms[0].storm, "zone_starts");
  EXPECT_EQ(storms[1].storm, "list_service_returns");
  for (const StormResult& storm : storms) {
    EXPECT_GT(storm.peak_bytes_per_s, 0) << storm.storm;
    EXPECT_GT(storm.convergence_ms, 0) << storm.storm;
    EXPECT_EQ(storm.fixed.at("gateways_hollow"), 30);
  }
}

TEST(RequestQueue, CountsUnacceptedConnectionsAndUnreadRequests) {
  boost::asio::io_context io(1);
  boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  RequestQueue queue(acceptor.local_endpoint());
  EXPECT_EQ(queue.PendingRequests(), 0);
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 3; ++i) clients.emplace_back(io).connect(acceptor.local_endpoint());
  EXPECT_EQ(queue.PendingRequests(), 3);
  tcp::socket accepted = acceptor.accept();
  EXPECT_EQ(queue.PendingRequests(), 2);
  clients[0].write_some(boost::asio::buffer("GET", 3));
  EXPECT_EQ(queue.PendingRequests(), 3);
}

}  // namespace
}  // namespace gateway::lab
