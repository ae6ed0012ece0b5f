#include "proxy/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/socket_address.hpp"
#include "simulator/settings_codec.hpp"

namespace gateway::proxy {
namespace {

using nlohmann::json;

std::string Scalar(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Turns the settings into the path=value pairs of the simulator's first message, which have the same names
// and units: one reader serves both, so a setting can't mean two things.
void Flatten(const json& node, const std::string& path, std::vector<std::string>& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (node.is_object()) {
    for (const auto& [key, value] : node.items()) Flatten(value, prefix + key, pairs);
  } else if (node.is_array() && !node.empty() && node.front().is_object()) {
    for (std::size_t i = 0; i < node.size(); ++i) Flatten(node[i], prefix + std::to_string(i), pairs);
  } else if (node.is_array()) {
    std::string joined;
    for (const json& item : node) joined += (joined.empty() ? "" : ",") + Scalar(item);
    pairs.push_back(path + "=" + joined);
  } else if (!node.is_null()) {
    pairs.push_back(path + "=" + Scalar(node));
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
  } catch (const std::exception& error) {  // its text names the field
    throw ConfigError(std::string("settings: ") + error.what());
  }
}

// A number at a JSON pointer, above 0; the default where it is absent.
double PositiveOr(const json& file, const std::string& path, double otherwise) {
  const json::json_pointer at(path);
  if (!file.contains(at) || file[at].is_null()) return otherwise;
  if (!file[at].is_number() || !(file[at].get<double>() > 0)) {
    throw ConfigError(path.substr(1) + ": must be a number above 0");
  }
  return file[at].get<double>();
}

// The variable wins over the file's field of the same meaning.
boost::asio::ip::tcp::endpoint ReadAddress(const char* variable, const std::string& name, const json& file,
                                           const std::string& field) {
  std::string text;
  if (variable != nullptr) {
    text = variable;
  } else if (file.contains(field) && file[field].is_string()) {
    text = file[field].get<std::string>();
  } else {
    throw ConfigError(name + ": not set");
  }
  const auto endpoint = base::ParseSocketAddress(text);
  if (!endpoint) throw ConfigError(name + ": '" + text + "' is not an address and port");
  return *endpoint;
}

json ReadFile(const std::function<const char*(const char*)>& variable) {
  const char* const path = variable("NODE_CONFIG");
  if (path == nullptr) throw ConfigError("NODE_CONFIG: not set");
  std::ifstream stream(path);
  if (!stream) throw ConfigError(std::string("NODE_CONFIG: can't read '") + path + "'");
  json file = json::parse(stream, nullptr, /*allow_exceptions=*/false);
  if (!file.is_object()) throw ConfigError(std::string("NODE_CONFIG: '") + path + "' is no JSON object");
  return file;
}

using Variables = std::function<const char*(const char*)>;

bool HasValue(const json& file, const char* key) { return file.contains(key) && !file[key].is_null(); }

void ReadListServices(const json& file, Config& config) {
  if (HasValue(file, "discovery_endpoints")) {
    const json& all = file["discovery_endpoints"];
    if (!all.is_array() || all.empty()) throw ConfigError("discovery_endpoints: must be a list of addresses");
    for (const json& one : all) {
      const auto address = base::ParseSocketAddress(one.is_string() ? one.get<std::string>() : "");
      if (!address) throw ConfigError("discovery_endpoints: " + one.dump() + " is not an address and port");
      config.other_discoveries.push_back(*address);
    }
    config.guard_mass_removal = true;
    config.discovery = config.other_discoveries.front();
    config.other_discoveries.erase(config.other_discoveries.begin());
  }
  config.max_removed_share = PositiveOr(file, "/list/most_removed", config.max_removed_share);
  config.list_stale_after = 1000 * PositiveOr(file, "/list/old_after_s", config.list_stale_after / 1000);
}

// Hot restart is possible where operators can see when the new process is ready.
void ReadManagement(const json& file, const Variables& variable, Config& config) {
  const char* const management = variable("NODE_MGMT");
  if (management == nullptr && !HasValue(file, "mgmt")) return;
  config.management = ReadAddress(management, "NODE_MGMT", file, "mgmt");
  const char* const folder = variable("TMPDIR");
  if (folder == nullptr || *folder == '\0') return;
  config.hot_restart_path =
      std::string(folder) + "/forkwick-" + std::to_string(config.listen.port()) + ".sock";
}

void ReadSeed(const json& file, Config& config) {
  if (!file.contains("seed")) return;
  const std::string text = Scalar(file["seed"]);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), config.seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ConfigError("seed: '" + text + "' is not up to 16 hex digits");
  }
}

void ReadLimits(const json& file, Config& config) {
  config.sockets = static_cast<std::size_t>(PositiveOr(file, "/limits/sockets", 1024));
  config.memory = static_cast<std::size_t>(PositiveOr(file, "/limits/memory_mb", 64) * (1 << 20));
  config.settings = ReadSettings(file);
  config.connect_timeout = PositiveOr(file, "/settings/limits/dialTimeoutMs", config.connect_timeout);
  config.idle_timeout = PositiveOr(file, "/settings/limits/connIdleMs", config.idle_timeout);
}

void ReadStateFolder(const json& file, const Variables& variable, Config& config) {
  constexpr double kMaximumSyncDelay = 60000;
  if (!HasValue(file, "state_dir")) return;
  const std::string folder = file["state_dir"].is_string() ? file["state_dir"].get<std::string>() : "";
  if (folder.empty()) throw ConfigError("state_dir: must be the path of a folder");
  const char* const name = variable("NODE_NAME");
  const std::string own_name = name != nullptr ? name : Scalar(file.value("name", json("")));
  config.state_folder = folder;
  config.load_state = variable("ELDERHEAD_WITHOUT_STATE") == nullptr;
  if (const char* const delay = variable("ELDERHEAD_SLOW_SYNC_MS")) {
    config.state_sync_delay = std::clamp(std::atof(delay), 0.0, kMaximumSyncDelay);
  }
  config.state_owner =
      own_name + " at " + config.listen.address().to_string() + ":" + std::to_string(config.listen.port());
  if (config.state_owner.find('\n') != std::string::npos) throw ConfigError("NODE_NAME: must be one line");
}

void ReadLogForm(const json& file, Config& config) {
  const json::json_pointer at("/log/form");
  if (!file.contains(at)) return;
  const json& form = file[at];
  if (form != "text" && form != "json") throw ConfigError("log/form: must be \"text\" or \"json\"");
  if (form == "json") config.log = base::LogFormat::kJson;
}

void ReadKnownList(const json& file, Config& config) {
  if (!HasValue(file, "known")) return;
  const auto known = ParseEndpointList(file["known"].dump());
  if (!known) throw ConfigError("known: not a list of hosts in discovery's form");
  config.known = *known;
}

}  // namespace

Config LoadConfig(const std::function<const char*(const char*)>& variable) {
  const json file = ReadFile(variable);
  Config config;
  config.listen = ReadAddress(variable("NODE_LISTEN"), "NODE_LISTEN", file, "listen");
  config.discovery = ReadAddress(variable("NODE_DISCOVERY"), "NODE_DISCOVERY", file, "discovery");
  ReadListServices(file, config);
  ReadManagement(file, variable, config);
  ReadSeed(file, config);
  ReadLimits(file, config);
  ReadStateFolder(file, variable, config);
  ReadLogForm(file, config);
  ReadKnownList(file, config);
  return config;
}

boost::asio::ip::tcp::endpoint LoadDiscovery(const std::function<const char*(const char*)>& variable) {
  return ReadAddress(nullptr, "discovery", ReadFile(variable), "discovery");  // the variable is of the start
}

}  // namespace gateway::proxy
