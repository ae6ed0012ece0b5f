// An experiment as its file states it (docs/design/lab.md): fleet, traffic, faults and bounds.
#ifndef GATEWAY_LAB_EXPERIMENT_HPP_
#define GATEWAY_LAB_EXPERIMENT_HPP_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

// Emulated hosts of one machine type. Work is in ms of a core of speed 1.
struct HostGroup {
  std::string name = "standard";
  int count = 1;
  std::string zone;  // empty: spread over all zones in turn
  double cores = 1;
  double speed = 1;
  int slots = 8;                // requests that are executed concurrently
  int queue_capacity = 24;      // requests that wait beyond those; further ones are rejected
  double thrash_factor = 0;     // capacity lost for each request beyond twice the cores
  Millis handshake_work = 0;    // work for each new connection
  int max_connections = 200;    // requests on further ones are rejected
  Millis idle_timeout = 15000;  // a connection that was idle for so long is closed
  double error_rate = 0;        // share of requests that end as 500 after their work
  double no_response_rate = 0;  // share of requests that are never answered
};

// How a host that has just started warms up.
struct HostWarmUp {
  double initial_fraction = 0.2;  // of the capacity at the start
  Millis duration = 10000;        // until it has its full capacity
  double overload_factor = 2.5;   // multiple of its capacity that fells it
  Millis overload_window = 3000;  // over which that is counted
};

// Requests that share their cost, their weight and their idempotency.
struct TrafficClass {
  std::string name;
  double share = 1;  // of the traffic, relative to the other classes
  Millis work = 40;  // mean of an exponential distribution
  Millis latency_objective = 500;
  Millis deadline = 1000;  // over all attempts of the client
  double priority_weight = 1;
  double late_weight = 0.3;  // of the weight, for a response between objective and deadline
  bool idempotent = true;
};

struct Traffic {
  double rate = 0;            // requests per second over the fleet, clients' retries not counted
  Millis duration = 10000;    // of arrivals
  Millis warm_up = 2000;      // at the start: not counted in goodput and latency
  bool bursty = false;        // Poisson at a rate that switches between high and low at random times
  double burst_factor = 2;    // high rate over mean rate
  Millis burst_length = 500;  // mean time at the high rate; that at the low rate keeps the mean
  std::map<std::string, double> tenants;  // shares; empty: one tenant
  double skew = 0;       // the first gateway of each zone gets 1 + skew times the traffic of the others
  int max_retries = 2;   // by the client
  Millis backoff = 100;  // before the first retry; doubles; a longer Retry-After is obeyed
  double client_timeout_share = 1;  // of the deadline, after which a client disconnects
};

struct Fleet {
  int gateways = 3;
  std::vector<std::string> zones{"a"};
  Millis list_delay = 500;              // from a change to its watch event
  Millis front_detection_delay = 1500;  // until the front balancer notices that a gateway has died
  Millis drain_grace = 500;
  int max_attempts = 3;
  int sockets = 1024;
  int memory_mb = 192;
  bool retry_after = true;
  int file_kb = 0;            // limit on a file that a gateway writes, as of a full disk; 0: none
  bool saves_state = false;   // each gateway has a folder for its state, which survives restarts
  Millis sync_delay = 0;      // added to each sync of a gateway's state
  bool own_registry = false;  // the list service is the project's own, as a process
  Millis lease_term = 3000;
  Millis lease_grace = 1500;
  bool peer_network = false;    // gateways may send each other datagrams
  Millis ready_within = 30000;  // the run fails where a gateway is not ready by then
};

// What happens to datagrams between gateways.
struct NetworkConditions {
  double loss_rate = 0;
  double duplication_rate = 0;
  double reordering_rate = 0;
  Millis delay = 0;
};

// `own`: of the project's own list service, as a process.
enum class FaultKind {
  kKillGateway,       // SIGKILL; started again after the duration
  kStopGateway,       // SIGSTOP, then SIGCONT after the duration
  kTerminateGateway,  // SIGTERM; started again when it has ended, after the duration
  kReplaceGateway,    // a new process beside it; SIGTERM to the old one when the new one is ready
  kListDown,          // the emulated list service
  kListKill,          // own: SIGKILL; started again after the duration
  kListStop,          // own: SIGSTOP, then SIGCONT
  kListDiskFull,      // own: no file may grow
  kListCut,           // own: between gateways and it
  kListTruncate,      // own: the share `magnitude` of its answers is cut off half-way
  kMemberCut,         // own: between hosts and it; the hosts serve, and can't renew their leases
  kZoneCut,           // a zone from all others, in both directions
  kCut,               // gateways from hosts
  kReset,             // all connections between gateways and hosts break, once
  kSlowHost,          // executes at `magnitude` times its speed
  kFailingHost,       // the share `magnitude` of requests ends as 500
  kMuteHost,          // answers nothing
  kKillHost,          // its connections break and new ones are refused; starts anew after the duration
  kVanishHost,        // its machine is gone: nothing answers and nothing is refused; starts anew as above
  kDrainHost,         // drains for the duration, then is removed
  kDelay,             // all links of a gateway: `magnitude` ms more each way, and up to `jitter`
  kPeerConditions,    // datagrams from and to a gateway
  kPeerCut,           // datagrams between a gateway and `peers` are lost
  kBurst,             // traffic times `magnitude`
};

struct Fault {
  FaultKind kind;
  Millis at = 0;
  Millis duration = 0;  // 0: to the end of the run
  std::vector<int> gateways;
  std::vector<int> hosts;
  std::string zone;
  double magnitude = 1;
  std::vector<int> peers;
  bool cuts_from_gateway = true;
  bool cuts_to_gateway = true;
  Millis jitter = 0;
  NetworkConditions conditions;
  std::string description;  // for reports
};

// A figure of one variant that has to lie within bounds, as it is or as a ratio to that of another variant.
struct Bound {
  std::string figure;
  std::string variant = "gateway";
  std::string baseline;  // the variant that it is divided by; empty: none
  std::optional<double> minimum;
  std::optional<double> maximum;
  bool is_speed = false;  // depends on the machine: inconclusive where the lab itself ran late
};

struct Experiment {
  std::string name;
  std::string about;
  Millis ends_within = 120000;  // real time for one run of one variant
  Millis max_lateness = 5;      // of the lab itself at p99, beyond which speeds are inconclusive
  Fleet fleet;
  std::vector<HostGroup> host_groups;
  HostWarmUp host_warm_up;
  std::vector<TrafficClass> classes;
  Traffic traffic;
  std::vector<Fault> faults;           // in the order of their times
  std::vector<std::string> baselines;  // random, round_robin, least_inflight, direct, no_fault, no_state
  std::vector<Bound> bounds;

  // The same experiment with no faults but bursts of the traffic.
  Experiment WithoutFaults() const;

  int HostCount() const;

  // Requests per second that all hosts together can serve, warmed up and at full speed.
  double Capacity() const;
};

// Throw base::ConfigError with file, line and column.
Experiment ReadExperiment(const std::string& path);
Experiment ParseExperiment(std::string_view text, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_HPP_
