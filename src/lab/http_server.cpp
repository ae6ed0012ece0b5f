#include "lab/http_server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>
#include <utility>

#include "base/socket_address.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kBacklog = 4096;
constexpr int kHttp11 = 11;

void ResetOnClose(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

}  // namespace

HttpResponse MakeResponse(unsigned status, std::string body) {
  HttpResponse response(static_cast<http::status>(status), kHttp11);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

ServerConnection::ServerConnection(tcp::socket socket, Link* link, std::shared_ptr<const Handlers> handlers)
    : socket_(std::move(socket)), link_(link), handlers_(std::move(handlers)) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

// Calls `deliver` synchronously if there is no link.
void ServerConnection::Transmit(Link::Direction direction, std::function<void()> deliver) {
  if (link_ == nullptr) return deliver();
  link_->Transmit(direction, std::move(deliver));
}

void ServerConnection::Read() {
  parser_.emplace();
  parser_->body_limit(base::kMaxHttpBodyBytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code ec, std::size_t) { self->OnRead(ec); });
}

void ServerConnection::OnRead(const error_code& ec) {
  if (!open_) return;
  const auto self = shared_from_this();
  if (ec) return Transmit(Link::Direction::kFromGateway, [self] { self->Close(); });
  ++requests_;
  keep_alive_ = parser_->keep_alive();
  answering_ = true;
  WatchForClose();
  Transmit(Link::Direction::kFromGateway, [self] {
    if (self->open_) self->handlers_->request(self, self->parser_->release());
  });
}

// Detects that the client closes the connection before its request is answered. The close cancels the
// request.
void ServerConnection::WatchForClose() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    if (!ec && self->open_ && self->answering_) self->OnReadable();
  });
}

void ServerConnection::OnReadable() {
  char byte;
  const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) return;
  Transmit(Link::Direction::kFromGateway, [self = shared_from_this()] { self->Close(); });
}

void ServerConnection::Answer(HttpResponse response, std::function<void()> on_write) {
  if (!open_) return;
  Transmit(Link::Direction::kToGateway, [self = shared_from_this(), response = std::move(response),
                                         on_write = std::move(on_write)]() mutable {
    if (!self->open_) return;
    if (on_write) on_write();
    self->Write(std::move(response));
  });
}

void ServerConnection::Write(HttpResponse response) {
  response_ = std::move(response);
  if (response_.need_eof()) keep_alive_ = false;
  http::async_write(socket_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->open_) return;
    self->answering_ = false;
    self->idle_since_ = MonotonicNow();
    if (ec || !self->keep_alive_) return self->Close();
    self->socket_.cancel(ec);  // ends WatchForClose
    self->Read();
  });
}

void ServerConnection::Close(bool reset) {
  if (!std::exchange(open_, false)) return;
  if (reset) ResetOnClose(socket_);
  error_code ignored;
  socket_.close(ignored);
  handlers_->closed(shared_from_this());
}

Listener::Listener(asio::io_context& io, const tcp::endpoint& address, Link* link, OnAccept on_accept)
    : io_(io), acceptor_(io), link_(link), on_accept_(std::move(on_accept)) {
  error_code ec;
  acceptor_.open(address.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(address, ec);
  if (!ec) acceptor_.listen(kBacklog, ec);
  if (ec) {
    throw std::runtime_error("can't listen at " + base::FormatSocketAddress(address) + ": " + ec.message());
  }
  if (link_ != nullptr) link_->SetObserver([this] { SetUnreachable(link_->IsCut()); });
  if (link_ != nullptr && link_->IsCut()) {
    SetUnreachable(true);
  } else {
    Accept();
  }
}

Listener::~Listener() {
  *alive_ = false;
  if (link_ != nullptr) link_->SetObserver({});
}

void Listener::Accept() {
  acceptor_.async_accept([this, alive = alive_](error_code ec, tcp::socket socket) {
    if (!*alive || ec == asio::error::operation_aborted || unreachable_) return;
    if (!ec) on_accept_(std::move(socket));
    Accept();
  });
}

void Listener::SetUnreachable(bool unreachable) {
  if (std::exchange(unreachable_, unreachable) == unreachable) return;
  if (unreachable) return FillBacklog();
  backlog_fillers_.clear();
  ::listen(acceptor_.native_handle(), kBacklog);
  Accept();
}

// While the backlog is full, the kernel drops the SYN packet of each further connection, like a cut network
// link. Two connections fill it: a backlog of 0 admits one established connection, and the second connection
// fills the queue of connections that are not yet established.
void Listener::FillBacklog() {
  constexpr int kFillers = 2;
  error_code ignored;
  acceptor_.cancel(ignored);
  ::listen(acceptor_.native_handle(), 0);
  for (int i = 0; i < kFillers; ++i) {
    tcp::socket& socket = backlog_fillers_.emplace_back(io_, acceptor_.local_endpoint(ignored).protocol());
    socket.non_blocking(true, ignored);
    const tcp::endpoint address = acceptor_.local_endpoint(ignored);
    (void)::connect(socket.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
  }
}

}  // namespace gateway::lab
