#include "lab/stand_in.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

#include "base/socket_address.hpp"
#include "lab/http_server.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr Millis kDeadlineMargin = 20;  // so that the response reaches the client before the client's timeout
constexpr int kMaxAttempts = 3;
constexpr Millis kWatchTimeout = 5000;
constexpr Millis kWatchGrace = 2000;  // time that a watch may take beyond its timeout
constexpr Millis kPollBackoff = 300;
constexpr std::uint64_t kRequestsPerDefect = 50;    // every 50th request triggers "loses" or "forges"
constexpr std::uint64_t kRequestsBeforeExit = 200;  // for "dies"
constexpr int kDefectExitCode = 3;
constexpr Millis kDrainTime = 3500;  // from SIGTERM to the exit

tcp::endpoint ParseAddress(const std::string& text) {
  const auto address = base::ParseSocketAddress(text);
  if (!address) throw std::runtime_error("'" + text + "' is not an address and port");
  return *address;
}

class StandInGateway {
 public:
  StandInGateway(asio::io_context& io, const StandInOptions& options, const json& config)
      : io_(io),
        options_(options),
        random_(std::strtoull(config.value("seed", std::string("1")).c_str(), nullptr, 16)),
        list_address_(ParseAddress(config.at("discovery").get<std::string>())),
        poll_timer_(io) {
    ApplyList(config.at("known"));
    handlers_ = std::make_shared<const ServerConnection::Handlers>(ServerConnection::Handlers{
        [this](const auto& connection, HttpRequest request) { OnRequest(connection, std::move(request)); },
        [this](const auto& connection) { clients_.erase(connection); }});
    listener_ = std::make_unique<Listener>(
        io, ParseAddress(config.at("listen").get<std::string>()), nullptr, [this](tcp::socket socket) {
          const auto connection = std::make_shared<ServerConnection>(std::move(socket), nullptr, handlers_);
          clients_.insert(connection);
          connection->Begin();
        });
    Poll();
  }

  // Reports on open connections that the gateway is not ready, and accepts no new connections.
  void Drain() {
    draining_ = true;
    listener_.reset();
  }

 private:
  struct Endpoint {
    tcp::endpoint address;
    bool up = true;
    int in_flight = 0;
    std::vector<std::shared_ptr<ClientConnection>> idle_connections;
  };
  struct ActiveRequest {
    std::shared_ptr<ServerConnection> client;
    HttpRequest message;
    Millis deadline = 0;
    int attempts = 0;
    bool idempotent = true;
    bool answered = false;
  };

  void ApplyList(const json& list) {
    if (list.at("complete").get<bool>()) {
      for (auto& [id, endpoint] : endpoints_) endpoint.up = false;
    }
    for (const json& member : list.at("members")) {
      Endpoint& endpoint = endpoints_[member.at("id").get<std::string>()];
      endpoint.address = ParseAddress(member.at("host_port").get<std::string>());
      endpoint.up = member.at("phase").get<std::string>() == "up";
      if (!endpoint.up) endpoint.idle_connections.clear();
    }
    revision_ = list.at("revision").get<std::int64_t>();
  }

  void Poll() {
    if (!list_connection_ || !list_connection_->usable())
      list_connection_ = std::make_shared<ClientConnection>(io_, list_address_);
    list_connection_->Exchange(
        base::FormatGetRequest(
            fmt::format("/discovery/hosts?after={}&wait_ms={:.0f}", revision_, kWatchTimeout), "list"),
        kWatchTimeout + kWatchGrace, [this](ClientConnection::Result result) {
          const bool answered =
              result.failure == ClientConnection::Failure::kNone && result.response.result_int() == 200;
          const json list = answered ? json::parse(result.response.body(), nullptr, false) : json();
          if (list.is_object() && options_.fault != "ignores_drain") ApplyList(list);
          poll_timer_.expires_after(
              TimerDuration(list.is_object() && list.at("revision") == revision_ ? 0 : kPollBackoff));
          poll_timer_.async_wait([this](error_code ec) {
            if (!ec && !draining_) Poll();
          });
        });
  }

  // Selects an endpoint that is up according to the policy; null if no endpoint is up.
  Endpoint* PickEndpoint() {
    std::vector<Endpoint*> up;
    for (auto& [id, endpoint] : endpoints_) {
      if (endpoint.up) up.push_back(&endpoint);
    }
    if (up.empty()) return nullptr;
    if (options_.policy == "round_robin") return up[next_endpoint_++ % up.size()];
    const std::size_t draw = boost::random::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random_);
    if (options_.policy == "random") return up[draw];
    std::rotate(up.begin(), up.begin() + static_cast<std::ptrdiff_t>(draw), up.end());
    return *std::min_element(up.begin(), up.end(), [](const Endpoint* a, const Endpoint* b) {
      return a->in_flight < b->in_flight;
    });
  }

  void OnRequest(const std::shared_ptr<ServerConnection>& client, HttpRequest message) {
    if (message.target() == "/up") return client->Answer(MakeResponse(draining_ ? 503 : 200));
    const bool triggers_defect = ++requests_ % kRequestsPerDefect == 0;
    if (options_.fault == "dies" && requests_ > kRequestsBeforeExit) std::_Exit(kDefectExitCode);
    if (options_.fault == "loses" && triggers_defect) return;
    if (options_.fault == "forges" && triggers_defect) return client->Answer(MakeResponse(200, "done"));
    const auto request = std::make_shared<ActiveRequest>();
    request->client = client;
    request->idempotent = message.method() == boost::beast::http::verb::get;
    request->deadline =
        MonotonicNow() + std::atof(std::string(message["Req-Deadline"]).c_str()) - kDeadlineMargin;
    request->message = std::move(message);
    if (options_.fault == "twice") Send(request);
    Send(request);
  }

  void Answer(const std::shared_ptr<ActiveRequest>& request, HttpResponse response) {
    if (!std::exchange(request->answered, true)) request->client->Answer(std::move(response));
  }

  // Returns an idle connection to the endpoint, or a new connection.
  std::shared_ptr<ClientConnection> AcquireConnection(Endpoint& endpoint) {
    while (!endpoint.idle_connections.empty()) {
      auto connection = endpoint.idle_connections.back();
      endpoint.idle_connections.pop_back();
      if (connection->usable()) return connection;
    }
    return std::make_shared<ClientConnection>(io_, endpoint.address);
  }

  void ReuseLater(Endpoint& endpoint, const std::shared_ptr<ClientConnection>& connection) {
    if (!connection->usable()) return;
    connection->NotifyOnIdleClose([&endpoint, closed = connection.get()] {
      std::erase_if(endpoint.idle_connections, [closed](const auto& other) { return other.get() == closed; });
    });
    endpoint.idle_connections.push_back(connection);
  }

  static std::string RequestText(const HttpRequest& message, Millis time_left) {
    const auto text = [](auto view) { return std::string_view(view.data(), view.size()); };
    const std::string length =
        message.body().empty() ? "" : fmt::format("Content-Length: {}\r\n", message.body().size());
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Deadline: {:.0f}m\r\n{}\r\n{}",
        text(message.method_string()), text(message.target()), text(message["Req-Id"]), time_left, length,
        message.body());
  }

  void Send(const std::shared_ptr<ActiveRequest>& request) {
    if (request->answered) return;
    Endpoint* const endpoint = PickEndpoint();
    const Millis time_left = request->deadline - MonotonicNow();
    if (endpoint == nullptr || request->attempts == kMaxAttempts || time_left <= 0) {
      return Answer(request, MakeResponse(502));
    }
    ++request->attempts;
    ++endpoint->in_flight;
    const auto connection = AcquireConnection(*endpoint);
    connection->Exchange(RequestText(request->message, time_left), time_left,
                         [this, request, endpoint, connection](ClientConnection::Result result) {
                           --endpoint->in_flight;
                           ReuseLater(*endpoint, connection);
                           OnResult(request, std::move(result));
                         });
  }

  void OnResult(const std::shared_ptr<ActiveRequest>& request, ClientConnection::Result result) {
    using Failure = ClientConnection::Failure;
    if (result.failure == Failure::kNone && result.response.result_int() == 200) {
      return Answer(request, MakeResponse(200, std::move(result.response.body())));
    }
    const bool not_executed = result.failure == Failure::kConnectFailed ||
                              (result.failure == Failure::kNone && !result.response["Srv-Declined"].empty());
    if (not_executed || request->idempotent) return Send(request);
    Answer(request, MakeResponse(502));
  }

  asio::io_context& io_;
  const StandInOptions options_;
  boost::random::mt19937_64 random_;
  const tcp::endpoint list_address_;
  asio::steady_timer poll_timer_;
  std::shared_ptr<ClientConnection> list_connection_;
  std::int64_t revision_ = 0;
  std::map<std::string, Endpoint> endpoints_;
  std::size_t next_endpoint_ = 0;
  std::uint64_t requests_ = 0;
  bool draining_ = false;
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
  std::unique_ptr<Listener> listener_;
  std::unordered_set<std::shared_ptr<ServerConnection>> clients_;
};

}  // namespace

std::vector<std::string> StandInPolicies() { return {"random", "round_robin", "least_inflight"}; }
std::vector<std::string> StandInFaults() {
  return {"none", "twice", "ignores_drain", "loses", "forges", "dies"};
}

int ServeStandIn(const StandInOptions& options) {
  const char* const path = std::getenv("NODE_CONFIG");
  if (path == nullptr) throw std::runtime_error("the environment variable NODE_CONFIG is not set");
  std::ifstream stream(path);
  const json config = json::parse(stream, nullptr, /*allow_exceptions=*/false);
  if (!config.is_object()) {
    throw std::runtime_error(std::string("NODE_CONFIG: '") + path + "' is not a JSON object");
  }
  asio::io_context io(1);
  StandInGateway gateway(io, options, config);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  asio::steady_timer end_timer(io);
  signals.async_wait([&](error_code ec, int) {
    if (ec) return;
    gateway.Drain();
    end_timer.expires_after(TimerDuration(kDrainTime));
    end_timer.async_wait([&](error_code) { io.stop(); });
  });
  io.run();
  return 0;
}

}  // namespace gateway::lab
