// What the handler of one event is given besides the event: the time, and where its actions go.
#ifndef GATEWAY_POLICY_EVENT_CONTEXT_HPP_
#define GATEWAY_POLICY_EVENT_CONTEXT_HPP_

#include <utility>
#include <vector>

#include "gateway/actions.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

struct EventContext {
  Millis now;
  std::vector<Action>& actions;

  // Appends an action of one of the types of Action.
  template <typename ActionType>
  void Emit(ActionType action) {
    actions.emplace_back(std::move(action));
  }
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_EVENT_CONTEXT_HPP_
