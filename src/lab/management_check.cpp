#include "lab/management_check.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

namespace gateway::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr char kCheckCommand[] = "check\n";

class ManagementCheck : public std::enable_shared_from_this<ManagementCheck> {
 public:
  ManagementCheck(boost::asio::io_context& io, std::function<void(bool)> done)
      : socket_(io), done_(std::move(done)) {}

  void Begin(const tcp::endpoint& management) {
    socket_.async_connect(
        management, [self = shared_from_this()](error_code ec) { ec ? self->done_(false) : self->Write(); });
  }

 private:
  void Write() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(kCheckCommand, sizeof kCheckCommand - 1),
        [self = shared_from_this()](error_code ec, std::size_t) { ec ? self->done_(false) : self->Read(); });
  }

  void Read() {
    boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(answer_), '\n',
                                  [self = shared_from_this()](error_code ec, std::size_t) {
                                    self->done_(!ec && self->answer_.starts_with("SUCCESS"));
                                  });
  }

  tcp::socket socket_;
  const std::function<void(bool)> done_;
  std::string answer_;
};

}  // namespace

void CheckGateway(boost::asio::io_context& io, const tcp::endpoint& management,
                  std::function<void(bool success)> done) {
  std::make_shared<ManagementCheck>(io, std::move(done))->Begin(management);
}

}  // namespace gateway::lab
