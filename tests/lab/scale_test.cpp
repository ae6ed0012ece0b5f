// Scale runs: the files, the sweep with planted costs, and small fleets as processes. Rules are judged, never
// speeds.
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

constexpr Millis kTestWithin = 120000;
const ScaleLimits kLimits{12000, 300, 20000};
const ScalePrograms kPrograms{GATEWAYCTL_PROGRAM, GATEWAY_PROGRAM};

const std::string kSweep = R"(
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

std::string ErrorOf(const std::string& text, const ScaleLimits& limits = kLimits) {
  try {
    ParseScaleExperiment(text, "test.toml", limits);
  } catch (const base::ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(ScaleExperiment, EveryFileOfTheRepositoryIsRight) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(EXPERIMENTS "/scale")) {
    const ScaleExperiment e = ReadScaleExperiment(entry.path().string(), kLimits);
    EXPECT_EQ(e.name, entry.path().stem().string());
    EXPECT_FALSE(e.about.empty()) << e.name;
    ++files;
  }
  EXPECT_EQ(files, 9);
}

TEST(ScaleExperiment, NamesTheFieldOfAMalformedFile) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {Replaced(kSweep, "axis = \"hosts\"", "axis = \"hostes\""), "axis: "},
      {Replaced(kSweep, "axis = \"hosts\"\n", ""), "axis: "},
      {Replaced(kSweep, "[1, 5, 20, 100]", "[1, 5, 100]"), "points: needs at least 4"},
      {Replaced(kSweep, "[1, 5, 20, 100]", "[1, 20, 5, 100]"), "points: must rise"},
      {Replaced(kSweep, "[1, 5, 20, 100]", "[10, 20, 50, 100]"), "points: must span two decades"},
      {Replaced(kSweep, "[1, 5, 20, 100]", "[1, 5, 20, \"x\"]"), "points: must be an array of numbers"},
      {Replaced(kSweep, "full = 100", "full = 2000"), "limited_by: missing"},
      {Replaced(kSweep, "full = 100", "full = -1"), "full: "},
      {Replaced(kSweep, "plays = 1", "plays = 0"), "plays: "},
      {Replaced(kSweep, "plays = 1", "plais = 1"), "plais"},
      {Replaced(kSweep, "gateways_real = 1", "gateways_real = 181"), "gateways_real: "},
      {Replaced(kSweep, "changes_per_s = 40", "changes_per_s = \"many\""), "changes_per_s: must be a number"},
      {Replaced(kSweep, "name = \"small\"", "name = \"Small One\""), "name: "}};
  for (const auto& [text, field] : cases) {
    const std::string error = ErrorOf(text);
    EXPECT_NE(error.find(field), std::string::npos) << "'" << error << "' does not name " << field;
    EXPECT_EQ(error.rfind("test.toml:", 0), 0U) << error;
  }
  EXPECT_EQ(ErrorOf(kSweep), "");
}

TEST(ScaleExperiment, RefusesWhatTheMachineCantBearWithFieldEstimateAndLimit) {
  const std::string memory = ErrorOf(Replaced(kSweep, "gateways_hollow = 3", "gateways_hollow = 900000"));
  EXPECT_NE(memory.find("fixed: "), std::string::npos) << memory;
  EXPECT_NE(memory.find("MB of memory; the limit is 12000 MB"), std::string::npos) << memory;
  const std::string points = ErrorOf(Replaced(kSweep, "[1, 5, 20, 100]", "[1, 5, 20, 900000]"));
  EXPECT_NE(points.find("points: hosts = 900000 would take about "), std::string::npos) << points;
  const std::string processes =
      ErrorOf(Replaced(kSweep, "gateways_real = 1", "gateways_real = 150"), {12000, 100, 20000});
  EXPECT_NE(processes.find("would take 155 processes; the limit is 100"), std::string::npos) << processes;
  const std::string descriptors =
      ErrorOf(Replaced(kSweep, "gateways_hollow = 3", "gateways_hollow = 5000"), {12000, 300, 4000});
  EXPECT_NE(descriptors.find("descriptors in one process; the limit is 4000"), std::string::npos)
      << descriptors;
}

// Exit code and all output of the program.
std::pair<int, std::string> RunProgram(const std::string& arguments) {
  const TemporaryFolder folder;
  const std::string output = (folder.path() / "output").string();
  const int status =
      std::system((std::string(GATEWAYCTL_PROGRAM) + " " + arguments + " >" + output + " 2>&1").c_str());
  std::stringstream text;
  text << std::ifstream(output).rdbuf();
  return {WEXITSTATUS(status), text.str()};
}

TEST(ScaleCommand, RefusesAFileTooLargeBeforeAnythingIsStarted) {
  const TemporaryFolder folder;
  const std::filesystem::path good = folder.path() / "good.toml", large = folder.path() / "large.toml",
                              started = folder.path() / "started";
  std::ofstream(good) << kSweep;
  std::ofstream(large) << Replaced(kSweep, "gateways_hollow = 3", "gateways_hollow = 900000");
  // The gateway's command would leave a mark; the good file comes first.
  const auto [code, text] =
      RunProgram(fmt::format("lab scale {} {} --json-dir {} --gateway 'touch {}'", good.string(),
                             large.string(), folder.path().string(), started.string()));
  EXPECT_EQ(code, 2) << text;
  EXPECT_NE(text.find("large.toml"), std::string::npos) << text;
  EXPECT_NE(text.find("the limit is"), std::string::npos) << text;
  EXPECT_FALSE(std::filesystem::exists(started));
  EXPECT_FALSE(std::filesystem::exists(folder.path() / "small.json"));
}

// Costs by formula: what a real measurement gives, without processes.
class PlantedCosts : public ScaleMeasurer {
 public:
  RoleMeasures Measure(double value, std::uint64_t seed) override {
    measured.emplace_back(value, seed);
    if (refused_from > 0 && value >= refused_from) throw PointRefused("refused at the start: too many");
    const double noise = 1 + (seed % 2 == 0 ? 0.01 : -0.01);
    return {{"planted", {{"cpu_rest_percent", (0.5 + 0.001 * value * value) * noise}}},
            {"even", {{"cpu_rest_percent", (2 + 0.05 * value) * noise}}},
            {"load", {{"saturated", value > 50 ? 1.0 : 0.0}}}};
  }
  std::vector<std::pair<double, std::uint64_t>> measured;
  double refused_from = 0;
};

const ScaleFit& FitOf(const ScaleResult& result, const std::string& role) {
  return *std::ranges::find(result.fits, role, &ScaleFit::role);
}

ScaleExperiment SmallSweep() { return ParseScaleExperiment(kSweep, "small.toml", kLimits); }

TEST(ScaleSweep, FindsAPlantedQuadraticCost) {
  ScaleExperiment e = SmallSweep();
  e.runs = 3;
  e.full = 1000;
  PlantedCosts costs;
  const ScaleResult result = RunSweep(e, costs, {});
  EXPECT_EQ(FitOf(result, "planted").form, FitForm::kSquare);
  EXPECT_NEAR(FitOf(result, "planted").at_full.value, 0.5 + 0.001 * 1000 * 1000, 50);
  EXPECT_TRUE(FitOf(result, "planted").at_full.extrapolated);
  EXPECT_EQ(FitOf(result, "even").form, FitForm::kLinear);
  EXPECT_NEAR(FitOf(result, "even").at_full.value, 2 + 0.05 * 1000, 3);
}

TEST(ScaleSweep, MeasuresAllRunsOfEachPointInOrder) {
  ScaleExperiment e = SmallSweep();
  e.runs = 2;
  e.seed = 7;
  PlantedCosts costs;
  std::vector<std::string> notes;
  SweepOptions options;
  options.note = [&](const std::string& line) { notes.push_back(line); };
  const ScaleResult result = RunSweep(e, costs, options);
  const std::vector<std::pair<double, std::uint64_t>> wanted{{1, 7},  {1, 8},  {5, 7},   {5, 8},
                                                             {20, 7}, {20, 8}, {100, 7}, {100, 8}};
  EXPECT_EQ(costs.measured, wanted);
  ASSERT_EQ(result.points.size(), 4U);
  for (const ScalePoint& point : result.points) {
    EXPECT_EQ(point.roles.at("planted").at("cpu_rest_percent").size(), 2U);
  }
  EXPECT_EQ(result.largest, 100);
  EXPECT_EQ(result.limited_by, "");
  EXPECT_FALSE(result.fixed.contains("hosts"));
  ASSERT_EQ(notes.size(), 8U);
  EXPECT_EQ(notes[0].find("saturated"), std::string::npos) << notes[0];
  EXPECT_NE(notes[7].find("the tool itself was saturated"), std::string::npos) << notes[7];
}

TEST(ScaleSweep, RecordsARefusedPointAndGoesOn) {
  PlantedCosts costs;
  costs.refused_from = 100;
  const ScaleResult result = RunSweep(SmallSweep(), costs, {});
  ASSERT_EQ(result.points.size(), 3U);
  ASSERT_EQ(result.refused.size(), 1U);
  EXPECT_EQ(result.refused[0].value, 100);
  EXPECT_EQ(result.refused[0].why, "refused at the start: too many");
  EXPECT_EQ(result.largest, 20);
  EXPECT_EQ(result.limited_by, "refused at the start: too many");
}

TEST(ScaleSweep, EndsAtItsDeadlineAndSaysSo) {
  PlantedCosts costs;
  SweepOptions options;
  options.deadline = base::MonotonicNow() - 1;
  const ScaleResult result = RunSweep(SmallSweep(), costs, options);
  EXPECT_TRUE(costs.measured.empty());
  EXPECT_EQ(result.refused.size(), 4U);
}

TEST(ScaleFleet, ASweepAsProcessesHoldsAllFigures) {
  ScaleExperiment e = SmallSweep();
  e.windows = {50, 300, 2500};
  e.points = {2, 20, 60, 200};
  FleetMeasurer measurer(e, kPrograms, /*quick=*/false, base::MonotonicNow() + kTestWithin);
  const ScaleResult result = RunSweep(e, measurer, {});
  ASSERT_TRUE(result.refused.empty()) << result.refused[0].why;
  // As it is written and read again.
  const ScaleResult read = FromJson(nlohmann::json::parse(ToJson(result).dump()));
  const std::map<std::string, std::vector<std::string>> wanted{
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
  ASSERT_EQ(read.points.size(), e.points.size());
  for (std::size_t i = 0; i < read.points.size(); ++i) {
    EXPECT_EQ(read.points[i].value, e.points[i]);
    for (const auto& [role, figures] : wanted) {
      for (const std::string& figure : figures) {
        ASSERT_TRUE(read.points[i].roles.at(role).contains(figure)) << role << " " << figure;
        for (const double value : read.points[i].roles.at(role).at(figure)) {
          EXPECT_TRUE(std::isfinite(value) && value >= 0) << role << " " << figure;
        }
      }
    }
    EXPECT_EQ(read.points[i].roles.at("gateway").at("served_percent"), RunValues{100});
    EXPECT_EQ(read.points[i].roles.at("load").at("changes_failed"), RunValues{0});
    EXPECT_EQ(read.points[i].roles.at("load").at("renewals_failed"), RunValues{0});
    // Whatever its speed, a gateway at rest asks once every 2 to 2.5 s.
    const double calls = read.points[i].roles.at("gateway").at("messages_out_per_s")[0];
    EXPECT_TRUE(calls > 0.3 && calls < 0.6) << calls;
  }
  // A list is as long as its hosts: what is sent is no speed.
  const auto fit = std::ranges::find_if(read.fits, [](const ScaleFit& f) {
    return f.role == "list_service" && f.figure == "bytes_per_whole_list";
  });
  ASSERT_NE(fit, read.fits.end());
  EXPECT_EQ(fit->form, FitForm::kLinear);
  EXPECT_TRUE(fit->slope > 100 && fit->slope < 400) << fit->slope;
}

TEST(ScaleFleet, ASizeThatTheGatewayRefusesIsRecordedWithItsWords) {
  ScaleExperiment e = SmallSweep();
  e.axis = ScaleAxis::kTenants;
  e.windows = {50, 100, 100};
  e.points = {10, 73000};
  e.fixed.gateways_hollow = 0;
  FleetMeasurer measurer(e, kPrograms, /*quick=*/false, base::MonotonicNow() + kTestWithin);
  const ScaleResult result = RunSweep(e, measurer, {});
  ASSERT_EQ(result.points.size(), 1U);
  ASSERT_EQ(result.refused.size(), 1U);
  EXPECT_EQ(result.refused[0].value, 73000);
  EXPECT_NE(result.refused[0].why.find("list index too large"), std::string::npos) << result.refused[0].why;
}

TEST(HollowGateways, LoadTheListServiceAsRealOnesDo) {
  FleetSize size;
  size.hosts = 10;
  size.gateways_hollow = 5;
  size.changes_per_s = 30;
  const HollowComparison comparison =
      CompareHollowGateways(kPrograms, size, {50, 2000, 3000}, 1, 1, base::MonotonicNow() + kTestWithin);
  EXPECT_TRUE(comparison.Holds(/*speeds=*/false)) << ToJson(comparison).dump(1);
  for (const UseRatio& ratio : comparison.ratios) EXPECT_GT(ratio.real, 0) << ratio.figure;
}

TEST(HollowGateways, AComparisonOutsideItsBoundFails) {
  HollowComparison comparison;
  EXPECT_FALSE(comparison.Holds(true));  // nothing was compared
  comparison.ratios = {{"rest_calls", 100, 109}, {"service_cpu_ms", 100, 120, true}};
  EXPECT_TRUE(comparison.Holds(/*speeds=*/false));
  EXPECT_FALSE(comparison.Holds(/*speeds=*/true));
  comparison.ratios[0].hollow = 89;
  EXPECT_FALSE(comparison.Holds(/*speeds=*/false));
}

// A list service that answers every call with 503, and counts the calls.
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
  std::vector<Millis> calls;  // when they came

 private:
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
  Addresses addresses_;
  Listener listener_;
};

gateway::proxy::Config ConfigAt(const FailingListService& service) {
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

// With the same seed both back off by the same draws. They share one loop, so a slow machine delays both.
TEST(HollowGateways, BackOffAsRealOnesDo) {
  constexpr Millis kSameMoment = 150;
  boost::asio::io_context io(1);
  FailingListService for_real(io), for_hollow(io);
  gateway::proxy::Gateway real(io, ConfigAt(for_real));
  HollowGateway hollow(io, ConfigAt(for_hollow), [](std::int64_t) {});
  io.run_for(std::chrono::seconds(6));
  const std::size_t both = std::min(for_real.calls.size(), for_hollow.calls.size());
  EXPECT_GE(both, 3U);
  // The end of the time may lie between the two last calls.
  EXPECT_LE(std::max(for_real.calls.size(), for_hollow.calls.size()) - both, 1U);
  for (std::size_t i = 0; i < both; ++i) {
    EXPECT_NEAR(for_real.calls[i], for_hollow.calls[i], kSameMoment) << "call " << i;
  }
}

TEST(Storms, TellPeaksAndWhenAllAreCurrent) {
  ScaleExperiment e;
  e.file = "storms.toml";
  e.name = "storms";
  e.kind = ScaleKind::kStorms;
  e.runs = 1;
  e.outage = 500;
  e.fixed.hosts = 20;
  e.fixed.gateways_real = 0;
  e.fixed.gateways_hollow = 30;
  e.quick_fixed = e.fixed;
  StormOptions options;
  options.deadline = base::MonotonicNow() + kTestWithin;
  const std::vector<StormResult> storms = RunStorms(e, kPrograms, options);
  ASSERT_EQ(storms.size(), 2U);
  EXPECT_EQ(storms[0].storm, "zone_starts");
  EXPECT_EQ(storms[1].storm, "list_service_returns");
  for (const StormResult& storm : storms) {
    EXPECT_GT(storm.peak_bytes_per_s, 0) << storm.storm;
    EXPECT_GT(storm.all_current_ms, 0) << storm.storm;
    EXPECT_EQ(storm.fixed.at("gateways_hollow"), 30);
  }
}

TEST(RequestQueue, CountsConnectionsNotAcceptedAndRequestsNotRead) {
  boost::asio::io_context io(1);
  boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  RequestQueue queue(acceptor.local_endpoint());
  EXPECT_EQ(queue.Waiting(), 0);
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 3; ++i) clients.emplace_back(io).connect(acceptor.local_endpoint());
  EXPECT_EQ(queue.Waiting(), 3);
  tcp::socket accepted = acceptor.accept();
  EXPECT_EQ(queue.Waiting(), 2);
  clients[0].write_some(boost::asio::buffer("GET", 3));
  EXPECT_EQ(queue.Waiting(), 3);
}

}  // namespace
}  // namespace gateway::lab
