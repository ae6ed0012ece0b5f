// Serves the full list, deltas, watches, and the history of the list.
#ifndef GATEWAY_REGISTRY_LIST_HANDLER_HPP_
#define GATEWAY_REGISTRY_LIST_HANDLER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "registry/admission.hpp"
#include "registry/catalog.hpp"
#include "registry/list_cache.hpp"
#include "registry/pending_watches.hpp"
#include "registry/session.hpp"

namespace gateway::registry {

// Must be used in the thread of the sessions' io_context.
class ListHandler {
 public:
  // `catalog` and `admission` must outlive the handler.
  ListHandler(const Catalog& catalog, Admission& admission)
      : catalog_(catalog), admission_(admission), lists_(catalog), watches_(lists_) {}

  // Handles GET /discovery/hosts: the full list, a delta, or a watch. `target` contains the query.
  void HandleList(const std::shared_ptr<Session>& session, std::string_view target);
  // Handles GET /registry/members: the full list, without admission control.
  void HandleMembers(const std::shared_ptr<Session>& session);
  // Handles GET /registry/history: all retained changes, or the retained changes after a revision.
  void HandleHistory(const std::shared_ptr<Session>& session, std::string_view target) const;

  // Responds to all watches. Must be called after each new revision.
  void OnNewRevision();
  void OnSessionClosed(const std::shared_ptr<Session>& session) { watches_.Remove(session); }
  // Limits the memory of cached lists. Must be called periodically.
  void TrimCache() { lists_.Trim(); }

  std::size_t watches() const { return watches_.size(); }
  // Return the numbers of full lists sent and of bodies encoded since the start.
  std::uint64_t full_lists() const { return full_lists_; }
  std::uint64_t encoded_bodies() const { return lists_.encoded(); }

 private:
  void SendFullList(const std::shared_ptr<Session>& session);

  const Catalog& catalog_;
  Admission& admission_;
  ListCache lists_;
  PendingWatches watches_;
  std::uint64_t full_lists_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LIST_HANDLER_HPP_
