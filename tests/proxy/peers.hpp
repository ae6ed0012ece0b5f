// Fake servers and clients on loopback for tests of the gateway. They run on the gateway's event loop. Tests
// run the event loop until a condition holds instead of sleeping.
#ifndef GATEWAY_TESTS_PROXY_PEERS_HPP_
#define GATEWAY_TESTS_PROXY_PEERS_HPP_

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "proxy/http_types.hpp"

namespace gateway::proxy::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using proxy::HttpRequest;
using proxy::HttpResponse;
using tcp = asio::ip::tcp;

inline tcp::endpoint Loopback(unsigned short port = 0) { return {asio::ip::address_v4::loopback(), port}; }

inline std::string ToText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Runs the event loop until `condition` returns true, and then returns true. Returns false after 30 s, which
// is far longer than a passing test waits for any condition.
template <typename Condition>
bool RunUntil(asio::io_context& io, Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// An HTTP server that records each request. A test responds to the recorded requests, or sets `serve` to
// handle each request when it arrives.
class FakeServer {
 public:
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(FakeServer& owner, tcp::socket s) : server(owner), socket(std::move(s)) {}

    void ReadRequests() {
      parser.emplace();
      parser->body_limit(64 << 20);
      http::async_read(socket, buffer, *parser, [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) {
          self->closed_by_gateway = true;
          return;
        }
        self->server.requests.push_back({self->parser->release(), self});
        self->ReadRequests();
        if (self->server.serve) self->server.serve(self->server.requests.back());
      });
    }
    void WriteRaw(std::string text) {
      const auto data = std::make_shared<std::string>(std::move(text));
      asio::async_write(
          socket, asio::buffer(*data),
          [data, self = shared_from_this()](error_code ec, std::size_t) { self->completed_writes += !ec; });
    }
    void Close() {
      error_code ignored;
      socket.close(ignored);
    }
    void Reset() {
      error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }

    FakeServer& server;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    bool closed_by_gateway = false;
    int completed_writes = 0;  // number of texts that WriteRaw has written completely
  };

  struct ReceivedRequest {
    HttpRequest http;
    std::shared_ptr<Connection> connection;

    // Sends a response, with one additional header field unless `field` is empty.
    void Respond(int status, std::string body, const std::string& field = "",
                 const std::string& value = "") const {
      HttpResponse response(static_cast<http::status>(status), 11);
      response.body() = std::move(body);
      response.prepare_payload();
      if (!field.empty()) response.set(field, value);
      std::ostringstream text;
      text << response;
      connection->WriteRaw(text.str());
    }
  };

  // By default listens on a free port.
  explicit FakeServer(asio::io_context& io, const tcp::endpoint& address = Loopback())
      : io_(io), acceptor_(io, address) {
    Accept();
  }
  ~FakeServer() {
    for (const auto& connection : connections) connection->Close();
  }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void StopListening() { acceptor_.close(); }

  std::vector<ReceivedRequest> requests;
  std::vector<std::shared_ptr<Connection>> connections;
  std::function<void(const ReceivedRequest&)> serve;  // if set, called for each request when it arrives
  bool never_reads = false;  // the server accepts connections but reads nothing from them

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<Connection>(*this, std::move(socket)));
      if (!never_reads) connections.back()->ReadRequests();
      Accept();
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
};

// An HTTP client with one connection. It records all responses.
class Client {
 public:
  Client(asio::io_context& io, const tcp::endpoint& address) : io_(io), state_(std::make_shared<State>(io)) {
    state_->socket.connect(address);
    ReadResponses(state_);
  }
  ~Client() { Disconnect(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Writes `text`, and runs the event loop while the socket accepts no more bytes. Stops if the connection is
  // closed; see write_failed().
  void Send(const std::string& text) {
    state_->socket.non_blocking(true);
    for (std::size_t sent = 0; sent < text.size();) {
      error_code ec;
      sent += state_->socket.write_some(asio::buffer(text.data() + sent, text.size() - sent), ec);
      if (ec == asio::error::would_block) {
        // The gateway runs on the same event loop. It reads from the connection while the loop runs.
        io_.run_one_for(std::chrono::milliseconds(10));
      } else if (ec) {
        state_->write_failed = true;
        return;  // the gateway may close the connection before it has read all of the text
      }
    }
  }
  void Disconnect() {
    error_code ignored;
    state_->socket.close(ignored);
  }

  // Waits for response number `n` on the connection, counted from 1, and returns it.
  const HttpResponse& Await(std::size_t n = 1) {
    static const HttpResponse kNone(http::status::unknown, 11);
    if (RunUntil(io_, [&] { return responses().size() >= n; })) return responses()[n - 1];
    ADD_FAILURE() << "timed out waiting for response " << n << "; received " << responses().size();
    return kNone;
  }
  // Runs the event loop until the gateway has closed the connection. Returns false if RunUntil times out.
  bool AwaitClose() {
    return RunUntil(io_, [&] { return closed_by_gateway(); });
  }
  const std::vector<HttpResponse>& responses() const { return state_->responses; }
  bool closed_by_gateway() const { return state_->closed_by_gateway; }
  // Whether a call to Send has failed because the connection was closed.
  bool write_failed() const { return state_->write_failed; }

 private:
  struct State {  // shared with the pending read, which may outlive the client
    explicit State(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::vector<HttpResponse> responses;
    bool closed_by_gateway = false, write_failed = false;
  };

  static void ReadResponses(const std::shared_ptr<State>& state) {
    state->parser.emplace();
    state->parser->body_limit(64 << 20);
    http::async_read(state->socket, state->buffer, *state->parser, [state](error_code ec, std::size_t) {
      if (ec == asio::error::operation_aborted) return;
      if (ec) {
        state->closed_by_gateway = true;
        return;
      }
      state->responses.emplace_back(state->parser->release());
      ReadResponses(state);
    });
  }

  asio::io_context& io_;
  const std::shared_ptr<State> state_;
};

// A client that records the raw bytes that it receives. It reads nothing until the test calls Read.
class RawClient {
 public:
  RawClient(asio::io_context& io, const tcp::endpoint& address)
      : io_(io), state_(std::make_shared<State>(io)) {
    state_->socket.connect(address);
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Closes the connection, with a FIN if all received bytes were read.
  void Close() {
    error_code ignored;
    state_->socket.close(ignored);
  }
  // Closes the connection with an RST.
  void Reset() {
    error_code ignored;
    state_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    state_->socket.close(ignored);
  }
  void Send(std::string text) {
    const auto data = std::make_shared<std::string>(std::move(text));
    asio::async_write(state_->socket, asio::buffer(*data),
                      [data, state = state_](error_code ec, std::size_t) { state->completed_writes += !ec; });
  }
  // Writes a text that fits into the socket buffers, without running the event loop.
  void SendNow(const std::string& text) { asio::write(state_->socket, asio::buffer(text)); }
  // Reads up to `limit_bytes` that have arrived.
  void ReadNow(std::size_t limit_bytes) {
    error_code error;
    state_->socket.non_blocking(true, error);
    const std::size_t received_bytes =
        state_->socket.read_some(asio::buffer(state_->piece, limit_bytes), error);
    state_->text.append(state_->piece.data(), received_bytes);
    state_->closed_by_gateway = error && error != asio::error::would_block;
  }
  void Read() {
    state_->socket.async_read_some(asio::buffer(state_->piece),
                                   [this, state = state_](error_code ec, std::size_t received_bytes) {
                                     state->text.append(state->piece.data(), received_bytes);
                                     state->closed_by_gateway = ec && ec != asio::error::operation_aborted;
                                     state->reset = ec == asio::error::connection_reset;
                                     if (!ec) Read();
                                   });
  }
  bool Await(const std::string& expected) {
    return RunUntil(io_, [&] { return state_->text.find(expected) != std::string::npos; });
  }
  bool AwaitClose() {
    return RunUntil(io_, [&] { return state_->closed_by_gateway; });
  }
  const std::string& text() const { return state_->text; }
  bool closed_by_gateway() const { return state_->closed_by_gateway; }
  bool reset() const { return state_->reset; }
  int completed_writes() const { return state_->completed_writes; }

 private:
  struct State {
    explicit State(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 65536> piece;
    std::string text;
    int completed_writes = 0;
    bool closed_by_gateway = false, reset = false;
  };
  asio::io_context& io_;
  std::shared_ptr<State> state_;
};

// A host whose accept queue is full, so that connects to it stay pending until Accept makes room.
class UnreachableHost {
 public:
  explicit UnreachableHost(asio::io_context& io) : listener_(io, tcp::v4()), queue_filler_(io) {
    listener_.bind(Loopback());
    listener_.listen(0);
    listener_.non_blocking(true);
    queue_filler_.connect(listener_.local_endpoint());  // occupies the only slot of the accept queue
  }
  tcp::endpoint address() const { return listener_.local_endpoint(); }
  // Accepts the pending connections. Returns the number of bytes that have arrived on all of them.
  std::size_t Accept() {
    error_code ec;
    tcp::socket socket = listener_.accept(ec);
    if (!ec) accepted_.push_back(std::move(socket));
    std::size_t bytes = 0;
    for (const auto& connection : accepted_) bytes += connection.available(ec);
    return bytes;
  }

 private:
  tcp::acceptor listener_;
  tcp::socket queue_filler_;
  std::vector<tcp::socket> accepted_;
};

// Returns one chunk of a chunked body.
inline std::string Chunk(const std::string& data) {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

// Returns the text of an API request. `extra_header_lines` holds complete lines, each with its CRLF.
inline std::string ApiCall(const std::string& id, const std::string& class_name = "view",
                           const std::string& deadline = "5000m", const std::string& body = "",
                           const std::string& extra_header_lines = "") {
  const bool idempotent = class_name == "view";
  std::string text = std::string(idempotent ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\n";
  text += "Req-Id: " + id + "\r\nReq-Kind: " + class_name + "\r\nReq-Deadline: " + deadline + "\r\n";
  text += extra_header_lines;
  if (!idempotent || !body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Returns one entry of an endpoint list.
inline nlohmann::json MakeEndpointEntry(const std::string& id, const tcp::endpoint& address,
                                        const std::string& phase = "up") {
  return {{"id", id},        {"host_port", ToText(address)},
          {"locality", "a"}, {"flavor", "m"},
          {"cell", 0},       {"phase", phase},
          {"size", 1.0},     {"up_since_ms", 0}};
}

// Returns an endpoint list in the format of the list service: a complete list (snapshot) if `complete` is
// true, otherwise the changes since an earlier revision (delta).
inline nlohmann::json MakeEndpointList(int revision, bool complete, std::vector<nlohmann::json> entries) {
  return {{"revision", revision}, {"complete", complete}, {"members", std::move(entries)}};
}

// Returns the `settings` object of a configuration. It has one traffic class for each kind of idempotency.
// The latency objectives are so long that requests meet them even on a busy machine.
inline nlohmann::json TestSettings() {
  const auto traffic_class = [](const char* name, const char* idempotency) {
    return nlohmann::json{{"name", name},      {"sloMs", 20000.0},           {"deadlineMs", 20000.0},
                          {"importance", 1.0}, {"idempotency", idempotency}, {"lateWorth", 0.0}};
  };
  return {
      {"categories",
       {traffic_class("view", "pure"), traffic_class("key", "token"), traffic_class("pay", "side_effect")}},
      {"membershipMode", "ask"},
      {"limits",
       {{"maxAttempts", 4},
        {"dialTimeoutMs", 5000.0},
        {"connIdleMs", 60000.0},
        {"cancelling", true},
        {"retryAfter", true},
        {"maxRetryAfterMs", 2000.0}}},
      {"report", {{"fields", {"inflight", "util"}}, {"source", "answers"}}},
      {"zone", "a"},
      {"unknownSetting", {{"unknownKey", "value"}}}};  // the gateway must ignore it
}

}  // namespace gateway::proxy::testing

#endif  // GATEWAY_TESTS_PROXY_PEERS_HPP_
