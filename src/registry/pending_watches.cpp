#include "registry/pending_watches.hpp"

#include <utility>

namespace gateway::registry {

void PendingWatches::Add(const std::shared_ptr<Session>& session, Revision after, base::Millis wait) {
  watches_.emplace(session, after);
  session->SetTimeout(wait, [this, session] { OnTimeout(session); });
}

void PendingWatches::OnTimeout(const std::shared_ptr<Session>& session) {
  const auto watch = watches_.extract(session);
  if (watch.empty()) return;
  session->Respond(BodyResponse(lists_.DeltaSince(watch.mapped())));
}

void PendingWatches::NotifyAll() {
  for (const auto& [session, after] : std::exchange(watches_, {})) {
    session->Respond(BodyResponse(lists_.DeltaSince(after)));
  }
}

}  // namespace gateway::registry
