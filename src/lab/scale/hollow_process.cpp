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
#include "lab/http.hpp"
#include "lab/scale/hollow_gateway.hpp"
#include "proxy/config.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;
namespace proxy = gateway::proxy;

class HollowFleet {
 public:
  HollowFleet(boost::asio::io_context& io, const HollowOptions& options)
      : news_(static_cast<std::size_t>(options.count)),
        ready_(news_.size(), false),
        handlers_(std::make_shared<const ServerConnection::Handlers>(ServerConnection::Handlers{
            [this](const auto& connection, const HttpRequest& request) { Answer(connection, request); },
            [](const auto&) {}})),
        listener_(io, options.control, nullptr, [this](tcp::socket socket) {
          std::make_shared<ServerConnection>(std::move(socket), nullptr, handlers_)->Begin();
        }) {
    proxy::Config config = proxy::LoadConfig([&](const char* name) {
      return std::string_view(name) == "NODE_CONFIG" ? options.config.c_str() : nullptr;
    });
    for (std::size_t i = 0; i < news_.size(); ++i) {
      config.settings.gateway_index = options.first + static_cast<int>(i);
      gateways_.push_back(std::make_unique<HollowGateway>(
          io, config, [this, i](std::int64_t revision) { Told(i, revision); }));
      ++config.seed;
    }
  }

 private:
  void Told(std::size_t gateway, std::int64_t revision) {
    auto& heard = news_[gateway];
    if (heard.empty() || heard.back().revision < revision) heard.push_back({revision, base::MonotonicNow()});
    if (ready_[gateway] || gateways_[gateway]->hosts() == 0) return;
    ready_[gateway] = true;
    if (++ready_count_ == static_cast<int>(gateways_.size())) all_ready_at_ = base::MonotonicNow();
  }

  HollowState State() const {
    HollowState state;
    state.gateways = static_cast<int>(news_.size());
    state.ready = ready_count_;
    state.all_ready_at = all_ready_at_;
    for (const auto& gateway : gateways_) {
      state.oldest_revision = state.oldest_revision == 0
                                  ? gateway->revision()
                                  : std::min(state.oldest_revision, gateway->revision());
    }
    return state;
  }

  void Answer(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
    if (request.target() == "/state") return connection->Answer(MakeResponse(200, ToJson(State()).dump()));
    if (request.target() != "/news") return connection->Answer(MakeResponse(404));
    HollowNews news(news_.size());
    std::swap(news, news_);
    connection->Answer(MakeResponse(200, ToJson(news).dump()));
  }

  HollowNews news_;
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

HollowState HollowStateFromJson(const json& form) {
  return {form.at("gateways"), form.at("ready"), form.at("oldest_revision"), form.at("all_ready_at")};
}

json ToJson(const HollowNews& news) {
  json all = json::array();
  for (const auto& heard : news) {
    json& one = all.emplace_back(json::array());
    for (const RevisionHeard& item : heard) one.push_back({item.revision, item.at});
  }
  return all;
}

HollowNews HollowNewsFromJson(const json& form) {
  HollowNews news;
  for (const json& one : form) {
    auto& heard = news.emplace_back();
    for (const json& item : one) heard.push_back({item.at(0), item.at(1)});
  }
  return news;
}

int ServeHollowGateways(const HollowOptions& options) {
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
