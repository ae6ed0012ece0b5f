// The definition of an experiment as read from its file (docs/design/lab.md): fleet, traffic, faults and
// bounds.
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

// Emulated hosts of one machine type. Work is measured in ms of CPU time on a core of speed 1.
struct HostGroup {
  std::string name = "standard";
  int count = 1;
  std::string zone;  // empty: spread over all zones, round robin
  double cores = 1;
  double speed = 1;
  int slots = 8;                // limit on concurrently executed requests
  int queue_capacity = 24;      // limit on queued requests; further ones are rejected
  double thrash_factor = 0;     // capacity is divided by 1 + this * (requests beyond 2 per core)
  Millis handshake_work = 0;    // work for each new connection
  int max_connections = 200;    // requests on further connections are rejected
  Millis idle_timeout = 15000;  // after which the host closes an idle connection
  double error_rate = 0;        // share of requests that are answered with 500 after their work
  double no_response_rate = 0;  // share of requests that are never answered
};

// The warm-up of a host that has just started.
struct HostWarmUp {
  double initial_fraction = 0.2;  // capacity at the start, as a share of the full capacity
  Millis duration = 10000;        // until the host has its full capacity
  double overload_factor = 2.5;   // received work over capacity at which the host crashes
  Millis overload_window = 3000;  // over which the received work is summed
};

// A class of requests with the same mean cost, objectives, weight and idempotency.
struct TrafficClass {
  std::string name;
  double share = 1;  // of the traffic, relative to the other classes
  Millis work = 40;  // mean of an exponential distribution
  Millis latency_objective = 500;
  Millis deadline = 1000;  // from the scheduled time, including the client's retries
  double priority_weight = 1;
  double late_weight = 0.3;  // share of the weight that a response between objective and deadline earns
  bool idempotent = true;
};

struct Traffic {
  double rate = 0;            // requests per second to the fleet, not counting clients' retries
  Millis duration = 10000;    // of the arrivals
  Millis warm_up = 2000;      // initial time that is excluded from goodput and latency
  bool bursty = false;        // Poisson at a rate that switches between high and low at random times
  double burst_factor = 2;    // high rate over mean rate
  Millis burst_length = 500;  // mean time at the high rate; the time at the low rate follows from `rate`
  std::map<std::string, double> tenants;  // traffic share by name; empty: one tenant
  double skew = 0;       // the first gateway of each zone gets 1 + skew times the traffic of the others
  int max_retries = 2;   // by the client, for each request
  Millis backoff = 100;  // before the first retry; doubles with each retry; Retry-After can lengthen it
  double client_timeout_share = 1;  // share of the deadline after which a client disconnects
};

struct Fleet {
  int gateways = 3;
  std::vector<std::string> zones{"a"};
  Millis list_delay = 500;              // from a change of the list to its watch event
  Millis front_detection_delay = 1500;  // until the front balancer detects that a gateway does not respond
  Millis drain_grace = 500;
  int max_attempts = 3;
  int sockets = 1024;
  int memory_mb = 192;
  bool retry_after = true;
  int file_kb = 0;           // size limit of a file that a gateway writes, emulates a full disk; 0: none
  bool saves_state = false;  // each gateway has a state folder that is kept over restarts
  Millis sync_delay = 0;     // added to each sync of a gateway's state
  bool uses_registry_process = false;  // run the project's list service instead of emulating one
  Millis lease_term = 3000;
  Millis lease_grace = 1500;
  bool peer_network = false;    // gateways can send each other datagrams
  Millis ready_within = 30000;  // the run fails if a gateway is not ready by then
};

// Impairments of the network between gateways.
struct NetworkConditions {
  double loss_rate = 0;
  double duplication_rate = 0;
  double reordering_rate = 0;
  Millis delay = 0;
};

// "registry" in a comment means the project's list service, run as a process.
enum class FaultKind {
  kKillGateway,       // SIGKILL; started again after the duration
  kStopGateway,       // SIGSTOP, then SIGCONT after the duration
  kTerminateGateway,  // SIGTERM; started again once the process has ended and the duration has passed
  kReplaceGateway,    // starts a second process; SIGTERM to the old one when the new one is ready
  kListDown,          // the emulated list service refuses connections
  kListKill,          // registry: SIGKILL; started again after the duration
  kListStop,          // registry: SIGSTOP, then SIGCONT after the duration
  kListDiskFull,      // registry: its files can't grow
  kListCut,           // registry: cuts its network to gateways
  kListTruncate,      // registry: the share `magnitude` of its responses is truncated
  kMemberCut,         // registry: cuts its network to hosts, which serve but can't renew their leases
  kZoneCut,           // cuts the network between a zone and all others, in both directions
  kCut,               // cuts the network between gateways and hosts
  kReset,             // resets all connections between gateways and hosts, once
  kSlowHost,          // executes requests at `magnitude` times its speed
  kFailingHost,       // answers the share `magnitude` of requests with 500
  kMuteHost,          // never answers a request
  kKillHost,          // resets its connections and refuses new ones; restarts after the duration
  kVanishHost,        // its machine drops all packets; restarts after the duration
  kDrainHost,         // drains for the duration, then is removed from the list
  kDelay,             // adds `magnitude` ms and up to `jitter` ms per direction to all links of a gateway
  kPeerConditions,    // impairs datagrams from and to a gateway
  kPeerCut,           // drops datagrams between a gateway and `peers`
  kBurst,             // multiplies the traffic by `magnitude`
};

struct Fault {
  FaultKind kind;
  Millis at = 0;
  Millis duration = 0;  // 0: until the end of the run
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

// Limits on a figure of one variant, or on the ratio of this figure to the same figure of another variant.
struct Bound {
  std::string figure;
  std::string variant = "gateway";
  std::string baseline;  // the variant whose figure is the divisor; empty: none
  std::optional<double> minimum;
  std::optional<double> maximum;
  bool is_speed = false;  // depends on the machine: inconclusive if the lab itself ran late
};

struct Experiment {
  std::string name;
  std::string about;
  Millis ends_within = 120000;  // limit on the wall-clock time of one run of one variant
  Millis max_lateness = 5;      // p99 lateness of the lab itself above which speeds are inconclusive
  Fleet fleet;
  std::vector<HostGroup> host_groups;
  HostWarmUp host_warm_up;
  std::vector<TrafficClass> classes;
  Traffic traffic;
  std::vector<Fault> faults;           // ordered by time
  std::vector<std::string> baselines;  // random, round_robin, least_inflight, direct, no_fault, no_state
  std::vector<Bound> bounds;

  // Returns the experiment without its faults except traffic bursts.
  Experiment WithoutFaults() const;

  int HostCount() const;

  // Requests per second that all hosts together can serve after warm-up, at full speed.
  double Capacity() const;
};

// Both throw base::ConfigError with file, line and column.
Experiment ReadExperiment(const std::string& path);
Experiment ParseExperiment(std::string_view text, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_HPP_
