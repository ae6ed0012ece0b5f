#include "registry/health_checker.hpp"

#include <utility>

#include "base/clock.hpp"

namespace gateway::registry {
namespace {

using base::ClientConnection;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kOk = 200;

}  // namespace

HealthChecker::HealthChecker(boost::asio::io_context& io, HealthCheckOptions options,
                             std::function<void(bool passed)> on_result)
    : io_(io), options_(std::move(options)), on_result_(std::move(on_result)), timer_(io) {}

void HealthChecker::Check() {
  if (options_.path.empty()) return Connect();
  RequestPath();
}

void HealthChecker::RequestPath() {
  if (!http_ || !http_->usable()) http_ = std::make_shared<ClientConnection>(io_, options_.address);
  http_->Exchange("GET " + options_.path + " HTTP/1.1\r\nHost: localhost\r\n\r\n", options_.timeout,
                  [this](const ClientConnection::Result& result) { OnResponse(result); });
}

void HealthChecker::OnResponse(const ClientConnection::Result& result) {
  const bool answered = result.failure == ClientConnection::Failure::kNone;
  OnChecked(answered && result.response.result_int() == kOk);
}

void HealthChecker::Connect() {
  probe_ = std::make_shared<tcp::socket>(io_);
  timer_.expires_after(base::TimerDuration(options_.timeout));
  timer_.async_wait([probe = probe_](error_code error) {
    error_code ignored;
    if (!error) probe->close(ignored);
  });
  probe_->async_connect(options_.address, [this, probe = probe_](error_code error) { OnChecked(!error); });
}

void HealthChecker::OnChecked(bool passed) {
  on_result_(passed);
  timer_.expires_after(base::TimerDuration(options_.interval));
  timer_.async_wait([this](error_code error) {
    if (!error) Check();
  });
}

}  // namespace gateway::registry
