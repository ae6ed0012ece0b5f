// The context in which an event is handled: the current time and the list to which actions are appended.
#ifndef GATEWAY_POLICY_EVENT_CONTEXT_HPP_
#define GATEWAY_POLICY_EVENT_CONTEXT_HPP_

#include <utility>
#include <vector>

#include "gateway/actions.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

// Passed to each function that handles an event.
struct EventContext {
  Millis now;
  std::vector<Action>& actions;

  // Appends an action. `ActionType` is one of the alternatives of Action.
  template <typename ActionType>
  void Emit(ActionType action) {
    actions.emplace_back(std::move(action));
  }
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_EVENT_CONTEXT_HPP_
