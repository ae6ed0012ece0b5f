#include "cli/call.hpp"

#include <fmt/format.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/socket_address.hpp"

namespace gateway::cli {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::seconds kCallTimeout{5};
constexpr std::string_view kMetricsEnd = "EOT\n";  // last line of a response with metrics

struct CallOptions {
  std::string address;
  std::string command;  // command of the management protocol
};

// Sends one command line and reads the response until the gateway closes the connection.
class ManagementCall {
 public:
  explicit ManagementCall(const std::string& command) : request_(command + "\n") {}

  // Returns the error that ended the call, or no error if the response is complete.
  error_code Run(const asio::ip::tcp::endpoint& gateway) {
    socket_.async_connect(gateway, [this](error_code ec) { ec ? Finish(ec) : Write(); });
    io_.run_for(kCallTimeout);
    return result_;
  }

  const std::string& response() const { return response_; }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(request_),
                      [this](error_code ec, std::size_t) { ec ? Finish(ec) : Read(); });
  }

  void Read() {
    asio::async_read(socket_, asio::dynamic_buffer(response_), [this](error_code ec, std::size_t) {
      Finish(ec == asio::error::eof ? error_code() : ec);
    });
  }

  void Finish(error_code result) { result_ = result; }

  asio::io_context io_{1};
  asio::ip::tcp::socket socket_{io_};
  const std::string request_;
  std::string response_;
  error_code result_ = asio::error::timed_out;  // unchanged if Finish() is not called within kCallTimeout
};

int CallGateway(const CallOptions& options) {
  const auto gateway = base::ParseSocketAddress(options.address);
  if (!gateway || gateway->port() == 0) {
    throw std::invalid_argument("ADDRESS: '" + options.address +
                                "' is not an address and port; expected an IP address with a port, such as "
                                "127.0.0.1:3001");
  }
  ManagementCall call(options.command);
  if (const error_code error = call.Run(*gateway)) {
    fmt::print(stderr, "gatewayctl: the call to {} failed: {}\n", options.address, error.message());
    return kFailure;
  }
  std::string_view response = call.response();
  const bool success = response.starts_with("SUCCESS") || response.ends_with("\nEOT\n");
  if (success && options.command == "metrics") response.remove_suffix(kMetricsEnd.size());
  fmt::print("{}", response);
  return success ? kSuccess : kFailure;
}

}  // namespace

void AddCall(CLI::App& app, Command& selected) {
  const auto options = std::make_shared<CallOptions>();
  CLI::App* const call =
      app.add_subcommand("call", "Sends a management command to a gateway and prints the response");
  call->add_option("ADDRESS", options->address, "Management address and port of the gateway (its NODE_MGMT)")
      ->required();
  call->add_option("CALL", options->command, "Management command to send")
      ->required()
      ->check(CLI::IsMember({"check", "vars", "metrics", "drain-on", "drain-off"}));
  call->footer(
      "Exit codes: 0 the response is SUCCESS or complete metrics, 1 any other response or no complete "
      "response within 5 s, 2 invalid arguments.\nExample: gatewayctl call 127.0.0.1:3001 check");
  SelectWhenGiven(*call, selected, [options] { return CallGateway(*options); });
}

}  // namespace gateway::cli
