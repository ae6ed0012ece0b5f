#include "registry/service_options.hpp"

#include "base/socket_address.hpp"
#include "base/toml_reader.hpp"

namespace gateway::registry {
namespace {

constexpr base::Range kTermSeconds{0.5, 3600};

std::size_t ReadCount(base::TomlTable& table, const char* key, std::size_t otherwise, int least, int most) {
  return static_cast<std::size_t>(table.Integer(key, static_cast<int>(otherwise), least, most));
}

void ReadLeases(base::TomlTable table, LeaseOptions& leases) {
  leases.term = table.Seconds("term_s", leases.term, kTermSeconds);
  leases.grace = table.Seconds("grace_s", leases.grace, base::kNotNegative);
  leases.most_lapsed = table.Number("most_lapsed", leases.most_lapsed, base::kShare);
  leases.least_lapsed = table.Integer("least_lapsed", leases.least_lapsed, 0, 1000000);
  leases.window = table.Seconds("window_s", leases.window, base::kNotNegative);
  leases.longest_hold = table.Seconds("longest_hold_s", leases.longest_hold, base::kAboveZero);
  table.RejectUnknownKeys();
}

void ReadHistory(base::TomlTable table, Bounds& bounds) {
  bounds.history = ReadCount(table, "changes", bounds.history, 100, 1000000);
  bounds.keys = ReadCount(table, "keys", bounds.keys, 100, 1000000);
  table.RejectUnknownKeys();
}

void ReadWatches(base::TomlTable table, ServiceOptions& options) {
  options.callers = ReadCount(table, "callers", options.callers, 1, 1000000);
  options.operators = ReadCount(table, "operators", options.operators, 1, 10000);
  options.whole_lists = table.Number("whole_lists_per_s", options.whole_lists, base::kAboveZero);
  table.RejectUnknownKeys();
}

}  // namespace

ServiceOptions ReadServiceOptions(const std::string& path) {
  base::TomlTable table = base::TomlTable::FromFile(path);
  ServiceOptions options;
  const auto address = base::ParseSocketAddress(table.Text("listen"));
  if (!address) table.Fail("listen", "must be an address and port, such as 127.0.0.1:8500");
  options.listen = *address;
  options.state_folder = table.Text("state_dir");
  if (options.state_folder.empty()) table.Fail("state_dir", "must be the path of a folder");
  options.owner = "registry " + table.Text("name", "registry");
  if (auto leases = table.Table("leases")) ReadLeases(std::move(*leases), options.leases);
  if (auto history = table.Table("history")) ReadHistory(std::move(*history), options.bounds);
  if (auto watches = table.Table("watches")) ReadWatches(std::move(*watches), options);
  table.RejectUnknownKeys();
  return options;
}

}  // namespace gateway::registry
