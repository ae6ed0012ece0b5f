// The gateway program: runs one gateway in the foreground until SIGTERM or SIGINT. SIGHUP reloads the
// configuration file.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <exception>
#include <functional>
#include <new>
#include <string>

#include "base/log.hpp"
#include "proxy/config.hpp"
#include "proxy/gateway.hpp"
#include "proxy/overload/process_memory.hpp"

namespace {

// The share of the memory limit that is set aside for allocations that fail otherwise.
constexpr std::size_t kReserveDivisor = 32;

// Runs the event loop until it is stopped. If an allocation fails although the reserve is used up, the
// handler that needs it ends, and the timeouts of its connection apply.
void RunEventLoop(boost::asio::io_context& io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::bad_alloc&) {
      gateway::base::Log(gateway::base::Level::kError, "memory", "allocation_failed",
                         "an allocation failed; the event was not handled");
    }
  }
}

}  // namespace

int main() {
  namespace proxy = gateway::proxy;
  namespace base = gateway::base;
  try {
    const auto variable = [](const char* name) -> const char* { return std::getenv(name); };
    proxy::Config config = proxy::LoadConfig(variable);
    std::signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit must fail, not end the process
    std::signal(SIGPIPE, SIG_IGN);  // a write to a closed log pipe must not end the process
    base::SetLogFormat(config.log_format);
    config.process_memory = proxy::ManageProcessMemory(config.memory_limit_bytes / kReserveDivisor);
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    proxy::Gateway gateway(io, config);
    signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (!ec) gateway.Stop([&] { io.stop(); });
    });
    // If the address of discovery changes, the platform replaces the configuration file and sends SIGHUP.
    boost::asio::signal_set reloads(io, SIGHUP);
    const std::function<void(const boost::system::error_code&, int)> reload =
        [&](const boost::system::error_code& ec, int) {
          if (ec) return;
          try {
            gateway.ChangeDiscovery(proxy::LoadDiscoverySources(variable));
          } catch (const proxy::ConfigError& error) {  // the gateway keeps the former address
            base::Log(base::Level::kError, "config", "not_reloaded",
                      std::string("configuration not reloaded: ") + error.what());
          }
          reloads.async_wait(reload);
        };
    reloads.async_wait(reload);
    RunEventLoop(io);
    return 0;
  } catch (const std::exception& error) {
    base::Log(base::Level::kError, "config", "not_started", std::string("gateway: ") + error.what());
    return 1;
  }
}
