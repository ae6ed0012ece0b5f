#include "lab/scale/scale_fleet.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <fstream>
#include <string_view>
#include <utility>

namespace gateway::lab {
namespace {

using base::ClientConnection;
using boost::system::error_code;
using nlohmann::json;

constexpr std::string_view kMetricsCommand = "metrics\n";
constexpr Millis kStartTimeoutMs = 15000;
constexpr Millis kResponseTimeoutMs = 20000;
constexpr Millis kPollPeriodMs = 20;      // for the list service and the processes of hollow gateways
constexpr Millis kReadyPollPeriodMs = 5;  // for real gateways that are starting
constexpr int kMaxGatewaysWithoutInitialList = 400;  // larger fleets of hollow gateways start with a list
constexpr int kHollowAddressBase =
    200;  // last address octet of the first hollow process, in the address block of the run
constexpr std::uint16_t kControlPort = 3900;
constexpr std::uint16_t kClosedPort = 9;  // no process listens here
constexpr std::uint64_t kSeedsPerRun = 100000;
constexpr int kSpareWatchSlots = 2000;  // watches that the list service admits in addition to one per gateway
constexpr std::uint16_t kIsolatedGatewayPort = 3000;

// Returns the value of a metric of the list service in the Prometheus text format; 0 if it is missing.
double MetricOf(const std::string& text, const std::string& name) {
  const std::string line = "\nelderhead_registry_" + name + " ";
  const std::size_t at = text.find(line);
  return at == std::string::npos ? 0 : std::atof(text.c_str() + at + line.size());
}

}  // namespace

ListServiceCounts ParseListServiceCounts(const std::string& metrics) {
  const auto counter = [&](const char* name) { return MetricOf(metrics, name); };
  ListServiceCounts counts;
  counts.calls = counter("calls_total");
  counts.list_calls = counter("list_calls_total");
  counts.complete_lists = counter("whole_lists_total");
  counts.writes = counter("writes_total");
  counts.rejected = counter("turned_away_total");
  counts.bytes_in = counter("bytes_received_total");
  counts.bytes_out = counter("bytes_sent_total");
  counts.list_bytes_in = counter("list_bytes_received_total");
  counts.list_bytes_out = counter("list_bytes_sent_total");
  counts.watches = counter("watches");
  counts.revision = counter("revision");
  return counts;
}

json InitialHollowList(int gateways, const std::string& list) {
  return gateways > kMaxGatewaysWithoutInitialList ? json::parse(list) : json();
}

ScaleFleet::ScaleFleet(ScalePrograms programs, FleetSize size, std::uint64_t seed, Millis deadline)
    : programs_(std::move(programs)),
      size_(size),
      seed_(seed),
      loop_(deadline),
      addresses_(loop_.io()),
      hosts_(loop_, host_latencies_),
      members_(std::make_unique<FleetMembers>(loop_, addresses_.Registry(), size, hosts_.port(), seed)),
      processes_(loop_.io(), [this](const ProcessEnd& end) {
        if (logs_.contains(end.pid)) unexpected_exits_[end.pid] = end.StatusText();
      }) {}

ScaleFleet::~ScaleFleet() {
  logs_.clear();  // the handler does not record the following exits as unexpected
  processes_.KillAll();
}

void ScaleFleet::WriteFile(const std::filesystem::path& path, const std::string& text) const {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write '" + path.string() + "'");
}

std::string ScaleFleet::LastLine(const std::string& log) const {
  std::ifstream lines(log);
  std::string last;
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty()) last = line;
  }
  return last;
}

void ScaleFleet::CheckAlive() const {
  if (unexpected_exits_.empty()) return;
  const auto& [pid, status] = *unexpected_exits_.begin();
  throw PointRefusedError(fmt::format("refused at the start ({}): {}", status, LastLine(logs_.at(pid))));
}

std::optional<std::string> ScaleFleet::FetchBody(const tcp::endpoint& from, const std::string& target) {
  auto& connection = connections_[from];
  if (!connection || !connection->usable()) connection = std::make_shared<ClientConnection>(loop_.io(), from);
  std::optional<ClientConnection::Result> result;
  connection->Exchange(base::FormatGetRequest(target, "scale"), kResponseTimeoutMs,
                       [&](ClientConnection::Result got) { result = std::move(got); });
  loop_.RunUntil("a response of " + Addresses::Text(from) + " to GET " + target, 2 * kResponseTimeoutMs,
                 [&] { return result.has_value(); });
  CheckAlive();
  if (!result->ok()) return {};
  return std::move(result->response.body());
}

Millis ScaleFleet::StartListService() {
  const std::filesystem::path config = PathOf("registry.toml");
  WriteFile(config, fmt::format("listen = \"{}\"\nstate_dir = \"{}\"\n[watches]\ncallers = {}\n"
                                "whole_lists_per_s = {}\n[leases]\nterm_s = {}\n",
                                Addresses::Text(addresses_.Registry()), PathOf("registry-state").string(),
                                size_.gateways_real + size_.gateways_hollow + kSpareWatchSlots,
                                size_.complete_lists_per_s, size_.lease_term / 1000));
  ProcessSpec spec;
  spec.command = fmt::format("{} registry serve {}", programs_.gatewayctl, config.string());
  spec.log = PathOf("registry.log").string();
  const Millis started_at = base::MonotonicNow();
  list_service_pid_ = processes_.Start(spec);
  logs_[list_service_pid_] = spec.log;
  while (!FetchBody(addresses_.Registry(), "/registry/status")) {
    if (base::MonotonicNow() > started_at + kStartTimeoutMs)
      throw ScaleTimeout("timed out waiting for the list service to answer");
    loop_.RunFor(kPollPeriodMs);
  }
  return base::MonotonicNow() - started_at;
}

void ScaleFleet::KillListService() {
  logs_.erase(list_service_pid_);
  processes_.Signal(list_service_pid_, SIGKILL);
  list_service_pid_ = 0;
}

ListServiceCounts ScaleFleet::FetchCounts() {
  return ParseListServiceCounts(FetchBody(addresses_.Registry(), "/metrics").value_or(""));
}

std::string ScaleFleet::FetchCompleteList() {
  auto list = FetchBody(addresses_.Registry(), "/discovery/hosts");
  if (!list) throw std::runtime_error("the list service did not return its endpoint list");
  return std::move(*list);
}

tcp::endpoint ScaleFleet::AddressInBlock(int last, std::uint16_t port) const {
  return {addresses_.Gateway(last - 1).address(), port};
}

pid_t ScaleFleet::StartGateway(const std::string& name, const GatewayConfigInput& input) {
  const std::filesystem::path folder = PathOf(name), config = folder / "config.json";
  std::filesystem::create_directories(folder);
  WriteFile(config, GatewayConfiguration(size_, input).dump());
  ProcessSpec spec;
  spec.command = programs_.gateway;
  spec.log = (folder / "log").string();
  spec.variables = {{"NODE_NAME", name},
                    {"NODE_LISTEN", Addresses::Text(input.listen)},
                    {"NODE_DISCOVERY", Addresses::Text(input.list_service)},
                    {"NODE_CONFIG", config.string()},
                    {"TMPDIR", folder.string()}};
  const pid_t pid = processes_.Start(spec);
  logs_[pid] = spec.log;
  return pid;
}

pid_t ScaleFleet::StartIsolatedGateway(const json& initial_list) {
  GatewayConfigInput input;
  input.listen = AddressInBlock(kHollowAddressBase - ++isolated_gateways_, kIsolatedGatewayPort);
  input.list_service = AddressInBlock(kHollowAddressBase - isolated_gateways_, kClosedPort);
  input.seed = seed_ * kSeedsPerRun;
  input.initial_list = initial_list;
  return StartGateway(fmt::format("lone-{}", isolated_gateways_), input);
}

void ScaleFleet::Kill(pid_t pid) {
  logs_.erase(pid);
  processes_.Signal(pid, SIGKILL);
}

void ScaleFleet::StartRealGateways() {
  std::vector<tcp::endpoint> addresses;
  for (int g = 0; g < size_.gateways_real; ++g) {
    GatewayConfigInput input;
    input.index = g;
    input.listen = addresses_.Gateway(g);
    input.list_service = addresses_.Registry();
    input.seed = seed_ * kSeedsPerRun + static_cast<std::uint64_t>(g);
    RealGateway& gateway = real_.emplace_back();
    gateway.address = input.listen;
    gateway.management = addresses_.Management(g, 0);
    input.management = gateway.management;
    gateway.started_at = base::MonotonicNow();
    gateway.pid = StartGateway(fmt::format("gateway-{}", g), input);
    addresses.push_back(input.listen);
  }
  const Millis until = base::MonotonicNow() + kStartTimeoutMs;
  for (bool all_ready = false; !all_ready;) {
    all_ready = true;
    for (RealGateway& gateway : real_) {
      if (gateway.ready_at > 0) continue;
      if (FetchBody(gateway.address, "/up")) gateway.ready_at = base::MonotonicNow();
      all_ready = all_ready && gateway.ready_at > 0;
    }
    if (all_ready) break;
    if (base::MonotonicNow() > until)
      throw ScaleTimeout("timed out waiting for a real gateway to become ready");
    loop_.RunFor(kReadyPollPeriodMs);
  }
  requests_ = std::make_unique<RequestLoad>(loop_, host_latencies_, std::move(addresses), size_, seed_);
}

double ScaleFleet::ScrapeBytes(const RealGateway& gateway) {
  tcp::socket socket(loop_.io());
  std::string text;
  bool done = false;
  socket.async_connect(gateway.management, [&](error_code connect_ec) {
    if (connect_ec) return void(done = true);
    boost::asio::async_write(socket, boost::asio::buffer(kMetricsCommand),
                             [&](error_code write_ec, std::size_t) {
                               if (write_ec) return void(done = true);
                               boost::asio::async_read(socket, boost::asio::dynamic_buffer(text),
                                                       [&](error_code, std::size_t) { done = true; });
                             });
  });
  loop_.RunUntil("the gateway's response to the management command 'metrics'", kResponseTimeoutMs,
                 [&] { return done; });
  return static_cast<double>(text.size());
}

void ScaleFleet::StartHollowGateways(int first, int count, const json& initial_list) {
  const int processes = HollowProcessCount(count);
  for (int p = 0, started_count = 0; p < processes; ++p) {
    const int number = static_cast<int>(hollow_.size());
    HollowProcess& process = hollow_.emplace_back();
    process.gateways = (count - started_count) / (processes - p);
    process.control = AddressInBlock(kHollowAddressBase + number, kControlPort);
    GatewayConfigInput input;
    input.index = size_.gateways_real + first + started_count;
    input.listen = process.control;
    input.list_service = addresses_.Registry();
    input.seed = seed_ * kSeedsPerRun + static_cast<std::uint64_t>(input.index);
    input.initial_list = initial_list;
    const std::string name = fmt::format("hollow-{}", number);
    const std::filesystem::path config = PathOf(name + ".json");
    WriteFile(config, GatewayConfiguration(size_, input).dump());
    ProcessSpec spec;
    spec.command =
        fmt::format("{} lab hollow-gateways {} --count {} --first {} --control {}", programs_.gatewayctl,
                    config.string(), process.gateways, input.index, Addresses::Text(process.control));
    spec.log = PathOf(name + ".log").string();
    process.started_at = base::MonotonicNow();
    process.pid = processes_.Start(spec);
    logs_[process.pid] = spec.log;
    started_count += process.gateways;
  }
}

HollowState ScaleFleet::StateOf(const HollowProcess& process) {
  const json body =
      json::parse(FetchBody(process.control, "/state").value_or(""), nullptr, /*allow_exceptions=*/false);
  return body.is_object() ? HollowStateFromJson(body) : HollowState{};
}

Millis ScaleFleet::WaitForHollowReady(Millis timeout, std::size_t from) {
  const Millis until = base::MonotonicNow() + timeout;
  Millis last = 0;
  for (std::size_t i = from; i < hollow_.size(); ++i) {
    HollowState state;
    while ((state = StateOf(hollow_[i])).all_ready_at <= 0) {
      if (base::MonotonicNow() > until) {
        throw ScaleTimeout(
            fmt::format("timed out waiting for all hollow gateways to start: {} of {} are ready", state.ready,
                        state.gateways));
      }
      loop_.RunFor(kPollPeriodMs);
    }
    last = std::max(last, state.all_ready_at);
  }
  return from < hollow_.size() ? last - hollow_[from].started_at : 0;
}

void ScaleFleet::WaitForHollowRevision(std::int64_t revision, Millis timeout) {
  const Millis until = base::MonotonicNow() + timeout;
  for (const HollowProcess& process : hollow_) {
    while (StateOf(process).oldest_revision < revision) {
      if (base::MonotonicNow() > until)
        throw ScaleTimeout("timed out waiting for the latest revision at all hollow gateways");
      loop_.RunFor(kPollPeriodMs);
    }
  }
}

RevisionArrivals ScaleFleet::TakeRevisionArrivals() {
  RevisionArrivals all_arrivals;
  for (const HollowProcess& process : hollow_) {
    const json body =
        json::parse(FetchBody(process.control, "/news").value_or(""), nullptr, /*allow_exceptions=*/false);
    if (!body.is_array())
      throw std::runtime_error("a process of hollow gateways did not answer GET /news: " +
                               Addresses::Text(process.control));
    std::ranges::move(RevisionArrivalsFromJson(body), std::back_inserter(all_arrivals));
  }
  return all_arrivals;
}

}  // namespace gateway::lab
