// Slow start: limits the attempts that an endpoint is sent while it warms up after its start.
//
// An endpoint that warms up earns credit at the rate at which warm endpoints of its machine type serve this
// gateway, times its warm-up fraction, times a safe share of the overload factor. An attempt costs 1. Each
// gateway uses the rate that it sees itself, so the sum over all gateways stays within what the endpoint
// bears, without communication.
#ifndef GATEWAY_POLICY_SLOW_START_HPP_
#define GATEWAY_POLICY_SLOW_START_HPP_

#include <map>
#include <string>
#include <vector>

#include "gateway/learned_state.hpp"
#include "gateway/settings.hpp"
#include "gateway/time.hpp"

namespace gateway::policy {

struct Endpoint;
struct MachineType;

// The part of an endpoint's state that slow start owns.
struct SlowStartState {
  Millis started_at = kNever;  // start of the warm-up
  double credit = 0;           // attempts that it may be sent
  Millis credited_at = 0;
};

// What the warm endpoints of a machine type served this gateway. Both values decay together.
struct Throughput {
  double served = 0;         // responses
  double endpoint_time = 0;  // ms, weighted by the endpoints' sizes
};

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  // Begins the warm-up. `initial_credit` in [0, 1) has to be random, for one attempt of each of many gateways
  // at once would overload the endpoint.
  void Begin(SlowStartState& state, Millis started_at, double initial_credit, Millis now) const;

  // The share of its capacity that the endpoint has for certain, 1 once it is warm.
  double WarmUpFraction(const SlowStartState& state, Millis now) const;
  bool IsWarm(const SlowStartState& state, Millis now) const { return WarmUpFraction(state, now) >= 1; }

  // Whether the endpoint may be sent an attempt. Grants the credit earned since the last call.
  bool HasCredit(Endpoint& endpoint, Millis now) const;

  // Accounts for an attempt that is sent.
  void RecordSend(SlowStartState& state, Millis now) const;

  // Accounts for a response; those of warm endpoints alone count.
  void RecordServed(Endpoint& endpoint, Millis now) const;

  using MachineTypes = std::map<std::string, MachineType>;
  // Updates the service rate of the subset, `passed` after the last update. Where endpoints have not shown
  // theirs yet, what arrives per ms is shared out among them.
  void UpdateServiceRates(MachineTypes& machine_types, const std::vector<Endpoint*>& subset, Millis passed,
                          double arrivals_per_ms, Millis now);

  // Responses per ms that a warm endpoint of weight 1 of the machine type gives this gateway.
  double ServiceRatePerMs(const Throughput& throughput) const;

 private:
  const double initial_fraction_;
  const Millis duration_;
  const double overload_factor_;
  double mean_rate_per_ms_ = 0;  // of the subset: the prior for each machine type
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SLOW_START_HPP_
