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

#include "lab/http.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr Millis kMargin = 20;  // before the client leaves
constexpr int kAttempts = 3;
constexpr Millis kWatch = 5000;
constexpr Millis kAskAgain = 300;
constexpr std::uint64_t kFaultEvery = 50;
constexpr std::uint64_t kDiesAfter = 200;
constexpr Millis kLeave = 3500;

tcp::endpoint ToEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos ||
      std::from_chars(text.data() + colon + 1, text.data() + text.size(), port).ec != std::errc()) {
    throw std::runtime_error("'" + text + "' is not an address and port");
  }
  return {asio::ip::make_address(text.substr(0, colon)), port};
}

class Proxy {
 public:
  Proxy(asio::io_context& io, const StandIn& stand_in, const json& file)
      : io_(io),
        stand_in_(stand_in),
        random_(std::strtoull(file.value("seed", std::string("1")).c_str(), nullptr, 16)),
        discovery_at_(ToEndpoint(file.at("discovery").get<std::string>())),
        again_(io) {
    Take(file.at("known"));
    handlers_ = std::make_shared<const ServerConnection::Handlers>(ServerConnection::Handlers{
        [this](const auto& connection, HttpRequest request) { Requested(connection, std::move(request)); },
        [this](const auto& connection) { clients_.erase(connection); }});
    listener_ = std::make_unique<Listener>(
        io, ToEndpoint(file.at("listen").get<std::string>()), nullptr, [this](tcp::socket socket) {
          const auto connection = std::make_shared<ServerConnection>(std::move(socket), nullptr, handlers_);
          clients_.insert(connection);
          connection->Begin();
        });
    Ask();
  }

  void Leave() {
    leaving_ = true;
    listener_.reset();
  }

 private:
  struct Host {
    tcp::endpoint address;
    bool up = true;
    int in_flight = 0;
    std::vector<std::shared_ptr<ClientConnection>> idle;
  };
  struct Flow {
    std::shared_ptr<ServerConnection> client;
    HttpRequest request;
    Millis until = 0;
    int attempts = 0;
    bool repeatable = true, answered = false;
  };

  void Take(const json& list) {
    if (list.at("complete").get<bool>()) {
      for (auto& [id, host] : hosts_) host.up = false;
    }
    for (const json& member : list.at("members")) {
      Host& host = hosts_[member.at("id").get<std::string>()];
      host.address = ToEndpoint(member.at("host_port").get<std::string>());
      host.up = member.at("phase").get<std::string>() == "up";
      if (!host.up) host.idle.clear();
    }
    revision_ = list.at("revision").get<std::int64_t>();
  }

  void Ask() {
    if (!discovery_ || !discovery_->usable())
      discovery_ = std::make_shared<ClientConnection>(io_, discovery_at_);
    discovery_->Exchange(
        fmt::format("GET /discovery/hosts?after={}&wait_ms={:.0f} HTTP/1.1\r\nHost: list\r\n\r\n", revision_,
                    kWatch),
        kWatch + 2000, [this](ClientConnection::Result result) {
          const bool told =
              result.failure == ClientConnection::Failure::kNone && result.response.result_int() == 200;
          const json list = told ? json::parse(result.response.body(), nullptr, false) : json();
          if (list.is_object() && stand_in_.fault != "ignores_drain") Take(list);
          again_.expires_after(
              TimerDuration(list.is_object() && list.at("revision") == revision_ ? 0 : kAskAgain));
          again_.async_wait([this](error_code ec) {
            if (!ec && !leaving_) Ask();
          });
        });
  }

  Host* Pick() {
    std::vector<Host*> up;
    for (auto& [id, host] : hosts_) {
      if (host.up) up.push_back(&host);
    }
    if (up.empty()) return nullptr;
    if (stand_in_.policy == "round_robin") return up[turn_++ % up.size()];
    const std::size_t draw = boost::random::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random_);
    if (stand_in_.policy == "random") return up[draw];
    std::rotate(up.begin(), up.begin() + static_cast<std::ptrdiff_t>(draw), up.end());
    return *std::min_element(up.begin(), up.end(),
                             [](const Host* a, const Host* b) { return a->in_flight < b->in_flight; });
  }

  void Requested(const std::shared_ptr<ServerConnection>& client, HttpRequest request) {
    if (request.target() == "/up") return client->Answer(MakeResponse(leaving_ ? 503 : 200));
    const bool struck = ++requests_ % kFaultEvery == 0;
    if (stand_in_.fault == "dies" && requests_ > kDiesAfter) std::_Exit(3);
    if (stand_in_.fault == "loses" && struck) return;
    if (stand_in_.fault == "forges" && struck) return client->Answer(MakeResponse(200, "done"));
    const auto flow = std::make_shared<Flow>();
    const auto deadline = request["Req-Deadline"];
    flow->client = client;
    flow->repeatable = request.method() == boost::beast::http::verb::get;
    flow->until = MonotonicNow() + std::atof(std::string(deadline).c_str()) - kMargin;
    flow->request = std::move(request);
    if (stand_in_.fault == "twice") Send(flow);
    Send(flow);
  }

  void Answer(const std::shared_ptr<Flow>& flow, HttpResponse response) {
    if (!std::exchange(flow->answered, true)) flow->client->Answer(std::move(response));
  }

  void Send(const std::shared_ptr<Flow>& flow) {
    if (flow->answered) return;
    Host* const host = Pick();
    const Millis left = flow->until - MonotonicNow();
    if (host == nullptr || flow->attempts == kAttempts || left <= 0) return Answer(flow, MakeResponse(502));
    ++flow->attempts;
    std::shared_ptr<ClientConnection> connection;
    while (!host->idle.empty() && !connection) {
      if (host->idle.back()->usable()) connection = host->idle.back();
      host->idle.pop_back();
    }
    if (!connection) connection = std::make_shared<ClientConnection>(io_, host->address);
    ++host->in_flight;
    const HttpRequest& request = flow->request;
    const auto text = [](auto view) { return std::string_view(view.data(), view.size()); };
    connection->Exchange(
        fmt::format(
            "{} {} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Deadline: {:.0f}m\r\n{}\r\n{}",
            text(request.method_string()), text(request.target()), text(request["Req-Id"]), left,
            request.body().empty() ? "" : fmt::format("Content-Length: {}\r\n", request.body().size()),
            request.body()),
        left, [this, flow, host, connection](ClientConnection::Result result) {
          --host->in_flight;
          if (connection->usable()) {
            connection->WatchIdle([host, raw = connection.get()] {
              std::erase_if(host->idle, [raw](const auto& kept) { return kept.get() == raw; });
            });
            host->idle.push_back(connection);
          }
          Ended(flow, std::move(result));
        });
  }

  void Ended(const std::shared_ptr<Flow>& flow, ClientConnection::Result result) {
    using Failure = ClientConnection::Failure;
    if (result.failure == Failure::kNone && result.response.result_int() == 200) {
      return Answer(flow, MakeResponse(200, std::move(result.response.body())));
    }
    const bool never_ran = result.failure == Failure::kConnectFailed ||
                           (result.failure == Failure::kNone && !result.response["Srv-Declined"].empty());
    if (never_ran || flow->repeatable) return Send(flow);
    Answer(flow, MakeResponse(502));
  }

  asio::io_context& io_;
  const StandIn stand_in_;
  boost::random::mt19937_64 random_;
  const tcp::endpoint discovery_at_;
  asio::steady_timer again_;
  std::shared_ptr<ClientConnection> discovery_;
  std::int64_t revision_ = 0;
  std::map<std::string, Host> hosts_;
  std::size_t turn_ = 0;
  std::uint64_t requests_ = 0;
  bool leaving_ = false;
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
  std::unique_ptr<Listener> listener_;
  std::unordered_set<std::shared_ptr<ServerConnection>> clients_;
};

}  // namespace

std::vector<std::string> StandInPolicies() { return {"random", "round_robin", "least_inflight"}; }
std::vector<std::string> StandInFaults() {
  return {"none", "twice", "ignores_drain", "loses", "forges", "dies"};
}

int ServeStandIn(const StandIn& stand_in) {
  const char* const path = std::getenv("NODE_CONFIG");
  if (path == nullptr) throw std::runtime_error("NODE_CONFIG: not set");
  std::ifstream stream(path);
  const json file = json::parse(stream, nullptr, false);
  if (!file.is_object())
    throw std::runtime_error(std::string("NODE_CONFIG: '") + path + "' is no JSON object");
  asio::io_context io(1);
  Proxy proxy(io, stand_in, file);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  asio::steady_timer leave(io);
  signals.async_wait([&](error_code ec, int) {
    if (ec) return;
    proxy.Leave();
    leave.expires_after(TimerDuration(kLeave));
    leave.async_wait([&](error_code) { io.stop(); });
  });
  io.run();
  return 0;
}

}  // namespace gateway::lab
