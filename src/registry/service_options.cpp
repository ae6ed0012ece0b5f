#include "registry/service_options.hpp"

#include "base/socket_address.hpp"
#include "base/toml_reader.hpp"

namespace gateway::registry {
namespace {

struct CountRange {
  int min;
  int max;
};
constexpr base::Range kLeaseDurationSeconds{0.5, 3600};
constexpr CountRange kMinExpiredRange{0, 1000000};
constexpr CountRange kRetentionRange{100, 1000000};
constexpr CountRange kClientRange{1, 1000000};
constexpr CountRange kOperatorRange{1, 10000};

std::size_t ReadCount(base::TomlTable& table, const char* key, std::size_t default_value, CountRange range) {
  return static_cast<std::size_t>(table.Integer(key, static_cast<int>(default_value), range.min, range.max));
}

void ReadLeases(base::TomlTable table, LeaseOptions& leases) {
  SelfPreservationOptions& preservation = leases.self_preservation;
  leases.default_duration = table.Seconds("term_s", leases.default_duration, kLeaseDurationSeconds);
  leases.removal_grace = table.Seconds("grace_s", leases.removal_grace, base::kNotNegative);
  preservation.max_expired_fraction =
      table.Number("most_lapsed", preservation.max_expired_fraction, base::kFraction);
  preservation.min_expired =
      table.Integer("least_lapsed", preservation.min_expired, kMinExpiredRange.min, kMinExpiredRange.max);
  preservation.window = table.Seconds("window_s", preservation.window, base::kNotNegative);
  preservation.max_duration = table.Seconds("longest_hold_s", preservation.max_duration, base::kAboveZero);
  table.RejectUnknownKeys();
}

void ReadHistory(base::TomlTable table, RetentionLimits& retention) {
  retention.changes = ReadCount(table, "changes", retention.changes, kRetentionRange);
  retention.idempotency_keys = ReadCount(table, "keys", retention.idempotency_keys, kRetentionRange);
  table.RejectUnknownKeys();
}

void ReadWatches(base::TomlTable table, ServiceOptions& options) {
  options.max_clients = ReadCount(table, "callers", options.max_clients, kClientRange);
  options.max_operators = ReadCount(table, "operators", options.max_operators, kOperatorRange);
  options.full_lists_per_second =
      table.Number("whole_lists_per_s", options.full_lists_per_second, base::kAboveZero);
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
  if (auto history = table.Table("history")) ReadHistory(std::move(*history), options.retention);
  if (auto watches = table.Table("watches")) ReadWatches(std::move(*watches), options);
  table.RejectUnknownKeys();
  return options;
}

}  // namespace gateway::registry
