#include "lab/http.hpp"

#include <sys/socket.h>

#include <stdexcept>
#include <utility>

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kMostBody = 64 << 20;
constexpr int kBacklog = 4096;

void ResetOnClose(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

}  // namespace

HttpResponse MakeResponse(unsigned status, std::string body) {
  HttpResponse response(static_cast<http::status>(status), 11);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

ServerConnection::ServerConnection(tcp::socket socket, Link* link, std::shared_ptr<const Handlers> handlers)
    : socket_(std::move(socket)), link_(link), handlers_(std::move(handlers)) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void ServerConnection::Begin() { Read(); }

void ServerConnection::Read() {
  parser_.emplace();
  parser_->body_limit(kMostBody);
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->open_) return;
    if (ec) {
      const auto close = [self] { self->Close(); };
      return self->link_ ? self->link_->Pass(Link::Way::kThere, close) : close();
    }
    ++self->requests_;
    self->keep_ = self->parser_->keep_alive();
    self->answering_ = true;
    self->Watch();
    const auto pass = [self] {
      if (self->open_) self->handlers_->request(self, self->parser_->release());
    };
    self->link_ ? self->link_->Pass(Link::Way::kThere, pass) : pass();
  });
}

// While a request is being worked on: a peer that closes wants no answer.
void ServerConnection::Watch() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    if (ec || !self->open_ || !self->answering_) return;
    char byte;
    const auto got = ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) return;
    const auto close = [self] { self->Close(); };
    self->link_ ? self->link_->Pass(Link::Way::kThere, close) : close();
  });
}

void ServerConnection::Answer(HttpResponse response, std::function<void()> passes) {
  if (!open_) return;
  auto pass = [self = shared_from_this(), response = std::move(response),
               passes = std::move(passes)]() mutable {
    if (!self->open_) return;
    if (passes) passes();
    self->response_ = std::move(response);
    if (self->response_.need_eof()) self->keep_ = false;
    http::async_write(self->socket_, self->response_, [self](error_code ec, std::size_t) {
      if (!self->open_) return;
      self->answering_ = false;
      self->idle_since_ = MonotonicNow();
      if (ec || !self->keep_) return self->Close();
      self->socket_.cancel(ec);  // the watch on the peer's closing
      self->Read();
    });
  };
  link_ ? link_->Pass(Link::Way::kBack, std::move(pass)) : pass();
}

void ServerConnection::Close(bool reset) {
  if (!std::exchange(open_, false)) return;
  if (reset) ResetOnClose(socket_);
  error_code ignored;
  socket_.close(ignored);
  handlers_->closed(shared_from_this());
}

Listener::Listener(asio::io_context& io, const tcp::endpoint& address, Link* link, Accepted accepted)
    : io_(io), acceptor_(io), link_(link), accepted_(std::move(accepted)) {
  error_code ec;
  acceptor_.open(address.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(address, ec);
  if (!ec) acceptor_.listen(kBacklog, ec);
  if (ec) {
    throw std::runtime_error("can't listen at " + address.address().to_string() + ":" +
                             std::to_string(address.port()) + ": " + ec.message());
  }
  if (link_) link_->Watch([this] { Hush(link_->cut()); });
  link_ && link_->cut() ? Hush(true) : Accept();
}

Listener::~Listener() {
  *alive_ = false;
  if (link_) link_->Watch({});
}

void Listener::Accept() {
  acceptor_.async_accept([this, alive = alive_](error_code ec, tcp::socket socket) {
    if (!*alive || ec == asio::error::operation_aborted || silent_) return;
    if (!ec) accepted_(std::move(socket));
    Accept();
  });
}

// A queue of one that is full makes the kernel drop the first packet of any further call, as a cut line
// would.
void Listener::Hush(bool silent) {
  if (std::exchange(silent_, silent) == silent) return;
  error_code ignored;
  if (!silent) {
    stuffing_.clear();
    ::listen(acceptor_.native_handle(), kBacklog);
    return Accept();
  }
  acceptor_.cancel(ignored);
  ::listen(acceptor_.native_handle(), 0);
  for (int i = 0; i < 2; ++i) {
    tcp::socket& socket = stuffing_.emplace_back(io_, acceptor_.local_endpoint(ignored).protocol());
    socket.non_blocking(true, ignored);
    const tcp::endpoint here = acceptor_.local_endpoint(ignored);
    (void)::connect(socket.native_handle(), here.data(), static_cast<socklen_t>(here.size()));
  }
}

}  // namespace gateway::lab
