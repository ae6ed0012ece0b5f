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

constexpr int kDone = 0, kRefused = 1, kWrongUse = 2, kNoAnswer = 3;
constexpr const char* kCodes =
    "Exit codes: 0 done, 1 refused by the service, 2 wrong use, 3 no service answered.";

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string RandomWord() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}", random(), random());
}

struct Options {
  std::vector<std::string> services{"127.0.0.1:8500"};
  bool json = false;
  std::string file, id, key;
  std::vector<std::string> files;
  std::string address, zone, kind, version;
  double size = 1, term_s = 0, seconds = 0;
  std::int64_t incarnation = -1, if_incarnation = -1, if_revision = -1, after = -1;
};

struct Answer {
  unsigned status = 0;  // 0: none
  std::string body;
};

// Asks one service after the other until one answers.
Answer Ask(const Options& o, const std::string& method, const std::string& target,
           const std::string& body = "", double patience = 5000) {
  for (const std::string& service : o.services) {
    const auto to = base::ParseSocketAddress(service);
    if (!to || to->port() == 0) {
      throw std::invalid_argument("'" + service + "' is not an address and port, such as 127.0.0.1:8500");
    }
    boost::asio::io_context io(1);
    Answer answer;
    const auto connection = std::make_shared<base::ClientConnection>(io, *to);
    connection->Exchange(
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", method,
                    target, service, body.size(), body),
        patience, [&](base::ClientConnection::Result result) {
          if (result.failure != base::ClientConnection::Failure::kNone) return;
          answer = {result.response.result_int(), result.response.body()};
        });
    io.run();
    if (answer.status != 0 && answer.status != 503) return answer;
    if (answer.status == 503 && service == o.services.back()) return answer;
  }
  fmt::print(stderr, "gatewayctl: no service answered at {}\n", fmt::join(o.services, ", "));
  return {};
}

int Write(const Options& o, registry::Command command) {
  const std::string name = CallName(command.action);
  command.by_operator = true;
  command.idempotency_key = o.key.empty() ? "cli-" + RandomWord() : o.key;
  if (o.if_revision >= 0) command.if_revision = o.if_revision;
  if (o.if_incarnation >= 0) command.if_incarnation = o.if_incarnation;
  const Answer answer = Ask(o, "POST", "/registry/" + name, EncodeCall(command));
  if (answer.status == 0) return kNoAnswer;
  const registry::CommandResult result = registry::ParseResult(answer.status, answer.body);
  if (o.json) {
    fmt::print("{}\n", answer.body);
  } else if (result.ok()) {
    fmt::print("{} {}: {}\n", name, command.member.id,
               result.changed ? fmt::format("revision {}", result.revision) : "nothing had to change");
  } else {
    fmt::print(stderr, "gatewayctl: {} {}: {} ({})\n", name, command.member.id, result.error->message,
               ErrorCodeName(*result.error));
  }
  return result.ok() ? kDone : kRefused;
}

int Write(const Options& o, registry::Action action) {
  registry::Command command;
  command.action = action;
  command.member.id = o.id;
  command.member.size = o.size;
  return Write(o, std::move(command));
}

std::string Flags(const json& m) {
  std::string flags;
  for (const char* name : {"suspect", "held_out", "expired"}) {
    if (m.value(name, false)) flags += (flags.empty() ? "" : ",") + std::string(name);
  }
  return flags.empty() ? "-" : flags;
}

void Row(const json& m) {
  const auto word = [&](const char* name) {
    const std::string text = m.value(name, "");
    return text.empty() ? std::string("-") : text;
  };
  fmt::print("{:>14} {:20} {:22} {:12} {:12} {:10} {:9} {:>5.2f} {}\n", m.value("changed", 0LL), word("id"),
             word("host_port"), word("locality"), word("flavor"), word("version"), word("phase"),
             m.value("size", 1.0), Flags(m));
}

void Heading() {
  fmt::print("{:>14} {:20} {:22} {:12} {:12} {:10} {:9} {:>5} {}\n", "REVISION", "ID", "ADDRESS", "ZONE",
             "KIND", "VERSION", "PHASE", "SIZE", "FLAGS");
}

int PrintList(const Options& o, const std::string& target) {
  const Answer answer = Ask(o, "GET", target);
  if (answer.status == 0) return kNoAnswer;
  const json list = json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || !list.is_object() || !list.contains("members")) {
    fmt::print(stderr, "gatewayctl: {}\n", answer.body);
    return kRefused;
  }
  if (o.json) {
    fmt::print("{}\n", answer.body);
    return kDone;
  }
  Heading();
  for (const json& member : list["members"]) Row(member);
  return kDone;
}

// Prints changes as they come, until the time is over (0: for ever).
int Watch(const Options& o) {
  Answer answer =
      Ask(o, "GET", o.after >= 0 ? fmt::format("/discovery/hosts?after={}", o.after) : "/discovery/hosts");
  const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(o.seconds);
  bool heading = !o.json;
  for (;;) {
    if (answer.status == 0) return kNoAnswer;
    const json list = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !list.is_object()) {
      fmt::print(stderr, "gatewayctl: {}\n", answer.body);
      return kRefused;
    }
    if (std::exchange(heading, false)) Heading();
    for (const json& member : list["members"]) {
      if (o.json) {
        fmt::print("{}\n", member.dump());
      } else {
        Row(member);
      }
    }
    std::fflush(stdout);
    const double left =
        std::chrono::duration<double, std::milli>(end - std::chrono::steady_clock::now()).count();
    if (o.seconds > 0 && left <= 0) return kDone;
    const int wait = o.seconds > 0 ? std::max(1, std::min(20000, static_cast<int>(left))) : 20000;
    answer = Ask(o, "GET",
                 fmt::format("/discovery/hosts?after={}&wait_ms={}&epoch={}", list.value("revision", 0LL),
                             wait, list.value("epoch", "")),
                 "", wait + 5000);
  }
}

int Status(const Options& o) {
  const Answer answer = Ask(o, "GET", "/registry/status");
  if (answer.status == 0) return kNoAnswer;
  const ordered_json status = ordered_json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || !status.is_object()) {
    fmt::print(stderr, "gatewayctl: {}\n", answer.body);
    return kRefused;
  }
  if (o.json) {
    fmt::print("{}\n", answer.body);
    return kDone;
  }
  for (const auto& [name, value] : status.items()) {
    fmt::print("{:12} {}\n", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return kDone;
}

// Lists in the published form, or what `gatewayctl state export` prints of a gateway's folder: of each member
// what the newest list says.
int Restore(const Options& o) {
  std::map<std::string, std::pair<registry::Revision, registry::Member>> newest;
  for (const std::string& file : o.files) {
    std::ifstream stream(file);
    if (!stream) throw std::runtime_error("can't read '" + file + "'");
    std::stringstream text;
    text << stream.rdbuf();
    std::string body = text.str(), why;
    const json line = json::parse(body.substr(0, body.find('\n')), nullptr, false);
    if (line.is_object() && line.contains("payload") && line["payload"].is_object() &&
        line["payload"].contains("list")) {
      body = line["payload"]["list"].dump();
    }
    const auto list = registry::ParseList(body, why);
    if (!list) throw std::runtime_error(file + ": " + why);
    for (const registry::Member& member : list->members) {
      auto& entry = newest[member.id];
      if (entry.second.id.empty() || entry.first < list->revision) entry = {list->revision, member};
    }
  }
  int code = kDone;
  for (const auto& [id, entry] : newest) {
    registry::Command command;
    command.member = entry.second;
    command.member.lease_duration = o.term_s * 1000;
    code = std::max(code, Write(o, command));
    if (code == kNoAnswer) return code;
    command.action = registry::Action::kDrain;
    if (entry.second.draining) code = std::max(code, Write(o, command));
  }
  fmt::print("{} members from {} lists\n", newest.size(), o.files.size());
  return code;
}

int Serve(const std::string& file) {
  registry::ServiceOptions options = registry::ReadServiceOptions(file);
  options.program = GATEWAY_VERSION;
  options.epoch = RandomWord();
  options.initial_revision =
      UnixMillis();               // above all that a lost service gave, at under 1,000 changes a second
  std::signal(SIGXFSZ, SIG_IGN);  // a limit on files is a full disk
  std::signal(SIGPIPE, SIG_IGN);
  base::RaiseDescriptorLimit();
  boost::asio::io_context io(1);
  const auto files = storage::MakePosixFileSystem();
  registry::Service service(io, *files, options);
  fmt::print(stderr, "registry: serves at {}:{}\n", service.address().address().to_string(),
             service.address().port());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  return kDone;
}

int KeepMember(const std::string& file, std::int64_t incarnation) {
  registry::AgentOptions options = registry::ReadAgentOptions(file);
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

int PrintHistory(const Options& o) {
  return PrintList(o,
                   o.after >= 0 ? fmt::format("/registry/history?after={}", o.after) : "/registry/history");
}

int Register(const Options& o) {
  registry::Command command;
  command.member.id = o.id;
  command.member.address = o.address;
  command.member.zone = o.zone;
  command.member.machine_type = o.kind;
  command.member.version = o.version;
  command.member.size = o.size;
  command.member.lease_duration = o.term_s * 1000;
  command.member.incarnation = std::max<std::int64_t>(0, o.incarnation);
  return Write(o, std::move(command));
}

// Adds the subcommands of `registry`. They share one set of options, since a command line names one of them.
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
    AddWrite("drain", "Takes a member out of new traffic", "drain web-1", registry::Action::kDrain);
    AddWrite("undrain", "Ends a drain of operators", "undrain web-1", registry::Action::kUndrain);
    AddWrite("remove", "Takes a member off the list, confirmed by you", "remove web-1",
             registry::Action::kRemove);
    AddSize();
    AddRestore();
  }

 private:
  CLI::App& Add(const char* name, const char* description, const char* example, Command command) {
    CLI::App* const subcommand = registry_.add_subcommand(name, description);
    subcommand->footer(std::string(kCodes) + "\nExample: gatewayctl registry " + example);
    SelectWhenGiven(*subcommand, selected_, std::move(command));
    return *subcommand;
  }

  // A subcommand that calls the service.
  CLI::App& AddServiceCall(const char* name, const char* description, const char* example, Command command) {
    CLI::App& subcommand = Add(name, description, example, std::move(command));
    subcommand.add_option("--service", options_->services, "Address and port; several are tried in turn")
        ->capture_default_str();
    subcommand.add_flag("--json", options_->json, "For programs: what the service answered");
    return subcommand;
  }

  // A subcommand that changes a member, with the conditions under which the service does so.
  CLI::App& AddMemberChange(const char* name, const char* description, const char* example, Command command) {
    CLI::App& subcommand = AddServiceCall(name, description, example, std::move(command));
    subcommand.add_option("ID", options_->id, "The member")->required();
    subcommand.add_option("--key", options_->key,
                          "Of this request: repeating it with the same key is harmless");
    subcommand.add_option("--if-revision", options_->if_revision, "Only if the member has not changed since");
    subcommand.add_option("--if-incarnation", options_->if_incarnation, "Only if this is its process");
    return subcommand;
  }

  CLI::App& AddWrite(const char* name, const char* description, const char* example,
                     registry::Action action) {
    return AddMemberChange(name, description, example, [o = options_, action] { return Write(*o, action); });
  }

  void AddServe() {
    CLI::App& serve = Add("serve", "Serves as a list service", "serve deploy/registry.toml",
                          [o = options_] { return Serve(o->file); });
    serve.add_option("CONFIG", options_->file, "Its configuration (TOML)")->required();
  }

  void AddMember() {
    CLI::App& member = Add("member", "Keeps a server process listed until SIGTERM", "member web-1.toml",
                           [o = options_] { return KeepMember(o->file, o->incarnation); });
    member.add_option("CONFIG", options_->file, "Its configuration (TOML)")->required();
    member.add_option("--incarnation", options_->incarnation,
                      "Unix time in ms at which the process started; else now");
  }

  void AddMembers() {
    AddServiceCall("members", "Lists the members", "members",
                   [o = options_] { return PrintList(*o, "/registry/members"); });
  }

  void AddHistory() {
    CLI::App& history =
        AddServiceCall("history", "Lists the changes that are still known", "history --after 1764600000000",
                       [o = options_] { return PrintHistory(*o); });
    history.add_option("--after", options_->after, "Only those behind this revision");
  }

  void AddWatch() {
    CLI::App& watch = AddServiceCall("watch", "Prints changes as they come", "watch --json",
                                     [o = options_] { return Watch(*o); });
    watch.add_option("--after", options_->after, "From this revision on");
    watch.add_option("--for", options_->seconds, "Seconds; else for ever");
  }

  void AddStatus() {
    AddServiceCall("status", "Tells how the service does", "status", [o = options_] { return Status(*o); });
  }

  void AddRegister() {
    CLI::App& enter =
        AddMemberChange("register", "Lists a member, or changes what is said of it",
                        "register web-1 --address 10.1.0.18:3000", [o = options_] { return Register(*o); });
    enter.add_option("--address", options_->address, "Where it serves")->required();
    enter.add_option("--zone", options_->zone, "Its zone");
    enter.add_option("--kind", options_->kind, "Its kind of machine");
    enter.add_option("--version", options_->version, "Label of what it runs");
    enter.add_option("--size", options_->size, "Relative size")->capture_default_str();
    enter.add_option("--incarnation", options_->incarnation, "Unix time in ms at which its process started");
    enter.add_option("--term", options_->term_s, "Seconds of its lease; 0: until it is removed")
        ->capture_default_str();
  }

  void AddSize() {
    CLI::App& size =
        AddWrite("size", "Sets a member's relative size", "size web-1 0.5", registry::Action::kSetSize);
    size.add_option("SIZE", options_->size, "Relative to others")->required();
  }

  void AddRestore() {
    CLI::App& restore =
        AddServiceCall("restore", "Seeds a service that lost its disk from the gateways' lists",
                       "restore n1.json n2.json   # of: gatewayctl state export DIR",
                       [o = options_] { return Restore(*o); });
    restore
        .add_option("FILES", options_->files, "Lists as published, or what 'gatewayctl state export' printed")
        ->required();
    restore.add_option("--term", options_->term_s, "Seconds of the leases that they get; 0: none")
        ->capture_default_str();
  }

  CLI::App& registry_;
  Command& selected_;
  const std::shared_ptr<Options> options_ = std::make_shared<Options>();
};

}  // namespace

void AddRegistry(CLI::App& app, Command& selected) {
  CLI::App* const registry = app.add_subcommand("registry", "The project's own list service");
  registry->require_subcommand(1);
  registry->footer(std::string(kCodes) + "\nExample: gatewayctl registry members --service 127.0.0.1:8500");
  RegistrySubcommands(*registry, selected).AddAll();
}

}  // namespace gateway::cli
