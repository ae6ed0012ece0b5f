// gateway: one gateway on real sockets. Runs in the foreground until SIGTERM; SIGHUP reloads.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>

#include "base/log.hpp"
#include "proxy/config.hpp"
#include "proxy/gateway.hpp"

int main() {
  namespace proxy = gateway::proxy;
  namespace base = gateway::base;
  try {
    const auto variable = [](const char* name) -> const char* { return std::getenv(name); };
    const proxy::Config config = proxy::LoadConfig(variable);
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is an error of the write, and no reason to end
    std::signal(SIGPIPE, SIG_IGN);  // so is a log that nobody reads any more
    base::SetLogFormat(config.log);
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    proxy::Gateway gateway(io, config);
    signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (!ec) gateway.Stop([&] { io.stop(); });
    });
    // Discovery may move: its new address stands in the file that the platform has put in place.
    boost::asio::signal_set reloads(io, SIGHUP);
    const std::function<void(const boost::system::error_code&, int)> reload =
        [&](const boost::system::error_code& ec, int) {
          if (ec) return;
          try {
            gateway.MoveDiscovery(proxy::LoadDiscovery(variable));
          } catch (const proxy::ConfigError& error) {  // the old one stays in force
            base::Log(base::Level::kError, "config", "not_reloaded",
                      std::string("not reloaded: ") + error.what());
          }
          reloads.async_wait(reload);
        };
    reloads.async_wait(reload);
    io.run();
    return 0;
  } catch (const std::exception& error) {
    base::Log(base::Level::kError, "config", "not_started", std::string("gateway: ") + error.what());
    return 1;
  }
}
