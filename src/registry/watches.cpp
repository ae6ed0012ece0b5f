#include "registry/watches.hpp"

#include <utility>

namespace gateway::registry {

void Watches::Add(const std::shared_ptr<Session>& session, Revision after, base::Millis wait) {
  waiting_.emplace(session, after);
  session->WaitAtMost(wait, [this, session] { Expire(session); });
}

void Watches::Expire(const std::shared_ptr<Session>& session) {
  const auto watch = waiting_.extract(session);
  if (!watch.empty()) session->Answer(ToResponse(lists_.Since(watch.mapped())));
}

void Watches::WakeAll() {
  for (const auto& [session, after] : std::exchange(waiting_, {})) {
    session->Answer(ToResponse(lists_.Since(after)));
  }
}

}  // namespace gateway::registry
