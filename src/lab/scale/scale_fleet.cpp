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

constexpr std::string_view kScrape = "metrics\n";
constexpr Millis kStartTimeout = 15000;
constexpr Millis kAnswerTimeout = 20000;
constexpr Millis kPollPeriod = 20;      // the list service, and hollow processes
constexpr Millis kReadyPollPeriod = 5;  // a real gateway whether it takes clients
constexpr int kMaxEmptyStarts = 400;    // hollow gateways that may start without a list
constexpr int kHollowBlock = 200;       // last numbers of addresses, in the run's block
constexpr std::uint16_t kControlPort = 3900;
constexpr std::uint16_t kUnusedPort = 9;
constexpr std::uint64_t kSeedsPerRun = 100000;

// A counter of Prometheus' text form; 0 where it is missing.
double CounterOf(const std::string& text, const std::string& name) {
  const std::string line = "\nelderhead_registry_" + name + " ";
  const std::size_t at = text.find(line);
  return at == std::string::npos ? 0 : std::atof(text.c_str() + at + line.size());
}

}  // namespace

ListServiceCounts ParseListServiceCounts(const std::string& metrics) {
  const auto counter = [&](const char* name) { return CounterOf(metrics, name); };
  ListServiceCounts c;
  c.calls = counter("calls_total");
  c.list_calls = counter("list_calls_total");
  c.whole_lists = counter("whole_lists_total");
  c.writes = counter("writes_total");
  c.turned_away = counter("turned_away_total");
  c.bytes_in = counter("bytes_received_total");
  c.bytes_out = counter("bytes_sent_total");
  c.list_bytes_in = counter("list_bytes_received_total");
  c.list_bytes_out = counter("list_bytes_sent_total");
  c.watches = counter("watches");
  c.revision = counter("revision");
  return c;
}

json HollowStartList(int gateways, const std::string& list) {
  return gateways > kMaxEmptyStarts ? json::parse(list) : json();
}

ScaleFleet::ScaleFleet(ScalePrograms programs, FleetSize size, std::uint64_t seed, Millis deadline)
    : programs_(std::move(programs)),
      size_(size),
      seed_(seed),
      loop_(deadline),
      addresses_(loop_.io()),
      hosts_(loop_, host_times_),
      members_(std::make_unique<FleetMembers>(loop_, addresses_.Registry(), size, hosts_.port(), seed)),
      processes_(loop_.io(), [this](const ProcessEnd& end) {
        if (logs_.contains(end.pid)) ended_[end.pid] = end.StatusText();
      }) {}

ScaleFleet::~ScaleFleet() {
  logs_.clear();  // they end as they should
  processes_.KillAll();
}

void ScaleFleet::Write(const std::filesystem::path& path, const std::string& text) const {
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

// A process that ended by itself does not run at this size.
void ScaleFleet::CheckAlive() const {
  if (ended_.empty()) return;
  const auto& [pid, how] = *ended_.begin();
  throw PointRefused(fmt::format("refused at the start ({}): {}", how, LastLine(logs_.at(pid))));
}

std::optional<std::string> ScaleFleet::Get(const tcp::endpoint& from, const std::string& target) {
  auto& connection = connections_[from];
  if (!connection || !connection->usable()) connection = std::make_shared<ClientConnection>(loop_.io(), from);
  std::optional<ClientConnection::Result> result;
  connection->Exchange(base::FormatGetRequest(target, "scale"), kAnswerTimeout,
                       [&](ClientConnection::Result got) { result = std::move(got); });
  loop_.RunUntil("an answer to " + target, 2 * kAnswerTimeout, [&] { return result.has_value(); });
  CheckAlive();
  if (!result->ok()) return {};
  return std::move(result->response.body());
}

Millis ScaleFleet::StartListService() {
  const std::filesystem::path config = At("registry.toml");
  Write(config, fmt::format("listen = \"{}\"\nstate_dir = \"{}\"\n[watches]\ncallers = {}\n"
                            "whole_lists_per_s = {}\n[leases]\nterm_s = {}\n",
                            Addresses::Text(addresses_.Registry()), At("registry-state").string(),
                            size_.gateways_real + size_.gateways_hollow + 2000, size_.whole_lists_per_s,
                            size_.lease_term / 1000));
  ProcessSpec spec;
  spec.command = fmt::format("{} registry serve {}", programs_.gatewayctl, config.string());
  spec.log = At("registry.log").string();
  const Millis begun = base::MonotonicNow();
  list_service_pid_ = processes_.Start(spec);
  logs_[list_service_pid_] = spec.log;
  while (!Get(addresses_.Registry(), "/registry/status")) {
    if (base::MonotonicNow() > begun + kStartTimeout) throw ScaleTimeout("the list service does not answer");
    loop_.RunFor(kPollPeriod);
  }
  return base::MonotonicNow() - begun;
}

void ScaleFleet::KillListService() {
  logs_.erase(list_service_pid_);
  processes_.Signal(list_service_pid_, SIGKILL);
  list_service_pid_ = 0;
}

ListServiceCounts ScaleFleet::Counts() {
  return ParseListServiceCounts(Get(addresses_.Registry(), "/metrics").value_or(""));
}

std::string ScaleFleet::CompleteList() {
  auto list = Get(addresses_.Registry(), "/discovery/hosts");
  if (!list) throw std::runtime_error("the list service does not tell its list");
  return std::move(*list);
}

tcp::endpoint ScaleFleet::Place(int last, std::uint16_t port) const {
  return {addresses_.Gateway(last - 1).address(), port};
}

pid_t ScaleFleet::StartGateway(const std::string& name, const GatewayConfigInput& input) {
  const std::filesystem::path folder = At(name), config = folder / "config.json";
  std::filesystem::create_directories(folder);
  Write(config, GatewayConfiguration(size_, input).dump());
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

pid_t ScaleFleet::StartLoneGateway(const json& known) {
  GatewayConfigInput input;
  input.listen = Place(kHollowBlock - ++lone_, 3000);
  input.list_service = Place(kHollowBlock - lone_, kUnusedPort);
  input.seed = seed_ * kSeedsPerRun;
  input.known = known;
  return StartGateway(fmt::format("lone-{}", lone_), input);
}

void ScaleFleet::End(pid_t pid) {
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
  const Millis until = base::MonotonicNow() + kStartTimeout;
  for (bool all = false; !all;) {
    all = true;
    for (RealGateway& gateway : real_) {
      if (gateway.ready_at > 0) continue;
      if (Get(gateway.address, "/up")) gateway.ready_at = base::MonotonicNow();
      all = all && gateway.ready_at > 0;
    }
    if (all) break;
    if (base::MonotonicNow() > until) throw ScaleTimeout("a real gateway does not become ready");
    loop_.RunFor(kReadyPollPeriod);
  }
  requests_ = std::make_unique<RequestLoad>(loop_, host_times_, std::move(addresses), size_, seed_);
}

double ScaleFleet::ScrapeBytes(const RealGateway& gateway) {
  tcp::socket socket(loop_.io());
  std::string text;
  bool done = false;
  socket.async_connect(gateway.management, [&](error_code connect_ec) {
    if (connect_ec) return void(done = true);
    boost::asio::async_write(socket, boost::asio::buffer(kScrape), [&](error_code write_ec, std::size_t) {
      if (write_ec) return void(done = true);
      boost::asio::async_read(socket, boost::asio::dynamic_buffer(text),
                              [&](error_code, std::size_t) { done = true; });
    });
  });
  loop_.RunUntil("the gateway's answer to its operators", kAnswerTimeout, [&] { return done; });
  return static_cast<double>(text.size());
}

void ScaleFleet::StartHollowGateways(int first, int count, const json& known) {
  const int processes = HollowProcesses(count);
  for (int p = 0, begun = 0; p < processes; ++p) {
    const int number = static_cast<int>(hollow_.size());
    HollowGroup& group = hollow_.emplace_back();
    group.gateways = (count - begun) / (processes - p);
    group.control = Place(kHollowBlock + number, kControlPort);
    GatewayConfigInput input;
    input.index = size_.gateways_real + first + begun;
    input.listen = group.control;
    input.list_service = addresses_.Registry();
    input.seed = seed_ * kSeedsPerRun + static_cast<std::uint64_t>(input.index);
    input.known = known;
    const std::string name = fmt::format("hollow-{}", number);
    const std::filesystem::path config = At(name + ".json");
    Write(config, GatewayConfiguration(size_, input).dump());
    ProcessSpec spec;
    spec.command =
        fmt::format("{} lab hollow-gateways {} --count {} --first {} --control {}", programs_.gatewayctl,
                    config.string(), group.gateways, input.index, Addresses::Text(group.control));
    spec.log = At(name + ".log").string();
    group.started_at = base::MonotonicNow();
    group.pid = processes_.Start(spec);
    logs_[group.pid] = spec.log;
    begun += group.gateways;
  }
}

HollowState ScaleFleet::StateOf(const HollowGroup& group) {
  const json form =
      json::parse(Get(group.control, "/state").value_or(""), nullptr, /*allow_exceptions=*/false);
  return form.is_object() ? HollowStateFromJson(form) : HollowState{};
}

Millis ScaleFleet::WaitForHollowReady(Millis timeout, std::size_t from) {
  const Millis until = base::MonotonicNow() + timeout;
  Millis last = 0;
  for (std::size_t i = from; i < hollow_.size(); ++i) {
    HollowState state;
    while ((state = StateOf(hollow_[i])).all_ready_at <= 0) {
      if (base::MonotonicNow() > until) {
        throw ScaleTimeout(
            fmt::format("the start of all hollow gateways did not happen in time: {} of {} are ready",
                        state.ready, state.gateways));
      }
      loop_.RunFor(kPollPeriod);
    }
    last = std::max(last, state.all_ready_at);
  }
  return from < hollow_.size() ? last - hollow_[from].started_at : 0;
}

void ScaleFleet::WaitForHollowRevision(std::int64_t revision, Millis timeout) {
  const Millis until = base::MonotonicNow() + timeout;
  for (const HollowGroup& group : hollow_) {
    while (StateOf(group).oldest_revision < revision) {
      if (base::MonotonicNow() > until)
        throw ScaleTimeout("the news of all hollow gateways did not come in time");
      loop_.RunFor(kPollPeriod);
    }
  }
}

RevisionArrivals ScaleFleet::TakeRevisionArrivals() {
  RevisionArrivals all;
  for (const HollowGroup& group : hollow_) {
    const json form =
        json::parse(Get(group.control, "/news").value_or(""), nullptr, /*allow_exceptions=*/false);
    if (!form.is_array()) throw std::runtime_error("a process of hollow gateways does not answer");
    std::ranges::move(RevisionArrivalsFromJson(form), std::back_inserter(all));
  }
  return all;
}

}  // namespace gateway::lab
