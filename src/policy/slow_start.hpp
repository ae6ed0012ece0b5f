// Slow start: limits the attempts that are sent to an endpoint while it warms up after its start.
//
// A warming endpoint earns credit at the rate at which warm endpoints of its machine type serve this gateway,
// multiplied by its warm-up fraction and by a safe share of the overload factor. An attempt costs 1. Each
// gateway uses the rate that it observes itself. Therefore the sum over all gateways stays within the
// load that the endpoint can bear, without communication between gateways.
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

// Responses of the warm endpoints of a machine type to this gateway. Both values decay at the same rate.
struct Throughput {
  double served = 0;         // responses
  double endpoint_time = 0;  // ms, weighted by EndpointInfo::weight
};

// Grants credit to warming endpoints and estimates the service rates of machine types.
class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  // Starts the warm-up of an endpoint. `initial_credit` in [0, 1) must be random: an immediate attempt from
  // each of many gateways would overload the endpoint.
  void Begin(SlowStartState& state, Millis started_at, double initial_credit, Millis now) const;

  // Returns the share of its capacity that the endpoint is known to have; 1 once it is warm.
  double WarmUpFraction(const SlowStartState& state, Millis now) const;
  bool IsWarm(const SlowStartState& state, Millis now) const { return WarmUpFraction(state, now) >= 1; }

  // Returns whether an attempt may be sent to the endpoint. Adds the credit earned since the last call.
  bool HasCredit(Endpoint& endpoint, Millis now) const;

  // Deducts the credit of an attempt that is sent.
  void RecordSend(SlowStartState& state, Millis now) const;

  // Records a response. Only responses of warm endpoints count.
  void RecordServed(Endpoint& endpoint, Millis now) const;

  using MachineTypes = std::map<std::string, MachineType>;
  // Updates the service rates of the subset for the time `elapsed` since the last update. For endpoints
  // without enough responses, the estimate is an equal share of the arrival rate.
  void UpdateServiceRates(MachineTypes& machine_types, const std::vector<Endpoint*>& subset, Millis elapsed,
                          double arrivals_per_ms, Millis now);

  // Returns the responses per ms of a warm endpoint of weight 1 of the machine type to this gateway.
  double ServiceRatePerMs(const Throughput& throughput) const;

 private:
  const double initial_fraction_;
  const Millis duration_;
  const double overload_factor_;
  double mean_rate_per_ms_ = 0;  // of the subset; prior for each machine type
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SLOW_START_HPP_
