#include "cli/call.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "base/socket_address.hpp"

namespace gateway::cli {
namespace {

constexpr std::chrono::seconds kPatience{5};

}  // namespace

CallAnswer Call(const std::string& address, const std::string& call) {
  namespace asio = boost::asio;
  using boost::system::error_code;
  const auto to = base::ParseSocketAddress(address);
  if (!to || to->port() == 0) {
    throw std::invalid_argument("'" + address + "' is not an address and port, such as 127.0.0.1:3001");
  }
  asio::io_context io(1);
  asio::ip::tcp::socket socket(io);
  CallAnswer answer;
  error_code failed = asio::error::timed_out;
  const std::string line = call + "\n";
  socket.async_connect(*to, [&](error_code connect_ec) {
    if (connect_ec) return failed = connect_ec, void();
    asio::async_write(socket, asio::buffer(line), [&](error_code write_ec, std::size_t) {
      if (write_ec) return failed = write_ec, void();
      asio::async_read(socket, asio::dynamic_buffer(answer.text), [&](error_code read_ec, std::size_t) {
        failed = read_ec == asio::error::eof ? error_code() : read_ec;
      });
    });
  });
  io.run_for(kPatience);
  if (failed) throw CallFailure(address + ": " + failed.message());
  answer.success = answer.text.rfind("SUCCESS", 0) == 0 || answer.text.ends_with("\nEOT\n");
  if (answer.success && call == "metrics")
    answer.text.erase(answer.text.size() - 4);  // for a scraper, not for us
  return answer;
}

}  // namespace gateway::cli
