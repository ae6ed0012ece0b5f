#include "proxy/config_reloader.hpp"

#include <sys/stat.h>

#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "base/config_error.hpp"
#include "base/log.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

constexpr Millis kRetryIntervalMs = 250;
constexpr long long kNanosPerSecond = 1000000000;

long long ToNanos(const timespec& time) { return time.tv_sec * kNanosPerSecond + time.tv_nsec; }

}  // namespace

std::optional<FileVersion> ReadFileVersion(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return std::nullopt;
  return FileVersion{status.st_dev, status.st_ino, status.st_size, ToNanos(status.st_mtim),
                     ToNanos(status.st_ctim)};
}

ConfigReloader::ConfigReloader(boost::asio::io_context& io, std::string path, Load load, Apply apply)
    : io_(io),
      path_(std::move(path)),
      load_(std::move(load)),
      apply_(std::move(apply)),
      version_(ReadFileVersion(path_)),
      retry_timer_(io) {}

ConfigReloader::~ConfigReloader() { *alive_ = false; }

void ConfigReloader::Reload() {
  retry_timer_.cancel();
  if (!TryReload(/*apply_unchanged=*/true)) ScheduleRetry();
}

void ConfigReloader::ReloadIfChanged() {
  boost::asio::post(io_, [this, alive = alive_] {
    if (!*alive || ReadFileVersion(path_) == version_) return;
    if (!TryReload(/*apply_unchanged=*/false)) ScheduleRetry();
  });
}

// Reads the version before the file, so that a later change of the file is noticed.
bool ConfigReloader::TryReload(bool apply_unchanged) {
  version_ = ReadFileVersion(path_);
  try {
    const DiscoverySources sources = load_();
    if (apply_unchanged || sources != loaded_) apply_(sources);
    loaded_ = sources;
    return true;
  } catch (const base::ConfigError& error) {
    base::Log(base::Level::kError, "config", "not_reloaded",
              std::string("configuration not reloaded: ") + error.what());
    return false;
  }
}

void ConfigReloader::ScheduleRetry() {
  retry_timer_.expires_after(TimerDuration(kRetryIntervalMs));
  retry_timer_.async_wait([this, alive = alive_](const boost::system::error_code& ec) {
    if (ec || !*alive) return;
    const bool is_changed = ReadFileVersion(path_) != version_;
    if (!is_changed || !TryReload(/*apply_unchanged=*/true)) ScheduleRetry();
  });
}

}  // namespace gateway::proxy
