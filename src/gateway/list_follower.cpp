#include "list_follower.hpp"

#include <utility>

namespace opalswitch::gateway {

ListFollower::ListFollower(boost::asio::io_context& io, Options options, Handlers handlers)
    : handlers_(std::move(handlers)),
      most_removed_(options.most_removed),
      discovery_(io, options.service, options.revision, options.sure,
                 {[this](const HostList& list) {
                    handlers_.answered();
                    Apply(list);
                  },
                  [this](Millis took) { handlers_.failed(took); },
                  options.guarded ? [this](const HostList& list) { return Refused(list); }
                                  : std::function<std::string(const HostList&)>()},
                 {std::move(options.other_services), options.seed, std::move(options.epoch)}) {}

void ListFollower::Apply(const HostList& list) {
  revision_ = list.revision;
  if (!list.epoch.empty()) epoch_ = list.epoch;
  if (list.complete) hosts_.clear();
  for (const Host& host : list.hosts) {
    if (host.server.state == ServerState::kGone) {
      hosts_.erase(host.server.id);
    } else {
      hosts_[host.server.id] = host;
    }
  }
  handlers_.changed(list);
}

HostList ListFollower::Listed() const {
  HostList list;
  list.revision = revision_;
  list.epoch = epoch_;
  for (const auto& [id, host] : hosts_) list.hosts.push_back(host);
  return list;
}

// Why the list must not be believed: it loses more hosts at once than any trouble explains but the service's
// own. What it says of drains binds all the same.
std::string ListFollower::Refused(const HostList& list) {
  std::size_t left = 0, gone = 0;
  HostList draining;
  draining.revision = revision_;
  draining.complete = false;
  for (const Host& host : list.hosts) {
    const auto known = hosts_.find(host.server.id);
    if (known == hosts_.end()) continue;
    if (host.server.state == ServerState::kGone) ++gone;
    if (host.server.state != ServerState::kGone) ++left;
    if (host.server.state == ServerState::kDraining)
      draining.hosts.push_back({host.server, known->second.address});
  }
  if (list.complete) gone = hosts_.size() - left;
  const bool many =
      gone > 1 && static_cast<double>(gone) > most_removed_ * static_cast<double>(hosts_.size());
  if (!many || list.confirmed > revision_) return "";
  if (!draining.hosts.empty()) Apply(draining);
  return "a list without " + std::to_string(gone) + " of " + std::to_string(hosts_.size()) +
         " hosts, which no operator has confirmed";
}

ServerNews ToNews(const HostList& list) {
  ServerNews news;
  news.kind = list.complete ? ServerNews::Kind::kFull : ServerNews::Kind::kDelta;
  for (const Host& host : list.hosts) news.servers.push_back(host.server);
  return news;
}

}  // namespace opalswitch::gateway
