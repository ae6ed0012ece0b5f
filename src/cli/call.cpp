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

constexpr std::chrono::seconds kTimeout{5};
constexpr std::string_view kMetricsEnd = "EOT\n";  // the last line of an answer with metrics

struct CallOptions {
  std::string address;
  std::string call;
};

// One call: sends its line and reads the answer until the gateway closes the connection.
class ManagementCall {
 public:
  explicit ManagementCall(const std::string& call) : request_(call + "\n") {}

  // Returns what ended the call: no error where the answer is complete.
  error_code Run(const asio::ip::tcp::endpoint& gateway) {
    socket_.async_connect(gateway, [this](error_code ec) { ec ? End(ec) : Write(); });
    io_.run_for(kTimeout);
    return result_;
  }

  const std::string& answer() const { return answer_; }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(request_),
                      [this](error_code ec, std::size_t) { ec ? End(ec) : Read(); });
  }

  void Read() {
    asio::async_read(socket_, asio::dynamic_buffer(answer_),
                     [this](error_code ec, std::size_t) { End(ec == asio::error::eof ? error_code() : ec); });
  }

  void End(error_code result) { result_ = result; }

  asio::io_context io_{1};
  asio::ip::tcp::socket socket_{io_};
  const std::string request_;
  std::string answer_;
  error_code result_ = asio::error::timed_out;  // until it has ended
};

int CallGateway(const CallOptions& options) {
  const auto gateway = base::ParseSocketAddress(options.address);
  if (!gateway || gateway->port() == 0) {
    throw std::invalid_argument("'" + options.address +
                                "' is not an address and port, such as 127.0.0.1:3001");
  }
  ManagementCall call(options.call);
  if (const error_code error = call.Run(*gateway)) {
    fmt::print(stderr, "gatewayctl: {}: {}\n", options.address, error.message());
    return kFailure;
  }
  std::string_view answer = call.answer();
  const bool success = answer.starts_with("SUCCESS") || answer.ends_with("\nEOT\n");
  if (success && options.call == "metrics") answer.remove_suffix(kMetricsEnd.size());
  fmt::print("{}", answer);
  return success ? kSuccess : kFailure;
}

}  // namespace

void AddCall(CLI::App& app, Command& selected) {
  const auto options = std::make_shared<CallOptions>();
  CLI::App* const call = app.add_subcommand("call", "Calls a gateway where its operators do (NODE_MGMT)");
  call->add_option("ADDRESS", options->address, "Address and port")->required();
  call->add_option("CALL", options->call, "What to ask")
      ->required()
      ->check(CLI::IsMember({"check", "vars", "metrics", "drain-on", "drain-off"}));
  call->footer(
      "Exit codes: 0 SUCCESS or figures, 1 FAILURE or no answer, 2 wrong use.\nExample: gatewayctl call "
      "127.0.0.1:3001 check");
  SelectWhenGiven(*call, selected, [options] { return CallGateway(*options); });
}

}  // namespace gateway::cli
