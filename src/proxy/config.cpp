#include "proxy/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "base/socket_address.hpp"
#include "simulator/settings_codec.hpp"

namespace gateway::proxy {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

// Returns the text of a string without quotes, and the JSON of any other value.
std::string ScalarToText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Flattens the settings of the configuration file to path=value pairs, the format of the simulator's first
// message. So one parser reads the settings from both sources, and a setting has the same name and unit in
// both.
void Flatten(const json& node, const std::string& path, std::vector<std::string>& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (node.is_object()) {
    for (const auto& [key, value] : node.items()) Flatten(value, prefix + key, pairs);
  } else if (node.is_array() && !node.empty() && node.front().is_object()) {
    for (std::size_t i = 0; i < node.size(); ++i) Flatten(node[i], prefix + std::to_string(i), pairs);
  } else if (node.is_array()) {
    std::string joined;
    for (const json& item : node) joined += (joined.empty() ? "" : ",") + ScalarToText(item);
    pairs.push_back(path + "=" + joined);
  } else if (!node.is_null()) {
    pairs.push_back(path + "=" + ScalarToText(node));
  }
}

policy::Settings ReadSettings(const json& file) {
  if (!file.contains("settings") || !file["settings"].is_object()) {
    throw ConfigError("settings: missing, or not an object");
  }
  std::vector<std::string> pairs;
  Flatten(file["settings"], "", pairs);
  try {
    return simulator::ParseSettings({pairs.begin(), pairs.end()});
  } catch (const std::exception& error) {  // the message names the field
    throw ConfigError(std::string("settings: ") + error.what());
  }
}

// Reads the number at the JSON pointer `path`. Returns `default_value` if the number is absent. Throws
// ConfigError if it is not above 0.
double ReadPositiveNumber(const json& file, const std::string& path, double default_value) {
  const json::json_pointer pointer(path);
  if (!file.contains(pointer) || file[pointer].is_null()) return default_value;
  if (!file[pointer].is_number() || !(file[pointer].get<double>() > 0)) {
    throw ConfigError(path.substr(1) + ": must be a number above 0, not " + file[pointer].dump());
  }
  return file[pointer].get<double>();
}

using VariableLookup = std::function<const char*(const char*)>;

bool HasValue(const json& file, const char* key) { return file.contains(key) && !file[key].is_null(); }

tcp::endpoint ParseAddress(const std::string& name, const std::string& text) {
  const auto endpoint = base::ParseSocketAddress(text);
  if (!endpoint) throw ConfigError(name + ": '" + text + "' is not an address and port");
  return *endpoint;
}

std::optional<std::string> ReadVariable(const VariableLookup& variable, const char* name) {
  const char* const value = variable(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

// Returns nullopt if the field is absent or no string.
std::optional<std::string> ReadString(const json& file, const char* field) {
  if (!file.contains(field) || !file[field].is_string()) return std::nullopt;
  return file[field].get<std::string>();
}

// Chooses the value of a setting that identifies the process, and adds the comparison of its sources to
// `config`. Returns nullopt if neither source provides a value.
std::optional<std::string> ChooseProcessSetting(const char* setting,
                                                const std::optional<std::string>& environment,
                                                const std::optional<std::string>& file, Config& config) {
  const std::vector<SourcedText> values = OrderProcessSetting(environment, file);
  config.source_conflicts.push_back(FindConflict(setting, values));
  return values.empty() ? std::nullopt : std::optional(values.front().value);
}

tcp::endpoint ReadProcessAddress(const VariableLookup& variable, const char* name, const json& file,
                                 const char* field, Config& config) {
  const std::optional<std::string> text =
      ChooseProcessSetting(field, ReadVariable(variable, name), ReadString(file, field), config);
  if (!text) throw ConfigError(std::string(name) + ": not set");
  return ParseAddress(name, *text);
}

json ReadFile(const VariableLookup& variable) {
  const char* const path = variable("NODE_CONFIG");
  if (path == nullptr) throw ConfigError("NODE_CONFIG: not set");
  std::ifstream stream(path);
  if (!stream) throw ConfigFileError(std::string("NODE_CONFIG: can't read '") + path + "'");
  json file = json::parse(stream, nullptr, /*allow_exceptions=*/false);
  if (!file.is_object())
    throw ConfigFileError(std::string("NODE_CONFIG: '") + path + "' is not a JSON object");
  return file;
}

std::vector<tcp::endpoint> ReadDiscoveryEndpoints(const json& file) {
  std::vector<tcp::endpoint> endpoints;
  if (!HasValue(file, "discovery_endpoints")) return endpoints;
  const json& services = file["discovery_endpoints"];
  if (!services.is_array() || services.empty())
    throw ConfigError("discovery_endpoints: must be a non-empty list of addresses");
  for (const json& service : services) {
    const auto address = base::ParseSocketAddress(service.is_string() ? service.get<std::string>() : "");
    if (!address) throw ConfigError("discovery_endpoints: " + service.dump() + " is not an address and port");
    endpoints.push_back(*address);
  }
  return endpoints;
}

DiscoverySources ReadDiscoverySources(const json& file, const VariableLookup& variable) {
  DiscoverySources sources;
  sources.file_services = ReadDiscoveryEndpoints(file);
  if (const auto text = ReadString(file, "discovery")) sources.file = ParseAddress("discovery", *text);
  if (const auto text = ReadVariable(variable, "NODE_DISCOVERY"))
    sources.environment = ParseAddress("NODE_DISCOVERY", *text);
  return sources;
}

// At a start, a malformed `discovery` in the file does not prevent the start if NODE_DISCOVERY is set.
DiscoverySources ReadInitialDiscoverySources(json& file, const VariableLookup& variable, Config& config) {
  const auto environment = ReadVariable(variable, "NODE_DISCOVERY");
  const auto text = ReadString(file, "discovery");
  if (environment && text && !base::ParseSocketAddress(*text)) {
    const std::string malformed = "'" + *text + "', which is no address";
    config.source_conflicts.push_back(FindConflict(
        "discovery", {{SettingSource::kEnvironment, *environment}, {SettingSource::kFile, malformed}}));
    file.erase("discovery");
  }
  DiscoverySources sources = ReadDiscoverySources(file, variable);
  if (OrderDiscoverySources(sources).empty()) throw ConfigError("NODE_DISCOVERY: not set");
  return sources;
}

void ReadListPolicy(const json& file, Config& config) {
  config.guard_mass_removal = HasValue(file, "discovery_endpoints");
  config.max_removed_share = ReadPositiveNumber(file, "/list/most_removed", config.max_removed_share);
  config.list_stale_after =
      1000 * ReadPositiveNumber(file, "/list/old_after_s", config.list_stale_after / 1000);
}

// Reads the management address and enables hot restart. Hot restart requires the management port, because
// operators check there whether the new process is ready.
void ReadManagement(const json& file, const VariableLookup& variable, Config& config) {
  if (variable("NODE_MGMT") == nullptr && !HasValue(file, "mgmt")) return;
  config.management = ReadProcessAddress(variable, "NODE_MGMT", file, "mgmt", config);
  const char* const folder = variable("TMPDIR");
  if (folder == nullptr || *folder == '\0') return;
  config.hot_restart_path =
      std::string(folder) + "/forkwick-" + std::to_string(config.listen.port()) + ".sock";
}

void ReadSeed(const json& file, Config& config) {
  if (!file.contains("seed")) return;
  const std::string text = ScalarToText(file["seed"]);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), config.seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ConfigError("seed: must consist of 1 to 16 hex digits, not '" + text + "'");
  }
}

void ReadLimits(const json& file, Config& config) {
  config.max_descriptors = static_cast<std::size_t>(ReadPositiveNumber(file, "/limits/sockets", 1024));
  config.memory_limit_bytes =
      static_cast<std::size_t>(ReadPositiveNumber(file, "/limits/memory_mb", 64) * (1 << 20));
  config.settings = ReadSettings(file);
  config.connect_timeout = ReadPositiveNumber(file, "/settings/limits/dialTimeoutMs", config.connect_timeout);
  config.idle_timeout = ReadPositiveNumber(file, "/settings/limits/connIdleMs", config.idle_timeout);
}

void ReadStateFolder(const json& file, const VariableLookup& variable, Config& config) {
  constexpr double kMaxSyncDelayMs = 60000;
  if (!HasValue(file, "state_dir")) return;
  const std::string folder = file["state_dir"].is_string() ? file["state_dir"].get<std::string>() : "";
  if (folder.empty()) throw ConfigError("state_dir: must be the path of a folder");
  const auto file_name = file.contains("name") ? std::optional(ScalarToText(file["name"])) : std::nullopt;
  const std::string own_name =
      ChooseProcessSetting("name", ReadVariable(variable, "NODE_NAME"), file_name, config).value_or("");
  config.state_folder = folder;
  config.load_state = variable("ELDERHEAD_WITHOUT_STATE") == nullptr;
  if (const char* const delay = variable("ELDERHEAD_SLOW_SYNC_MS")) {
    config.state_sync_delay = std::clamp(std::atof(delay), 0.0, kMaxSyncDelayMs);
  }
  config.state_owner =
      own_name + " at " + config.listen.address().to_string() + ":" + std::to_string(config.listen.port());
  if (config.state_owner.find('\n') != std::string::npos) throw ConfigError("NODE_NAME: must be one line");
}

void ReadLogFormat(const json& file, Config& config) {
  const json::json_pointer pointer("/log/form");
  if (!file.contains(pointer)) return;
  const json& log_format = file[pointer];
  if (log_format != "text" && log_format != "json")
    throw ConfigError("log/form: must be \"text\" or \"json\", not " + log_format.dump());
  if (log_format == "json") config.log_format = base::LogFormat::kJson;
}

void ReadInitialList(const json& file, Config& config) {
  if (!HasValue(file, "known")) return;
  const auto known = ParseEndpointList(file["known"].dump());
  if (!known) throw ConfigError("known: not a valid host list in the format of a discovery response");
  config.initial_list = *known;
}

}  // namespace

Config LoadConfig(const std::function<const char*(const char*)>& variable) {
  json file = ReadFile(variable);
  Config config;
  config.listen = ReadProcessAddress(variable, "NODE_LISTEN", file, "listen", config);
  config.discovery = ReadInitialDiscoverySources(file, variable, config);
  ReadListPolicy(file, config);
  ReadManagement(file, variable, config);
  ReadSeed(file, config);
  ReadLimits(file, config);
  ReadStateFolder(file, variable, config);
  ReadLogFormat(file, config);
  ReadInitialList(file, config);
  return config;
}

DiscoverySources LoadDiscoverySources(const std::function<const char*(const char*)>& variable) {
  return ReadDiscoverySources(ReadFile(variable), variable);
}

}  // namespace gateway::proxy
