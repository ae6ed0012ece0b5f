#include "lab/list_service.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace elderhead::lab {
namespace {

using boost::system::error_code;
using nlohmann::json;

constexpr Millis kMostWait = 60000;   // PROTOCOL
constexpr Millis kToldWithin = 7000;  // PROTOCOL, "Figures": of a call that may wait 5 s, 2 s after that

// The value of a query's key; the default where it is absent.
std::int64_t Query(const std::string& target, const std::string& key, std::int64_t otherwise) {
  for (const char mark : {'?', '&'}) {
    const std::size_t at = target.find(mark + key + "=");
    if (at != std::string::npos) return std::atoll(target.c_str() + at + key.size() + 2);
  }
  return otherwise;
}

}  // namespace

ListService::ListService(Setting setting, std::vector<Member> members)
    : s_(std::move(setting)),
      members_(std::move(members)),
      told_(static_cast<std::size_t>(s_.gateways), std::vector<Millis>(members_.size(), -1)) {
  Open();
}

void ListService::Open() {
  for (int g = 0; g < s_.gateways; ++g) {
    listeners_.push_back(
        std::make_unique<Listener>(s_.io, s_.addresses.List(g), s_.link(g), [this, g](tcp::socket socket) {
          const auto handlers = std::make_shared<const ServerConnection::Handlers>(ServerConnection::Handlers{
              [this, g](const auto& connection, const HttpRequest& request) {
                Requested(g, connection, request);
              },
              [this](const auto& connection) {
                connections_.erase(connection);
                std::erase_if(watches_, [&](const auto& watch) { return watch->connection == connection; });
              }});
          const auto connection = std::make_shared<ServerConnection>(std::move(socket), s_.link(g), handlers);
          connections_.insert(connection);
          connection->Begin();
        }));
  }
}

void ListService::SetDown(bool down) {
  if (std::exchange(down_, down) == down) return;
  if (!down) {
    up_at_ = Now();
    return Open();
  }
  listeners_.clear();
  watches_.clear();
  for (const auto& connection : std::exchange(connections_, {})) connection->Close(/*reset=*/true);
}

void ListService::Change(int host, const std::string& phase, double up_since) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(s_.io, Span(s_.delay));
  timer->async_wait([this, timer, host, phase, up_since](error_code ec) {
    if (ec) return;
    Member& member = members_[static_cast<std::size_t>(host)];
    member.phase = phase;
    member.up_since = up_since;
    member.revision = ++revision_;
    member.news_at = Now();
    WakeAll();
  });
}

void ListService::WakeAll() {
  for (const auto& watch : std::exchange(watches_, {})) {
    watch->timer.cancel();
    Answer(watch->gateway, watch->after, false, watch->connection);
  }
}

Millis ListService::Told(int gateway, int host) const {
  const Millis told = told_[static_cast<std::size_t>(gateway)][static_cast<std::size_t>(host)];
  const Member& member = members_[static_cast<std::size_t>(host)];
  const Link& link = *s_.link(gateway);
  if (told >= 0 || member.phase == "up" || down_ || link.cut()) return told;
  const Millis due = std::max({member.news_at, up_at_, link.healed_at()}) + kToldWithin;
  return Now() > due ? due : -1;
}

void ListService::Forget(int gateway) {
  auto& row = told_[static_cast<std::size_t>(gateway)];
  std::fill(row.begin(), row.end(), -1);
}

std::string ListService::Body(int gateway, std::int64_t after, bool whole) const {
  json list = json::array();
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& m = members_[i];
    if (whole ? m.phase == "removed" : m.revision <= after) continue;
    list.push_back({{"id", m.id},
                    {"host_port", Addresses::Text(s_.addresses.Host(gateway, static_cast<int>(i)))},
                    {"locality", m.zone},
                    {"flavor", m.kind},
                    {"cell", 0},
                    {"phase", m.phase},
                    {"size", m.size},
                    {"up_since_ms", m.up_since}});
  }
  return json{{"revision", revision_}, {"complete", whole}, {"members", std::move(list)}}.dump();
}

void ListService::Answer(int gateway, std::int64_t after, bool whole,
                         const std::shared_ptr<ServerConnection>& connection) {
  std::vector<bool> ready;
  for (const Member& member : members_) ready.push_back(member.phase == "up");
  HttpResponse response = MakeResponse(200, Body(gateway, after, whole));
  response.set(boost::beast::http::field::content_type, "application/json");
  connection->Answer(std::move(response), [this, gateway, ready = std::move(ready)] {
    auto& row = told_[static_cast<std::size_t>(gateway)];
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (ready[i]) {
        row[i] = -1;
      } else if (row[i] < 0) {
        row[i] = Now();
      }
    }
  });
}

void ListService::Requested(int gateway, const std::shared_ptr<ServerConnection>& connection,
                            const HttpRequest& request) {
  const std::string target(request.target());
  if (target.rfind("/discovery/hosts", 0) != 0) return connection->Answer(MakeResponse(404));
  ++calls_;
  const std::int64_t after = Query(target, "after", -1);
  if (after < 0 || after > revision_) return Answer(gateway, 0, true, connection);
  const Millis wait = static_cast<Millis>(Query(target, "wait_ms", 0));
  if (after < revision_ || wait <= 0) return Answer(gateway, after, false, connection);
  const auto watch = std::make_shared<Watch>(s_.io);
  watch->gateway = gateway;
  watch->after = after;
  watch->connection = connection;
  watch->timer.expires_after(Span(std::min(wait, kMostWait)));
  watch->timer.async_wait([this, watch](error_code ec) {
    if (ec || std::erase(watches_, watch) == 0) return;
    Answer(watch->gateway, watch->after, false, watch->connection);
  });
  watches_.push_back(watch);
}

}  // namespace elderhead::lab
