#include "lab/list_service.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <utility>

namespace gateway::lab {
namespace {

using boost::system::error_code;
using nlohmann::json;

constexpr Millis kMaxWatchTimeout = 60000;  // the limit that PROTOCOL sets
// A gateway counts as notified of a change if it could reach the list service for this long after the change:
// 5 s for a long poll, plus 2 s (PROTOCOL, "Figures").
constexpr Millis kNotificationTimeout = 7000;

// Returns the value of a key in the query string, or `fallback` if the key is absent.
std::int64_t QueryValue(const std::string& target, const std::string& key, std::int64_t fallback) {
  for (const char separator : {'?', '&'}) {
    const std::string prefix = separator + key + "=";
    const std::size_t start = target.find(prefix);
    if (start != std::string::npos) return std::atoll(target.c_str() + start + prefix.size());
  }
  return fallback;
}

}  // namespace

ListService::ListService(Environment environment, std::vector<ListedHost> hosts)
    : env_(environment),
      hosts_(std::move(hosts)),
      notified_at_(static_cast<std::size_t>(env_.gateways), std::vector<Millis>(hosts_.size(), -1)),
      delivered_revisions_(static_cast<std::size_t>(env_.gateways), 0) {
  Open();
}

void ListService::Open() {
  for (int gateway = 0; gateway < env_.gateways; ++gateway) {
    listeners_.push_back(std::make_unique<Listener>(
        env_.io, env_.addresses.List(gateway), &env_.links.LinkToListService(gateway),
        [this, gateway](tcp::socket socket) { OnAccept(gateway, std::move(socket)); }));
  }
}

void ListService::OnAccept(int gateway, tcp::socket socket) {
  ServerConnection::Handlers handlers;
  handlers.request = [this, gateway](const auto& connection, const HttpRequest& request) {
    OnRequest(gateway, connection, request);
  };
  handlers.closed = [this](const auto& connection) { OnClose(connection); };
  const auto connection = std::make_shared<ServerConnection>(
      std::move(socket), &env_.links.LinkToListService(gateway),
      std::make_shared<const ServerConnection::Handlers>(std::move(handlers)));
  connections_.insert(connection);
  connection->Begin();
}

void ListService::OnClose(const std::shared_ptr<ServerConnection>& connection) {
  connections_.erase(connection);
  upstreams_.erase(connection);
  std::erase_if(watches_, [&](const auto& watch) { return watch->connection == connection; });
}

void ListService::SetDown(bool down) {
  if (std::exchange(down_, down) == down) return;
  if (!down) {
    restored_at_ = MonotonicNow();
    return Open();
  }
  listeners_.clear();
  watches_.clear();
  for (const auto& connection : std::exchange(connections_, {})) connection->Close(/*reset=*/true);
}

void ListService::Change(int host, const std::string& phase, double started_at) {
  if (env_.registry != nullptr) return ChangeInRegistry(host, phase, started_at);
  const auto timer = std::make_shared<boost::asio::steady_timer>(env_.io, TimerDuration(env_.delay));
  timer->async_wait([this, timer, host, phase, started_at](error_code ec) {
    if (!ec) Publish(host, phase, started_at);
  });
}

void ListService::ChangeInRegistry(int host, const std::string& phase, double started_at) {
  std::string& listed_phase = hosts_[static_cast<std::size_t>(host)].phase;
  if (phase == "up") {
    env_.registry->Restart(host, static_cast<std::int64_t>(started_at));
  } else if (phase == "draining") {
    env_.registry->Drain(host);
  } else if (phase == "removed" && listed_phase == "draining") {
    env_.registry->Remove(host);
  } else if (phase == "removed") {
    env_.registry->StopRenewing(host);
  }
  listed_phase = phase;
}

// Publishes the change and answers all watches with it.
void ListService::Publish(int host, const std::string& phase, double started_at) {
  ListedHost& listed = hosts_[static_cast<std::size_t>(host)];
  listed.phase = phase;
  listed.started_at = started_at;
  listed.revision = ++revision_;
  listed.changed_at = MonotonicNow();
  for (const auto& watch : std::exchange(watches_, {})) {
    watch->timer.cancel();
    Answer(watch->gateway, watch->after, false, watch->connection);
  }
}

Millis ListService::NotifiedAt(int gateway, int host) const {
  const Millis notified_at = notified_at_[static_cast<std::size_t>(gateway)][static_cast<std::size_t>(host)];
  const ListedHost& listed = hosts_[static_cast<std::size_t>(host)];
  const Link& link = env_.links.LinkToListService(gateway);
  if (notified_at >= 0 || listed.phase == "up" || env_.registry != nullptr) return notified_at;
  if (down_ || link.IsCut()) return notified_at;
  const Millis due = std::max({listed.changed_at, restored_at_, link.healed_at()}) + kNotificationTimeout;
  return MonotonicNow() > due ? due : -1;
}

void ListService::ForgetNotifications(int gateway) {
  std::ranges::fill(notified_at_[static_cast<std::size_t>(gateway)], -1);
}

void ListService::RecordNotifications(int gateway, const std::vector<Readiness>& readiness) {
  auto& notified_at = notified_at_[static_cast<std::size_t>(gateway)];
  for (std::size_t host = 0; host < notified_at.size(); ++host) {
    if (readiness[host] == Readiness::kUp) notified_at[host] = -1;
    if (readiness[host] == Readiness::kNotUp && notified_at[host] < 0) notified_at[host] = MonotonicNow();
  }
}

std::string ListService::ListText(int gateway, std::int64_t after, bool complete) const {
  json members = json::array();
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const ListedHost& listed = hosts_[host];
    if (complete ? listed.phase == "removed" : listed.revision <= after) continue;
    members.push_back({{"id", listed.id},
                       {"host_port", Addresses::Text(env_.addresses.Host(gateway, static_cast<int>(host)))},
                       {"locality", listed.zone},
                       {"flavor", listed.machine_type},
                       {"cell", 0},
                       {"phase", listed.phase},
                       {"size", listed.weight},
                       {"up_since_ms", listed.started_at}});
  }
  return json{{"revision", revision_}, {"complete", complete}, {"members", std::move(members)}}.dump();
}

void ListService::Answer(int gateway, std::int64_t after, bool complete,
                         const std::shared_ptr<ServerConnection>& connection) {
  std::vector<Readiness> readiness;
  readiness.reserve(hosts_.size());
  for (const ListedHost& listed : hosts_) {
    readiness.push_back(listed.phase == "up" ? Readiness::kUp : Readiness::kNotUp);
  }
  HttpResponse response = MakeResponse(200, ListText(gateway, after, complete));
  response.set(boost::beast::http::field::content_type, "application/json");
  connection->Answer(std::move(response), [this, gateway, readiness = std::move(readiness)] {
    RecordNotifications(gateway, readiness);
  });
}

void ListService::ForwardRequest(int gateway, const std::shared_ptr<ServerConnection>& connection,
                                 const std::string& target) {
  auto& upstream = upstreams_[connection];
  if (!upstream || !upstream->usable()) {
    upstream = std::make_shared<ClientConnection>(env_.io, env_.registry->address());
  }
  upstream->Exchange(base::FormatGetRequest(target, "registry"), kMaxWatchTimeout + kNotificationTimeout,
                     [this, gateway, connection](const ClientConnection::Result& result) {
                       if (!connection->open()) return;
                       if (result.failure == ClientConnection::Failure::kNone) {
                         ForwardResponse(gateway, connection, result.response);
                       } else {
                         connection->Close(/*reset=*/true);
                       }
                     });
}

void ListService::ForwardResponse(int gateway, const std::shared_ptr<ServerConnection>& connection,
                                  const HttpResponse& response) {
  json list = json::parse(response.body(), nullptr, /*allow_exceptions=*/false);
  if (response.result_int() != 200 || !list.is_object() || !list.contains("members")) {
    HttpResponse error = MakeResponse(response.result_int(), response.body());
    if (response.count("Retry-After") > 0) error.set("Retry-After", response["Retry-After"]);
    return connection->Answer(std::move(error));
  }
  const std::int64_t revision = list.value("revision", std::int64_t{0});
  env_.registry->OnRevision(revision);
  std::vector<Readiness> readiness = TranslateAddresses(gateway, list);
  HttpResponse translated = MakeResponse(200, list.dump());
  if (ShouldTruncateNext()) return AnswerTruncated(connection, std::move(translated));
  connection->Answer(std::move(translated), [this, gateway, revision, readiness = std::move(readiness)] {
    RecordNotifications(gateway, readiness);
    std::int64_t& delivered = delivered_revisions_[static_cast<std::size_t>(gateway)];
    delivered = std::max(delivered, revision);
  });
}

// Replaces the hosts' addresses in a list by the addresses at which this gateway reaches the hosts. Returns
// the readiness of each host according to the list.
std::vector<ListService::Readiness> ListService::TranslateAddresses(int gateway, json& list) const {
  const bool complete = list.value("complete", true);
  std::vector<Readiness> readiness(hosts_.size(), complete ? Readiness::kNotUp : Readiness::kNotListed);
  for (json& entry : list["members"]) {
    const auto found = std::ranges::find(hosts_, entry.value("id", ""), &ListedHost::id);
    if (found == hosts_.end()) continue;
    const auto host = static_cast<std::size_t>(found - hosts_.begin());
    entry["host_port"] = Addresses::Text(env_.addresses.Host(gateway, static_cast<int>(host)));
    readiness[host] = entry.value("phase", "") == "up" ? Readiness::kUp : Readiness::kNotUp;
  }
  return readiness;
}

bool ListService::ShouldTruncateNext() {
  if (truncated_share_ <= 0) return false;
  return ++forwarded_ % std::max(1, static_cast<int>(1 / truncated_share_)) == 0;
}

// Sends half of the body and then closes the connection, so that the body is shorter than its Content-Length.
void ListService::AnswerTruncated(const std::shared_ptr<ServerConnection>& connection,
                                  HttpResponse response) {
  response.body().resize(response.body().size() / 2);
  response.set(boost::beast::http::field::content_length, std::to_string(2 * response.body().size() + 2));
  connection->Answer(std::move(response), [connection, this] {
    boost::asio::post(env_.io, [connection] { connection->Close(); });
  });
}

void ListService::OnRequest(int gateway, const std::shared_ptr<ServerConnection>& connection,
                            const HttpRequest& request) {
  const std::string target(request.target());
  if (!target.starts_with("/discovery/hosts")) return connection->Answer(MakeResponse(404));
  ++calls_;
  if (env_.registry != nullptr) return ForwardRequest(gateway, connection, target);
  const std::int64_t after = QueryValue(target, "after", -1);
  if (after < 0 || after > revision_) return Answer(gateway, 0, true, connection);
  const Millis timeout = static_cast<Millis>(QueryValue(target, "wait_ms", 0));
  if (after < revision_ || timeout <= 0) return Answer(gateway, after, false, connection);
  AddWatch(gateway, after, timeout, connection);
}

void ListService::AddWatch(int gateway, std::int64_t after, Millis timeout,
                           const std::shared_ptr<ServerConnection>& connection) {
  const auto watch = std::make_shared<Watch>(env_.io);
  watch->gateway = gateway;
  watch->after = after;
  watch->connection = connection;
  watch->timer.expires_after(TimerDuration(std::min(timeout, kMaxWatchTimeout)));
  watch->timer.async_wait([this, watch](error_code ec) {
    if (ec || std::erase(watches_, watch) == 0) return;
    Answer(watch->gateway, watch->after, false, watch->connection);
  });
  watches_.push_back(watch);
}

}  // namespace gateway::lab
