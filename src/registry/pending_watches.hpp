// Watches that wait for the next revision of the list (long polling).
#ifndef GATEWAY_REGISTRY_PENDING_WATCHES_HPP_
#define GATEWAY_REGISTRY_PENDING_WATCHES_HPP_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "registry/list_cache.hpp"
#include "registry/session.hpp"

namespace gateway::registry {

// Must outlive the sessions with pending watches. Must be used in the thread of the sessions' io_context.
class PendingWatches {
 public:
  // `lists` must outlive this object.
  explicit PendingWatches(ListCache& lists) : lists_(lists) {}

  // Responds to the session at the next NotifyAll(), or after `wait` without a change.
  void Add(const std::shared_ptr<Session>& session, Revision after, base::Millis wait);
  void Remove(const std::shared_ptr<Session>& session) { watches_.erase(session); }
  // Responds to all watches with their deltas. Must be called after each new revision, once the list cache
  // has been cleared.
  void NotifyAll();
  std::size_t size() const { return watches_.size(); }

 private:
  void OnTimeout(const std::shared_ptr<Session>& session);

  ListCache& lists_;
  // The revision of the client's list, by session.
  std::unordered_map<std::shared_ptr<Session>, Revision> watches_;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_PENDING_WATCHES_HPP_
