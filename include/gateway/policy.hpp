// The policy: every decision of one gateway on requests, as a state machine without I/O.
//
// The gateway reports what happens as events and carries out, in order, the actions that it gets back. A
// Policy reads no clock, opens nothing and starts no thread: the same settings, seed and events always give
// the same actions. Policies share no state; each is called from one thread at a time.
#ifndef GATEWAY_POLICY_HPP_
#define GATEWAY_POLICY_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "gateway/actions.hpp"
#include "gateway/events.hpp"
#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

class Policy {
 public:
  // Throws SettingsError if the settings cannot work.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Handles one event at time `now` and appends to `actions`. Time never runs backwards: an earlier `now`
  // counts as the last one. Nothing is sent before the first endpoint list.
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  // Number of listed endpoints that are up and ejected by outlier detection.
  std::size_t EjectedEndpointCount() const;

  // For the next process of this gateway.
  LearnedState ExportState() const;

  // Continues with what another Policy learned, aged by the time since its export. To be called after the
  // first endpoint list and before the first request. Endpoints and classes that `state` does not name stay
  // as they are.
  void ImportState(Millis now, const LearnedState& state);

  // Multiplies the admission rate and the limits of all endpoints by `factor`. While two processes act as one
  // gateway each takes a share: 0.5 when the overlap begins, 2 when it ends.
  void ScaleLimits(double factor);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_HPP_
