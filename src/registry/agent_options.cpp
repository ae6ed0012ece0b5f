#include "registry/agent_options.hpp"

#include <nlohmann/json.hpp>

#include "base/socket_address.hpp"
#include "base/toml_reader.hpp"

namespace gateway::registry {
namespace {

using boost::asio::ip::tcp;

constexpr base::Millis kDefaultLeaseDuration = 10000;
constexpr base::Range kLeaseDurationSeconds{0.5, 3600};
constexpr base::Range kSizeRange{1e-6, 1e6};
constexpr base::Range kCheckIntervalSeconds{0.05, 3600};
constexpr base::Range kCheckTimeoutSeconds{0.01, 3600};
constexpr int kMaxFailureThreshold = 1000;

tcp::endpoint ParseAddress(const base::TomlTable& table, const std::string& key, const std::string& text) {
  const auto endpoint = base::ParseSocketAddress(text);
  if (!endpoint || endpoint->port() == 0) {
    table.Fail(key, "'" + text + "' must be an IP address and a port above 0, such as 10.1.0.18:3000");
  }
  return *endpoint;
}

Member ReadMemberTable(base::TomlTable& table) {
  Member member;
  member.id = table.Text("id");
  member.address = table.Text("address");
  ParseAddress(table, "address", member.address);
  member.zone = table.Text("zone", "");
  member.machine_type = table.Text("kind", "");
  member.version = table.Text("version", "");
  if (table.Has("cell")) member.cell = nlohmann::json(table.Text("cell")).dump();
  member.size = table.Number("size", 1, kSizeRange);
  member.lease_duration = table.Seconds("term_s", kDefaultLeaseDuration, kLeaseDurationSeconds);
  table.RejectUnknownKeys();
  return member;
}

void ReadHealthCheck(base::TomlTable& table, HealthCheckOptions& check) {
  check.path = table.Text("path", "");
  check.interval = table.Seconds("every_s", check.interval, kCheckIntervalSeconds);
  check.timeout = table.Seconds("within_s", check.timeout, kCheckTimeoutSeconds);
  check.failure_threshold = table.Integer("failures", check.failure_threshold, 1, kMaxFailureThreshold);
  table.RejectUnknownKeys();
}

}  // namespace

AgentOptions ReadAgentOptions(const std::string& path) {
  base::TomlTable table = base::TomlTable::FromFile(path);
  AgentOptions options;
  for (const std::string& text : table.TextList("services")) {
    options.services.push_back(ParseAddress(table, "services", text));
  }
  if (options.services.empty()) table.Fail("services", "must contain at least one address");
  options.drain_grace = table.Seconds("grace_s", options.drain_grace, base::kNotNegative);
  auto member = table.Table("member");
  if (!member) table.Fail("member", "the table [member] is missing");
  options.member = ReadMemberTable(*member);
  options.health_check.address = ParseAddress(*member, "address", options.member.address);
  if (auto check = table.Table("check")) ReadHealthCheck(*check, options.health_check);
  table.RejectUnknownKeys();
  return options;
}

}  // namespace gateway::registry
