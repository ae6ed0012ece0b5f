// Slow start: limits the attempts that are sent to an endpoint while it warms up after its start.
//
// A warming endpoint earns credit over time, and each attempt costs 1 credit. The rate of credit is the
// product of three factors: the rate at which a warm endpoint of the machine type serves requests of this
// gateway, the warm-up fraction of the endpoint, and a safe share of the overload factor. Each gateway uses
// the service rate that it observes itself. Therefore the total of the attempts of all gateways does not
// overload the endpoint, although the gateways do not communicate.
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

// The state of slow start for one endpoint.
struct SlowStartState {
  Millis started_at = kNever;  // start of the warm-up
  double credit = 0;           // attempts that may be sent to the endpoint
  Millis credited_at = 0;      // last update of the credit
};

// Responses of the warm endpoints of a machine type to this gateway. `served` and `endpoint_time` decay at
// the same rate.
struct Throughput {
  double served = 0;         // responses
  double endpoint_time = 0;  // ms, sum over the endpoints of observed time * weight
};

// Grants credit to warming endpoints and estimates the service rates of machine types.
class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  // Starts the warm-up of an endpoint. `initial_credit` in [0, 1) must be random. Otherwise all gateways
  // would send their first attempts at the same time and overload the endpoint.
  void BeginWarmUp(SlowStartState& state, Millis started_at, double initial_credit, Millis now) const;

  // Returns the current capacity of the endpoint as a share of its full capacity; 1 once the endpoint is
  // warm.
  double WarmUpFraction(const SlowStartState& state, Millis now) const;
  bool IsWarm(const SlowStartState& state, Millis now) const { return WarmUpFraction(state, now) >= 1; }

  // Returns whether an attempt may be sent to the endpoint. Adds the credit earned since the last call.
  bool HasCredit(Endpoint& endpoint, Millis now) const;

  // Deducts 1 credit for an attempt that is sent to a warming endpoint.
  void RecordSend(SlowStartState& state, Millis now) const;

  // Records a response of an endpoint. Ignores responses of warming endpoints.
  void RecordServed(Endpoint& endpoint, Millis now) const;

  using MachineTypes = std::map<std::string, MachineType>;
  // Updates the service rates. `elapsed` is the time since the last update. While there are few responses,
  // the estimate for an endpoint is close to an equal share of the arrival rate.
  void UpdateServiceRates(MachineTypes& machine_types, const std::vector<Endpoint*>& subset, Millis elapsed,
                          double arrivals_per_ms, Millis now);

  // Returns the number of responses per ms that a warm endpoint of weight 1 sends to this gateway.
  // `throughput` is the throughput of its machine type.
  double ServiceRatePerMs(const Throughput& throughput) const;

 private:
  const double initial_fraction_;
  const Millis duration_;
  const double overload_factor_;
  double mean_rate_per_ms_ = 0;  // service rate over all machine types; prior for each of them
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SLOW_START_HPP_
