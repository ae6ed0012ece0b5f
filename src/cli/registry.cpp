#include "cli/registry.hpp"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "base/descriptor_limit.hpp"
#include "base/http_client.hpp"
#include "base/socket_address.hpp"
#include "registry/agent.hpp"
#include "registry/registry_json.hpp"
#include "registry/service.hpp"

namespace gateway::cli {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

// Exit codes of the registry subcommands. Invalid arguments end with kUsageError.
constexpr int kDone = 0;
constexpr int kRejected = 1;
constexpr int kNoResponse = 3;
constexpr const char* kRegistryExitCodes =
    "Exit codes: 0 success, 1 the service rejected the request, 2 invalid arguments, 3 no service responded.";

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpServiceUnavailable = 503;
constexpr double kCallTimeoutMs = 5000;
constexpr int kMaxWatchTimeoutMs = 20000;
constexpr double kMillisPerSecond = 1000;

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string RandomHexToken() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}", random(), random());
}

// The options of all registry subcommands. A negative revision or incarnation stands for an absent option.
struct RegistryOptions {
  std::vector<std::string> services{"127.0.0.1:8500"};
  bool json = false;
  std::string config_file;
  std::vector<std::string> list_files;
  std::string member_id, idempotency_key;
  std::string address, zone, machine_type, version;
  double size = 1, lease_seconds = 0, watch_seconds = 0;
  std::int64_t incarnation = -1, if_incarnation = -1, if_revision = -1, after = -1;
};

struct ServiceResponse {
  unsigned status = 0;  // 0: no service responded
  std::string body;
};

// Sends the request to the services in turn until a service responds with a status other than 503. Returns a
// 503 response only if the last service sent it. Prints an error and returns status 0 if no service responds.
ServiceResponse SendRequest(const RegistryOptions& options, const std::string& method,
                            const std::string& target, const std::string& body = "",
                            double timeout_ms = kCallTimeoutMs) {
  for (const std::string& service : options.services) {
    const auto address = base::ParseSocketAddress(service);
    if (!address || address->port() == 0) {
      throw std::invalid_argument("--service: '" + service +
                                  "' is not an address and port; expected an IP address with a port, such as "
                                  "127.0.0.1:8500");
    }
    boost::asio::io_context io(1);
    ServiceResponse response;
    const auto connection = std::make_shared<base::ClientConnection>(io, *address);
    connection->Exchange(
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", method,
                    target, service, body.size(), body),
        timeout_ms, [&](base::ClientConnection::Result result) {
          if (result.failure != base::ClientConnection::Failure::kNone) return;
          response = {result.response.result_int(), result.response.body()};
        });
    io.run();
    if (response.status != 0 && response.status != kHttpServiceUnavailable) return response;
    if (response.status == kHttpServiceUnavailable && service == options.services.back()) return response;
  }
  fmt::print(stderr, "gatewayctl: no list service responded at {}\n", fmt::join(options.services, ", "));
  return {};
}

// Sends the command on behalf of an operator, with the preconditions from the options, and prints the result.
int SendCommand(const RegistryOptions& options, registry::Command command) {
  const std::string name = CallName(command.action);
  command.by_operator = true;
  command.idempotency_key =
      options.idempotency_key.empty() ? "cli-" + RandomHexToken() : options.idempotency_key;
  if (options.if_revision >= 0) command.if_revision = options.if_revision;
  if (options.if_incarnation >= 0) command.if_incarnation = options.if_incarnation;
  const ServiceResponse response = SendRequest(options, "POST", "/registry/" + name, EncodeCall(command));
  if (response.status == 0) return kNoResponse;
  const registry::CommandResult result = registry::ParseResult(response.status, response.body);
  if (options.json) {
    fmt::print("{}\n", response.body);
  } else if (result.ok()) {
    fmt::print("{} {}: {}\n", name, command.member.id,
               result.changed ? fmt::format("revision {}", result.revision) : "unchanged");
  } else {
    fmt::print(stderr, "gatewayctl: {} {}: {} ({})\n", name, command.member.id, result.error->message,
               ErrorCodeName(*result.error));
  }
  return result.ok() ? kDone : kRejected;
}

int SendCommand(const RegistryOptions& options, registry::Action action) {
  registry::Command command;
  command.action = action;
  command.member.id = options.member_id;
  command.member.size = options.size;
  return SendCommand(options, std::move(command));
}

// Returns the names of the flags that are set, separated by commas, or "-" if there are none.
std::string FlagsText(const json& member) {
  std::string flags;
  for (const char* name : {"suspect", "held_out", "expired"}) {
    if (member.value(name, false)) flags += (flags.empty() ? "" : ",") + std::string(name);
  }
  return flags.empty() ? "-" : flags;
}

void PrintMember(const json& member) {
  const auto text_or_dash = [&](const char* name) {
    const std::string text = member.value(name, "");
    return text.empty() ? std::string("-") : text;
  };
  fmt::print("{:>14} {:20} {:22} {:12} {:12} {:10} {:9} {:>5.2f} {}\n", member.value("changed", 0LL),
             text_or_dash("id"), text_or_dash("host_port"), text_or_dash("locality"), text_or_dash("flavor"),
             text_or_dash("version"), text_or_dash("phase"), member.value("size", 1.0), FlagsText(member));
}

void PrintHeading() {
  fmt::print("{:>14} {:20} {:22} {:12} {:12} {:10} {:9} {:>5} {}\n", "REVISION", "ID", "ADDRESS", "ZONE",
             "KIND", "VERSION", "PHASE", "SIZE", "FLAGS");
}

int PrintList(const RegistryOptions& options, const std::string& target) {
  const ServiceResponse response = SendRequest(options, "GET", target);
  if (response.status == 0) return kNoResponse;
  const json list = json::parse(response.body, nullptr, false);
  if (response.status != kHttpOk || !list.is_object() || !list.contains("members")) {
    fmt::print(stderr, "gatewayctl: the list service responded with status {}: {}\n", response.status,
               response.body);
    return kRejected;
  }
  if (options.json) {
    fmt::print("{}\n", response.body);
    return kDone;
  }
  PrintHeading();
  for (const json& member : list["members"]) PrintMember(member);
  return kDone;
}

// Prints changes as they arrive, for `watch_seconds`, or without a time limit if `watch_seconds` is 0.
int WatchMembers(const RegistryOptions& options) {
  ServiceResponse response = SendRequest(
      options, "GET",
      options.after >= 0 ? fmt::format("/discovery/hosts?after={}", options.after) : "/discovery/hosts");
  const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(options.watch_seconds);
  bool heading_pending = !options.json;
  for (;;) {
    if (response.status == 0) return kNoResponse;
    const json list = json::parse(response.body, nullptr, false);
    if (response.status != kHttpOk || !list.is_object()) {
      fmt::print(stderr, "gatewayctl: the list service responded with status {}: {}\n", response.status,
                 response.body);
      return kRejected;
    }
    if (std::exchange(heading_pending, false)) PrintHeading();
    for (const json& member : list["members"]) {
      if (options.json) {
        fmt::print("{}\n", member.dump());
      } else {
        PrintMember(member);
      }
    }
    std::fflush(stdout);
    const double remaining_ms =
        std::chrono::duration<double, std::milli>(end - std::chrono::steady_clock::now()).count();
    if (options.watch_seconds > 0 && remaining_ms <= 0) return kDone;
    const int wait_ms = options.watch_seconds > 0
                            ? std::max(1, std::min(kMaxWatchTimeoutMs, static_cast<int>(remaining_ms)))
                            : kMaxWatchTimeoutMs;
    response = SendRequest(options, "GET",
                           fmt::format("/discovery/hosts?after={}&wait_ms={}&epoch={}",
                                       list.value("revision", 0LL), wait_ms, list.value("epoch", "")),
                           "", wait_ms + kCallTimeoutMs);
  }
}

int PrintStatus(const RegistryOptions& options) {
  const ServiceResponse response = SendRequest(options, "GET", "/registry/status");
  if (response.status == 0) return kNoResponse;
  const ordered_json status = ordered_json::parse(response.body, nullptr, false);
  if (response.status != kHttpOk || !status.is_object()) {
    fmt::print(stderr, "gatewayctl: the list service responded with status {}: {}\n", response.status,
               response.body);
    return kRejected;
  }
  if (options.json) {
    fmt::print("{}\n", response.body);
    return kDone;
  }
  for (const auto& [name, value] : status.items()) {
    fmt::print("{:12} {}\n", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return kDone;
}

// Registers all members of the given lists. If several lists contain a member, uses the entry from the list
// with the highest revision. A file contains a published list, or the output of `gatewayctl state export` for
// the state folder of a gateway.
int RestoreMembers(const RegistryOptions& options) {
  // The newest entry of each member, with the revision of the list that contains the entry.
  std::map<std::string, std::pair<registry::Revision, registry::Member>> newest_entries;
  for (const std::string& file : options.list_files) {
    std::ifstream stream(file);
    if (!stream) throw std::runtime_error("can't read '" + file + "'");
    std::stringstream text;
    text << stream.rdbuf();
    std::string body = text.str();
    std::string error;
    const json first_line = json::parse(body.substr(0, body.find('\n')), nullptr, false);
    if (first_line.is_object() && first_line.contains("payload") && first_line["payload"].is_object() &&
        first_line["payload"].contains("list")) {
      body = first_line["payload"]["list"].dump();
    }
    const auto list = registry::ParseList(body, error);
    if (!list) throw std::runtime_error(file + ": " + error);
    for (const registry::Member& member : list->members) {
      auto& entry = newest_entries[member.id];
      if (entry.second.id.empty() || entry.first < list->revision) entry = {list->revision, member};
    }
  }
  int code = kDone;
  for (const auto& [id, entry] : newest_entries) {
    registry::Command command;
    command.member = entry.second;
    command.member.lease_duration = options.lease_seconds * kMillisPerSecond;
    code = std::max(code, SendCommand(options, command));
    if (code == kNoResponse) return code;
    command.action = registry::Action::kDrain;
    if (entry.second.draining) code = std::max(code, SendCommand(options, command));
  }
  fmt::print("{} members found in {} lists\n", newest_entries.size(), options.list_files.size());
  return code;
}

int RunService(const std::string& config_file) {
  registry::ServiceOptions options = registry::ReadServiceOptions(config_file);
  options.program = GATEWAY_VERSION;
  options.epoch = RandomHexToken();
  // After a service has lost its state, its revisions must still be higher than before. The Unix time in ms
  // is higher than every earlier revision if the service made fewer than 1,000 changes per second on average.
  options.initial_revision = UnixMillis();
  std::signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit then fails as on a full disk
  std::signal(SIGPIPE, SIG_IGN);
  base::RaiseDescriptorLimit();
  boost::asio::io_context io(1);
  const auto files = storage::MakePosixFileSystem();
  registry::Service service(io, *files, options);
  fmt::print(stderr, "registry: listening on {}:{}\n", service.address().address().to_string(),
             service.address().port());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  return kDone;
}

// Keeps the member that the configuration file describes registered until SIGTERM or SIGINT. Returns the exit
// code of the agent.
int RunAgent(const std::string& config_file, std::int64_t incarnation) {
  registry::AgentOptions options = registry::ReadAgentOptions(config_file);
  options.member.incarnation = incarnation >= 0 ? incarnation : UnixMillis();
  boost::asio::io_context io(1);
  int code = kDone;
  registry::Agent agent(io, options, [&](int result) {
    code = result;
    io.stop();
  });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) agent.Stop();
  });
  io.run();
  return code;
}

int PrintHistory(const RegistryOptions& options) {
  return PrintList(options, options.after >= 0 ? fmt::format("/registry/history?after={}", options.after)
                                               : "/registry/history");
}

int RegisterMember(const RegistryOptions& options) {
  registry::Command command;
  command.member.id = options.member_id;
  command.member.address = options.address;
  command.member.zone = options.zone;
  command.member.machine_type = options.machine_type;
  command.member.version = options.version;
  command.member.size = options.size;
  command.member.lease_duration = options.lease_seconds * kMillisPerSecond;
  command.member.incarnation = std::max<std::int64_t>(0, options.incarnation);
  return SendCommand(options, std::move(command));
}

// Adds the subcommands of `registry`. They share one set of options, because a command line selects only one
// subcommand.
class RegistrySubcommands {
 public:
  RegistrySubcommands(CLI::App& registry, Command& selected) : registry_(registry), selected_(selected) {}

  void AddAll() {
    AddServe();
    AddMember();
    AddMembers();
    AddHistory();
    AddWatch();
    AddStatus();
    AddRegister();
    AddWrite("drain", "Marks a member as draining, so that gateways send it no new requests", "drain web-1",
             registry::Action::kDrain);
    AddWrite("undrain", "Ends the drain that an operator started with 'registry drain'", "undrain web-1",
             registry::Action::kUndrain);
    AddWrite("remove", "Removes a member from the list on behalf of an operator", "remove web-1",
             registry::Action::kRemove);
    AddSize();
    AddRestore();
  }

 private:
  CLI::App& Add(const char* name, const char* description, const char* example, Command command) {
    CLI::App* const subcommand = registry_.add_subcommand(name, description);
    subcommand->footer(std::string(kRegistryExitCodes) + "\nExample: gatewayctl registry " + example);
    SelectWhenGiven(*subcommand, selected_, std::move(command));
    return *subcommand;
  }

  // Adds a subcommand that sends requests to the list service.
  CLI::App& AddServiceCall(const char* name, const char* description, const char* example, Command command) {
    CLI::App& subcommand = Add(name, description, example, std::move(command));
    subcommand
        .add_option("--service", options_->services,
                    "Addresses and ports of list services, tried in turn until one responds")
        ->capture_default_str();
    subcommand.add_flag("--json", options_->json, "Print JSON instead of text");
    return subcommand;
  }

  // Adds a subcommand that changes a member. It has options for the idempotency key and the preconditions.
  CLI::App& AddMemberChange(const char* name, const char* description, const char* example, Command command) {
    CLI::App& subcommand = AddServiceCall(name, description, example, std::move(command));
    subcommand.add_option("ID", options_->member_id, "ID of the member")->required();
    subcommand.add_option(
        "--key", options_->idempotency_key,
        "Idempotency key; the service does not execute a retry with the same key again (default: random)");
    subcommand.add_option("--if-revision", options_->if_revision,
                          "Fail if the member has changed since this revision");
    subcommand.add_option("--if-incarnation", options_->if_incarnation,
                          "Fail if the member's process has another incarnation");
    return subcommand;
  }

  CLI::App& AddWrite(const char* name, const char* description, const char* example,
                     registry::Action action) {
    return AddMemberChange(name, description, example,
                           [options = options_, action] { return SendCommand(*options, action); });
  }

  void AddServe() {
    CLI::App& serve = Add("serve", "Runs the list service", "serve deploy/registry.toml",
                          [options = options_] { return RunService(options->config_file); });
    serve.add_option("CONFIG", options_->config_file, "Configuration file of the service (TOML)")->required();
  }

  void AddMember() {
    CLI::App& member = Add(
        "member", "Runs the agent that keeps a server process registered until SIGTERM", "member web-1.toml",
        [options = options_] { return RunAgent(options->config_file, options->incarnation); });
    member.add_option("CONFIG", options_->config_file, "Configuration file of the agent (TOML)")->required();
    member.add_option(
        "--incarnation", options_->incarnation,
        "Incarnation of the member: the start of its process in ms of Unix time (default: now)");
  }

  void AddMembers() {
    AddServiceCall("members", "Lists the members that the list service has registered", "members",
                   [options = options_] { return PrintList(*options, "/registry/members"); });
  }

  void AddHistory() {
    CLI::App& history = AddServiceCall("history", "Lists the recent changes that the list service retains",
                                       "history --after 1764600000000",
                                       [options = options_] { return PrintHistory(*options); });
    history.add_option("--after", options_->after, "Print only changes after this revision");
  }

  void AddWatch() {
    CLI::App& watch = AddServiceCall("watch", "Prints changes of the members as they arrive", "watch --json",
                                     [options = options_] { return WatchMembers(*options); });
    watch.add_option("--after", options_->after,
                     "Print only changes after this revision (default: start with the complete list)");
    watch.add_option("--for", options_->watch_seconds,
                     "Duration of the watch in seconds (default: no limit)");
  }

  void AddStatus() {
    AddServiceCall("status", "Prints the status of the list service", "status",
                   [options = options_] { return PrintStatus(*options); });
  }

  void AddRegister() {
    CLI::App& subcommand = AddMemberChange("register", "Adds a member to the list or updates its entry",
                                           "register web-1 --address 10.1.0.18:3000",
                                           [options = options_] { return RegisterMember(*options); });
    subcommand
        .add_option("--address", options_->address, "Address and port at which the member serves requests")
        ->required();
    subcommand.add_option("--zone", options_->zone, "Zone of the member");
    subcommand.add_option("--kind", options_->machine_type, "Machine type of the member");
    subcommand.add_option("--version", options_->version, "Version of the member's software");
    subcommand.add_option("--size", options_->size, "Capacity of the member relative to other members")
        ->capture_default_str();
    subcommand.add_option(
        "--incarnation", options_->incarnation,
        "Incarnation of the member: the start of its process in ms of Unix time (default: 0)");
    subcommand
        .add_option(
            "--term", options_->lease_seconds,
            "Duration of the lease in seconds; 0: no lease, the member stays listed until it is removed")
        ->capture_default_str();
  }

  void AddSize() {
    CLI::App& size = AddWrite("size", "Sets the size of a member: its capacity relative to other members",
                              "size web-1 0.5", registry::Action::kSetSize);
    size.add_option("SIZE", options_->size, "Capacity of the member relative to other members")->required();
  }

  void AddRestore() {
    CLI::App& restore = AddServiceCall(
        "restore", "Registers the members from the gateways' lists at a list service that lost its disk",
        "restore n1.json n2.json   # files from: gatewayctl state export DIR",
        [options = options_] { return RestoreMembers(*options); });
    restore
        .add_option("FILES", options_->list_files,
                    "Files with a published list or with the output of 'gatewayctl state export'")
        ->required();
    restore
        .add_option("--term", options_->lease_seconds,
                    "Duration of each member's lease in seconds; 0: no lease")
        ->capture_default_str();
  }

  CLI::App& registry_;
  Command& selected_;
  const std::shared_ptr<RegistryOptions> options_ = std::make_shared<RegistryOptions>();
};

}  // namespace

void AddRegistry(CLI::App& app, Command& selected) {
  CLI::App* const registry =
      app.add_subcommand("registry", "Runs the list service (registry) or sends requests to it");
  registry->require_subcommand(1);
  registry->footer(std::string(kRegistryExitCodes) +
                   "\nExample: gatewayctl registry members --service 127.0.0.1:8500");
  RegistrySubcommands(*registry, selected).AddAll();
}

}  // namespace gateway::cli
