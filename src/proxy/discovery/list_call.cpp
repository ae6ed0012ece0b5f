#include "proxy/discovery/list_call.hpp"

#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxListBytes = 8 << 20;
constexpr int kHttp11 = 11;

}  // namespace

ListCall::ListCall(asio::io_context& io, const Options& options, Connection connection, Observer& observer)
    : options_(options),
      connection_(std::move(connection)),
      observer_(&observer),
      connected_(connection_ != nullptr),
      timer_(io),
      request_(http::verb::get, options.target, kHttp11) {
  if (!connection_) connection_ = std::make_unique<tcp::socket>(io);
  request_.set(http::field::host, options.service.address().to_string());
  if (!options.keep_alive) request_.keep_alive(false);
  parser_.body_limit(kMaxListBytes);
}

void ListCall::Start() {
  started_at_ = Now();
  if (!connected_) return Connect();
  SetTimeout(options_.response_timeout);
  SendRequest();
}

void ListCall::Connect() {
  ExpireAfter(options_.connect_timeout, {ListError::Kind::kConnectTimeout, "the connection timed out"});
  connection_->async_connect(options_.service, [self = shared_from_this()](error_code ec) {
    if (!self->observer_) return;
    if (ec) return self->End(self->TransportError(ec));
    self->connected_ = true;
    self->SetTimeout(self->started_at_ + self->options_.response_timeout - Now());
    self->SendRequest();
  });
}

void ListCall::SendRequest() {
  http::async_write(*connection_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->observer_) return;
    if (ec) return self->End(self->TransportError(ec));
    self->ReadHeader();
  });
}

// Reads the header before the body to check Content-Length: Boost 1.74 does not compare Content-Length with
// the body limit.
void ListCall::ReadHeader() {
  http::async_read_header(
      *connection_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
        if (!self->observer_) return;
        if (ec) return self->End(self->TransportError(ec));
        if (self->parser_.content_length().value_or(0) > kMaxListBytes) {
          return self->End(
              ListError{ListError::Kind::kTooLong,
                        "the list exceeds the size limit of " + std::to_string(kMaxListBytes) + " bytes"});
        }
        self->ReadBody();
      });
}

void ListCall::ReadBody() {
  http::async_read(*connection_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->observer_) return;
    if (ec) return self->End(self->TransportError(ec));
    self->End(self->ParseResponse());
  });
}

void ListCall::SetTimeout(Millis timeout) {
  ExpireAfter(timeout, {ListError::Kind::kResponseTimeout, "the response timed out"});
}

void ListCall::ExpireAfter(Millis timeout, ListError error) {
  timer_.expires_after(TimerDuration(timeout));
  timer_.async_wait([self = shared_from_this(), error = std::move(error)](error_code ec) {
    if (!ec) self->End(error);
  });
}

ListError ListCall::TransportError(const error_code& ec) const {
  return {ListError::Kind::kTransport, ec.message()};
}

ListCall::Result ListCall::ParseResponse() const {
  const auto& response = parser_.get();
  if (response.result() != http::status::ok) {
    return ListError{ListError::Kind::kHttpStatus, "HTTP status " + std::to_string(response.result_int())};
  }
  std::optional<EndpointList> list = ParseEndpointList(response.body());
  if (!list) return ListError{ListError::Kind::kMalformed, "the response is not a valid host list"};
  return *std::move(list);
}

void ListCall::End(Result result) {
  if (!observer_) return;
  timer_.cancel();
  Observer* const observer = std::exchange(observer_, nullptr);
  if (std::holds_alternative<ListError>(result)) CloseConnection();
  observer->OnListCallEnded(*this, std::move(result));
}

void ListCall::Abandon() {
  if (!std::exchange(observer_, nullptr)) return;
  timer_.cancel();
  CloseConnection();
}

// Closes the socket but does not destroy it, because an operation whose completion is pending still uses it.
void ListCall::CloseConnection() {
  if (!connection_) return;
  error_code ignored;
  connection_->close(ignored);
}

ListCall::Connection ListCall::TakeConnection() {
  if (!connection_ || !connection_->is_open() || !parser_.get().keep_alive()) return nullptr;
  return std::move(connection_);
}

}  // namespace gateway::proxy
