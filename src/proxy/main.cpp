// The gateway program: runs one gateway in the foreground until SIGTERM or SIGINT. SIGHUP reloads the
// configuration file.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <exception>
#include <functional>
#include <new>
#include <optional>
#include <string>
#include <thread>

#include "base/log.hpp"
#include "proxy/config.hpp"
#include "proxy/config_reloader.hpp"
#include "proxy/gateway.hpp"
#include "proxy/overload/process_memory.hpp"

namespace {

namespace base = gateway::base;
namespace proxy = gateway::proxy;

// The share of the memory limit that is set aside for allocations that fail otherwise.
constexpr std::size_t kReserveDivisor = 32;
// How often and how long after each other the program reads the configuration file at the start, if the
// platform is replacing the file.
constexpr int kConfigAttempts = 20;
constexpr std::chrono::milliseconds kConfigRetryInterval{50};

const char* ReadVariable(const char* name) { return std::getenv(name); }

// Throws ConfigError.
proxy::Config LoadConfig() {
  for (int attempt = 1;; ++attempt) {
    try {
      return proxy::LoadConfig(ReadVariable);
    } catch (const proxy::ConfigFileError&) {
      if (attempt == kConfigAttempts) throw;
    }
    std::this_thread::sleep_for(kConfigRetryInterval);
  }
}

// Runs the event loop until it is stopped. If an allocation fails although the reserve is used up, the
// handler that needs it ends, and the timeouts of its connection apply.
void RunEventLoop(boost::asio::io_context& io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::bad_alloc&) {
      base::Log(base::Level::kError, "memory", "allocation_failed",
                "an allocation failed; the event was not handled");
    }
  }
}

void RunGateway() {
  boost::asio::io_context io(1);
  // If the address of discovery changes, the platform replaces the configuration file and sends SIGHUP. The
  // signal may arrive while the process starts.
  boost::asio::signal_set reloads(io, SIGHUP);
  std::optional<proxy::Gateway> gateway;
  const char* const path = ReadVariable("NODE_CONFIG");
  proxy::ConfigReloader reloader(
      io, path == nullptr ? "" : path, [] { return proxy::LoadDiscoverySources(ReadVariable); },
      [&](proxy::DiscoverySources sources) { gateway->ChangeDiscovery(std::move(sources)); });
  proxy::Config config = LoadConfig();
  std::signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit must fail, not end the process
  std::signal(SIGPIPE, SIG_IGN);  // a write to a closed log pipe must not end the process
  base::SetLogFormat(config.log_format);
  config.process_memory = proxy::ManageProcessMemory(config.memory_limit_bytes / kReserveDivisor);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  gateway.emplace(io, config);
  signals.async_wait([&](const boost::system::error_code& ec, int) {
    if (!ec) gateway->Stop([&] { io.stop(); });
  });
  reloader.SetLoaded(config.discovery);
  reloader.ReloadIfChanged();  // the file may have been replaced since it was read
  gateway->SetConfigCheck([&] { reloader.ReloadIfChanged(); });
  const std::function<void(const boost::system::error_code&, int)> reload =
      [&](const boost::system::error_code& ec, int) {
        if (ec) return;
        reloader.Reload();
        gateway->ShareReload();
        reloads.async_wait(reload);
      };
  reloads.async_wait(reload);
  RunEventLoop(io);
}

}  // namespace

int main() {
  try {
    RunGateway();
    return 0;
  } catch (const std::exception& error) {
    base::Log(base::Level::kError, "config", "not_started", std::string("gateway: ") + error.what());
    return 1;
  }
}
