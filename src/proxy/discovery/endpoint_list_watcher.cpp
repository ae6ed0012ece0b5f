#include "proxy/discovery/endpoint_list_watcher.hpp"

#include <utility>

#include "proxy/clock.hpp"

namespace gateway::proxy {

EndpointListWatcher::EndpointListWatcher(boost::asio::io_context& io, Options options, Handlers handlers)
    : handlers_(std::move(handlers)),
      most_removed_(options.most_removed),
      discovery_(io, options.service, options.revision, options.sure,
                 {[this](const EndpointList& list) {
                    handlers_.answered();
                    Apply(list);
                  },
                  [this](Millis took) { handlers_.failed(took); },
                  options.guarded ? [this](const EndpointList& list) { return Refused(list); }
                                  : std::function<std::string(const EndpointList&)>()},
                 {std::move(options.other_services), options.seed, std::move(options.epoch)}) {}

void EndpointListWatcher::Apply(const EndpointList& list) {
  revision_ = list.revision;
  if (!list.epoch.empty()) epoch_ = list.epoch;
  if (list.complete) hosts_.clear();
  for (const ListedEndpoint& host : list.endpoints) {
    if (host.info.state == policy::EndpointState::kRemoved) {
      hosts_.erase(host.info.id);
    } else {
      hosts_[host.info.id] = host;
    }
  }
  handlers_.changed(list);
}

EndpointList EndpointListWatcher::Listed() const {
  EndpointList list;
  list.revision = revision_;
  list.epoch = epoch_;
  for (const auto& [id, host] : hosts_) list.endpoints.push_back(host);
  return list;
}

// Why the list must not be believed: it loses more hosts at once than any trouble explains but the service's
// own. What it says of drains binds all the same.
std::string EndpointListWatcher::Refused(const EndpointList& list) {
  std::size_t left = 0, gone = 0;
  EndpointList draining;
  draining.revision = revision_;
  draining.complete = false;
  for (const ListedEndpoint& host : list.endpoints) {
    const auto known = hosts_.find(host.info.id);
    if (known == hosts_.end()) continue;
    if (host.info.state == policy::EndpointState::kRemoved) ++gone;
    if (host.info.state != policy::EndpointState::kRemoved) ++left;
    if (host.info.state == policy::EndpointState::kDraining)
      draining.endpoints.push_back({host.info, known->second.address});
  }
  if (list.complete) gone = hosts_.size() - left;
  const bool many =
      gone > 1 && static_cast<double>(gone) > most_removed_ * static_cast<double>(hosts_.size());
  if (!many || list.confirmed > revision_) return "";
  if (!draining.endpoints.empty()) Apply(draining);
  return "a list without " + std::to_string(gone) + " of " + std::to_string(hosts_.size()) +
         " hosts, which no operator has confirmed";
}

policy::EndpointListEvent ToNews(const EndpointList& list) {
  policy::EndpointListEvent news;
  news.kind =
      list.complete ? policy::EndpointListEvent::Kind::kSnapshot : policy::EndpointListEvent::Kind::kDelta;
  for (const ListedEndpoint& host : list.endpoints) news.endpoints.push_back(host.info);
  return news;
}

}  // namespace gateway::proxy
