// Sessions that wait for the next revision of the list (long polling).
#ifndef GATEWAY_REGISTRY_WATCHES_HPP_
#define GATEWAY_REGISTRY_WATCHES_HPP_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "registry/list_cache.hpp"
#include "registry/session.hpp"

namespace gateway::registry {

// Must outlive the open sessions that wait.
class Watches {
 public:
  // `lists` must outlive it.
  explicit Watches(ListCache& lists) : lists_(lists) {}

  // Answers the session at the next WakeAll(), or after `wait` with no change.
  void Add(const std::shared_ptr<Session>& session, Revision after, base::Millis wait);
  void Remove(const std::shared_ptr<Session>& session) { waiting_.erase(session); }
  // Answers all with what changed. To be called after each new revision, with the cache cleared.
  void WakeAll();
  std::size_t size() const { return waiting_.size(); }

 private:
  void Expire(const std::shared_ptr<Session>& session);

  ListCache& lists_;
  std::unordered_map<std::shared_ptr<Session>, Revision> waiting_;  // the revision that the caller has
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_WATCHES_HPP_
