#include "lab/scale/hollow_process.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/clock.hpp"
#include "base/descriptor_limit.hpp"
#include "base/millis.hpp"
#include "lab/http_server.hpp"
#include "lab/scale/hollow_gateway.hpp"
#include "proxy/config.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;
namespace proxy = gateway::proxy;

// The hollow gateways of this process, and the listener that answers the measuring tool.
class HollowFleet {
 public:
  HollowFleet(boost::asio::io_context& io, const HollowProcessOptions& options)
      : arrivals_(static_cast<std::size_t>(options.count)),
        ready_(arrivals_.size(), false),
        handlers_(std::make_shared<const ServerConnection::Handlers>(
            ServerConnection::Handlers{[this](const auto& connection, const HttpRequest& request) {
                                         HandleRequest(connection, request);
                                       },
                                       [](const auto&) {}})),
        listener_(io, options.control, nullptr, [this](tcp::socket socket) {
          std::make_shared<ServerConnection>(std::move(socket), nullptr, handlers_)->Begin();
        }) {
    proxy::Config config = proxy::LoadConfig([&](const char* name) {
      return std::string_view(name) == "NODE_CONFIG" ? options.config.c_str() : nullptr;
    });
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      config.settings.gateway_index = options.first_index + static_cast<int>(i);
      gateways_.push_back(std::make_unique<HollowGateway>(
          io, config, [this, i](std::int64_t revision) { RecordList(i, revision); }));
      ++config.seed;
    }
  }

 private:
  void RecordList(std::size_t gateway, std::int64_t revision) {
    auto& arrivals = arrivals_[gateway];
    if (arrivals.empty() || arrivals.back().revision < revision) {
      arrivals.push_back({revision, base::MonotonicNow()});
    }
    if (ready_[gateway] || gateways_[gateway]->hosts() == 0) return;
    ready_[gateway] = true;
    if (++ready_count_ == static_cast<int>(gateways_.size())) all_ready_at_ = base::MonotonicNow();
  }

  HollowState State() const {
    HollowState state;
    state.gateways = static_cast<int>(arrivals_.size());
    state.ready = ready_count_;
    state.all_ready_at = all_ready_at_;
    for (const auto& gateway : gateways_) {
      state.oldest_revision = state.oldest_revision == 0
                                  ? gateway->revision()
                                  : std::min(state.oldest_revision, gateway->revision());
    }
    return state;
  }

  void HandleRequest(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
    if (request.target() == "/state") return connection->Answer(MakeResponse(200, ToJson(State()).dump()));
    if (request.target() != "/news") return connection->Answer(MakeResponse(404));
    RevisionArrivals arrivals(arrivals_.size());
    std::swap(arrivals, arrivals_);
    connection->Answer(MakeResponse(200, ToJson(arrivals).dump()));
  }

  RevisionArrivals arrivals_;
  std::vector<bool> ready_;  // by gateway
  int ready_count_ = 0;
  base::Millis all_ready_at_ = 0;
  std::vector<std::unique_ptr<HollowGateway>> gateways_;
  std::shared_ptr<const ServerConnection::Handlers> handlers_;
  Listener listener_;
};

}  // namespace

json ToJson(const HollowState& state) {
  return {{"gateways", state.gateways},
          {"ready", state.ready},
          {"oldest_revision", state.oldest_revision},
          {"all_ready_at", state.all_ready_at}};
}

HollowState HollowStateFromJson(const json& json_value) {
  return {json_value.at("gateways"), json_value.at("ready"), json_value.at("oldest_revision"),
          json_value.at("all_ready_at")};
}

json ToJson(const RevisionArrivals& arrivals) {
  json json_value = json::array();
  for (const auto& gateway_arrivals : arrivals) {
    json& list = json_value.emplace_back(json::array());
    for (const RevisionArrival& arrival : gateway_arrivals) list.push_back({arrival.revision, arrival.at});
  }
  return json_value;
}

RevisionArrivals RevisionArrivalsFromJson(const json& json_value) {
  RevisionArrivals arrivals;
  for (const json& list : json_value) {
    auto& gateway_arrivals = arrivals.emplace_back();
    for (const json& arrival : list) gateway_arrivals.push_back({arrival.at(0), arrival.at(1)});
  }
  return arrivals;
}

int ServeHollowGateways(const HollowProcessOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  base::RaiseDescriptorLimit();
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) io.stop();
  });
  HollowFleet fleet(io, options);
  io.run();
  return 0;
}

}  // namespace gateway::lab
