// The policy of a gateway: a state machine without I/O that makes all decisions on requests.
//
// The gateway reports events to the policy and carries out the returned actions in order. A Policy reads no
// clock, opens no files or sockets and starts no threads. It is deterministic: the same settings, seed and
// events always give the same actions. Policies share no state. A Policy is not thread-safe: its methods must
// not be called concurrently.
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

// Decides which requests are sent, queued, retried and rejected, and which endpoint each attempt uses.
class Policy {
 public:
  // Throws SettingsError if a setting is invalid.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Handles one event at time `now` and appends the resulting actions to `actions`. If `now` is earlier than
  // the time of a previous call, the latest time so far is used instead. No attempt is sent before the first
  // endpoint list arrives.
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  // Returns the number of endpoints that are listed as up but ejected by outlier detection.
  std::size_t EjectedEndpointCount() const;

  // Returns the learned state, for the next process of this gateway.
  LearnedState ExportState() const;

  // Restores the state that another Policy exported. The older the state is, the less weight it gets. Must be
  // called after the first endpoint list and before the first request. Endpoints and classes that `state`
  // does not contain keep their initial estimates.
  void ImportState(Millis now, const LearnedState& state);

  // Multiplies the admission rate and the concurrency limits of all endpoints by `factor`. While two
  // processes of one gateway run in parallel during a hot restart, each uses half of the limits: the factor
  // is 0.5 when the overlap starts and 2 when it ends.
  void ScaleLimits(double factor);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_HPP_
