#include "lab/list_service.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <utility>

namespace gateway::lab {
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
      told_(static_cast<std::size_t>(s_.gateways), std::vector<Millis>(members_.size(), -1)),
      passed_(static_cast<std::size_t>(s_.gateways), 0) {
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
                through_.erase(connection);
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
    up_at_ = MonotonicNow();
    return Open();
  }
  listeners_.clear();
  watches_.clear();
  for (const auto& connection : std::exchange(connections_, {})) connection->Close(/*reset=*/true);
}

void ListService::Change(int host, const std::string& phase, double up_since) {
  if (s_.registry != nullptr) {  // the list service says when it becomes news
    if (phase == "up") s_.registry->Begin(host, static_cast<std::int64_t>(up_since));
    if (phase == "draining") s_.registry->Drain(host);
    if (phase == "removed" && members_[static_cast<std::size_t>(host)].phase == "draining")
      s_.registry->Remove(host);
    if (phase == "removed") s_.registry->Die(host);
    members_[static_cast<std::size_t>(host)].phase = phase;
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(s_.io, TimerDuration(s_.delay));
  timer->async_wait([this, timer, host, phase, up_since](error_code ec) {
    if (ec) return;
    Member& member = members_[static_cast<std::size_t>(host)];
    member.phase = phase;
    member.up_since = up_since;
    member.revision = ++revision_;
    member.news_at = MonotonicNow();
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
  if (told >= 0 || member.phase == "up" || down_ || link.cut() || s_.registry != nullptr) return told;
  const Millis due = std::max({member.news_at, up_at_, link.healed_at()}) + kToldWithin;
  return MonotonicNow() > due ? due : -1;
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
        row[i] = MonotonicNow();
      }
    }
  });
}

void ListService::PassOn(int gateway, const std::shared_ptr<ServerConnection>& connection,
                         const std::string& target) {
  auto& upstream = through_[connection];
  if (!upstream || !upstream->usable())
    upstream = std::make_shared<ClientConnection>(s_.io, s_.registry->address());
  upstream->Exchange("GET " + target + " HTTP/1.1\r\nHost: registry\r\n\r\n", kMostWait + kToldWithin,
                     [this, gateway, connection](ClientConnection::Result result) {
                       if (!connection->open()) return;
                       if (result.failure != ClientConnection::Failure::kNone)
                         return connection->Close(/*reset=*/true);
                       PassBack(gateway, connection, std::move(result.response));
                     });
}

// An answer of the list service, with the hosts' addresses as this gateway reaches them.
void ListService::PassBack(int gateway, const std::shared_ptr<ServerConnection>& connection,
                           HttpResponse response) {
  json list = json::parse(response.body(), nullptr, /*allow_exceptions=*/false);
  if (response.result_int() != 200 || !list.is_object() || !list.contains("members")) {
    HttpResponse refused = MakeResponse(response.result_int(), response.body());
    if (response.count("Retry-After") > 0) refused.set("Retry-After", response["Retry-After"]);
    return connection->Answer(std::move(refused));
  }
  const std::int64_t revision = list.value("revision", std::int64_t{0});
  s_.registry->Heard(revision);
  const bool whole = list.value("complete", true);
  std::vector<int> ready(members_.size(), whole ? 0 : -1);  // 1 up, 0 draining or gone, -1 not named
  for (json& entry : list["members"]) {
    const auto found = std::ranges::find(members_, entry.value("id", ""), &Member::id);
    if (found == members_.end()) continue;
    const auto host = static_cast<std::size_t>(found - members_.begin());
    entry["host_port"] = Addresses::Text(s_.addresses.Host(gateway, static_cast<int>(host)));
    ready[host] = entry.value("phase", "") == "up" ? 1 : 0;
  }
  HttpResponse passed = MakeResponse(200, list.dump());
  // Truncated ones are cut off by their connection: the length that they name never comes.
  if (truncation_ > 0 && ++answers_ % std::max(1, static_cast<int>(1 / truncation_)) == 0) {
    passed.body().resize(passed.body().size() / 2);
    passed.set(boost::beast::http::field::content_length, std::to_string(2 * passed.body().size() + 2));
    connection->Answer(std::move(passed), [connection, this] {
      boost::asio::post(s_.io, [connection] { connection->Close(); });
    });
    return;
  }
  connection->Answer(std::move(passed), [this, gateway, revision, ready = std::move(ready)] {
    auto& row = told_[static_cast<std::size_t>(gateway)];
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (ready[i] == 1) row[i] = -1;
      if (ready[i] == 0 && row[i] < 0) row[i] = MonotonicNow();
    }
    auto& newest = passed_[static_cast<std::size_t>(gateway)];
    newest = std::max(newest, revision);
  });
}

void ListService::Requested(int gateway, const std::shared_ptr<ServerConnection>& connection,
                            const HttpRequest& request) {
  const std::string target(request.target());
  if (target.rfind("/discovery/hosts", 0) != 0) return connection->Answer(MakeResponse(404));
  ++calls_;
  if (s_.registry != nullptr) return PassOn(gateway, connection, target);
  const std::int64_t after = Query(target, "after", -1);
  if (after < 0 || after > revision_) return Answer(gateway, 0, true, connection);
  const Millis wait = static_cast<Millis>(Query(target, "wait_ms", 0));
  if (after < revision_ || wait <= 0) return Answer(gateway, after, false, connection);
  const auto watch = std::make_shared<Watch>(s_.io);
  watch->gateway = gateway;
  watch->after = after;
  watch->connection = connection;
  watch->timer.expires_after(TimerDuration(std::min(wait, kMostWait)));
  watch->timer.async_wait([this, watch](error_code ec) {
    if (ec || std::erase(watches_, watch) == 0) return;
    Answer(watch->gateway, watch->after, false, watch->connection);
  });
  watches_.push_back(watch);
}

}  // namespace gateway::lab
