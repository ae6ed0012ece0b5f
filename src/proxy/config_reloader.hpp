// Reads the addresses of discovery from the configuration file again: after SIGHUP, and whenever the file may
// have changed without a signal to this process.
#ifndef GATEWAY_PROXY_CONFIG_RELOADER_HPP_
#define GATEWAY_PROXY_CONFIG_RELOADER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "proxy/setting_sources.hpp"

namespace gateway::proxy {

// Identifies the content of a file without reading it. Times are in ns.
struct FileVersion {
  unsigned long long device = 0;
  unsigned long long inode = 0;
  long long size_bytes = 0;
  long long modified_at = 0;
  long long changed_at = 0;  // also changes with the permissions
  bool operator==(const FileVersion&) const = default;
};

// Returns nullopt if there is no file at `path`.
std::optional<FileVersion> ReadFileVersion(const std::string& path);

// To be used in the event loop's thread only.
class ConfigReloader {
 public:
  // Reads the sources; throws ConfigError.
  using Load = std::function<DiscoverySources()>;
  // Puts the sources in force.
  using Apply = std::function<void(DiscoverySources sources)>;

  // To be constructed before the file at `path` is read for the start.
  ConfigReloader(boost::asio::io_context& io, std::string path, Load load, Apply apply);

  ~ConfigReloader();
  ConfigReloader(const ConfigReloader&) = delete;
  ConfigReloader& operator=(const ConfigReloader&) = delete;

  // Sets the sources that the process has read at its start. To be called before the other methods.
  void SetLoaded(const DiscoverySources& sources) { loaded_ = sources; }

  // Applies the sources in the file. If the file can't be used, logs the reason, and tries again whenever the
  // file has changed; the former sources stay in force until then.
  void Reload();
  // Applies the sources in the file in a later event, if the file and the sources in it have changed since
  // they were last read.
  void ReloadIfChanged();

 private:
  // Returns whether the file could be used.
  bool TryReload(bool apply_unchanged);
  void ScheduleRetry();

  boost::asio::io_context& io_;
  const std::string path_;
  const Load load_;
  const Apply apply_;
  std::optional<FileVersion> version_;  // of the file when it was last read
  DiscoverySources loaded_;
  boost::asio::steady_timer retry_timer_;
  // Pending handlers share it and check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CONFIG_RELOADER_HPP_
