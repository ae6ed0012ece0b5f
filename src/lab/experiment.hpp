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

// Emulated hosts of one machine type. The unit of work is 1 ms of CPU time on a core of speed 1.
struct HostGroup {
  std::string name = "standard";
  int count = 1;
  std::string zone;  // empty: spread over all zones, round robin
  double cores = 1;
  double speed = 1;
  int slots = 8;                // limit on concurrently executed requests
  int queue_capacity = 24;      // limit on queued requests; further requests are rejected
  double thrash_factor = 0;     // n requests beyond 2 per core divide the capacity by 1 + thrash_factor * n
  Millis handshake_work = 0;    // work for each new connection
  int max_connections = 200;    // requests on further connections are rejected
  Millis idle_timeout = 15000;  // the host closes a connection that is idle for longer
  double error_rate = 0;        // share of requests that are answered with 500 after their work
  double no_response_rate = 0;  // share of requests that are never answered
};

// The warm-up of a host that has just started.
struct HostWarmUp {
  double initial_fraction = 0.2;  // capacity at the start, as a share of the full capacity
  Millis duration = 10000;        // time until the host has its full capacity
  double overload_factor = 2.5;   // the host crashes if received work / capacity exceeds this ratio
  Millis overload_window = 3000;  // length of the window in which received work and capacity are compared
};

// A class of requests with the same mean work, objective, deadline, weights and idempotency.
struct TrafficClass {
  std::string name;
  double share = 1;  // share of the traffic, relative to the shares of the other classes
  Millis work = 40;  // mean; the work of a request is exponentially distributed
  Millis latency_objective = 500;
  Millis deadline = 1000;  // counts from the scheduled time and includes the client's retries
  double priority_weight = 1;
  double late_weight = 0.3;  // share of the weight for a response between the objective and the deadline
  bool idempotent = true;
};

struct Traffic {
  double rate = 0;          // requests per second to the fleet, without the clients' retries
  Millis duration = 10000;  // time in which requests arrive
  Millis warm_up = 2000;    // initial time that is excluded from goodput and latency
  bool bursty = false;      // the rate of the Poisson arrivals switches between high and low at random times
  double burst_factor = 2;  // ratio of the high rate to the mean rate
  Millis burst_length = 500;              // mean time at the high rate; `burst_factor` gives the low one
  std::map<std::string, double> tenants;  // traffic share by name; empty: one tenant
  double skew = 0;       // in each zone, the first gateway gets 1 + skew times the traffic of any other
  int max_retries = 2;   // limit on the client's retries of one request
  Millis backoff = 100;  // delay of the first retry; doubles with each retry; Retry-After can lengthen it
  double client_timeout_share = 1;  // share of the deadline after which a client disconnects
};

struct Fleet {
  int gateways = 3;
  std::vector<std::string> zones{"a"};
  Millis list_delay = 500;              // time from a change of the list to its watch event
  Millis front_detection_delay = 1500;  // time until the front balancer detects an unresponsive gateway
  Millis drain_grace = 500;    // time after the notification in which a gateway may send to a draining host
  int max_attempts = 3;        // limit on the attempts for one request
  int max_descriptors = 1024;  // limit on the file descriptors of a gateway
  int memory_mb = 192;         // memory limit in the configuration of a gateway
  bool retry_after = true;     // gateways may send Retry-After with a rejection
  int max_file_kb = 0;  // size limit of each file that a gateway writes, to emulate a full disk; 0: no limit
  bool saves_state = false;            // each gateway has a state folder that is kept over restarts
  Millis sync_delay = 0;               // additional duration of each sync of a gateway's state
  bool uses_registry_process = false;  // run the project's list service instead of emulating one
  Millis lease_term = 3000;            // duration of the hosts' leases at the project's list service
  Millis lease_grace = 1500;           // time from the suspicion of a host to its removal
  bool peer_network = false;           // gateways can send each other datagrams
  Millis ready_within = 30000;         // the run fails if a gateway is not ready within this time
};

// Impairments of the network between gateways. The rates are shares of the datagrams.
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
  kTerminateGateway,  // SIGTERM; started again when the duration has passed since its end
  kReplaceGateway,    // starts a new process; SIGTERM to the old process when the new process is ready
  kListDown,          // the emulated list service refuses connections
  kListKill,          // registry: SIGKILL; started again after the duration
  kListStop,          // registry: SIGSTOP, then SIGCONT after the duration
  kListDiskFull,      // registry: its files can't grow, as on a full disk
  kListCut,           // registry: cuts its network to gateways
  kListTruncate,      // registry: the share `magnitude` of its responses is truncated
  kMemberCut,         // registry: cuts its network to hosts; the hosts serve, but can't renew their leases
  kZoneCut,           // cuts the network between a zone and all others, in both directions
  kCut,               // cuts the network between gateways and hosts
  kReset,             // resets all connections between gateways and hosts, once
  kSlowHost,          // the host executes requests at `magnitude` times its speed
  kFailingHost,       // the host answers the share `magnitude` of its requests with 500
  kMuteHost,          // the host never answers a request
  kKillHost,          // the host resets its connections, refuses new ones and restarts after the duration
  kVanishHost,        // the host's machine drops all packets; the host restarts after the duration
  kDrainHost,         // the host drains for the duration and is then removed from the list
  kDelay,             // all links of a gateway delay messages by `magnitude` ms and up to `jitter` ms more
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
  double magnitude = 1;    // meaning: see FaultKind
  std::vector<int> peers;  // kPeerCut: the other gateways
  bool cuts_from_gateway = true;
  bool cuts_to_gateway = true;
  Millis jitter = 0;
  NetworkConditions conditions;
  std::string description;  // for reports
};

// Limits on a figure of one variant, or on the ratio of this figure to the same figure of a baseline variant.
struct Bound {
  std::string figure;
  std::string variant = "gateway";
  std::string baseline;  // variant; its figure is the divisor of the ratio; empty: no ratio
  std::optional<double> minimum;
  std::optional<double> maximum;
  // Whether the figure depends on the machine's speed. A violation is inconclusive if the lab itself was too
  // late.
  bool depends_on_speed = false;
};

struct Experiment {
  std::string name;
  std::string about;
  Millis ends_within = 120000;  // limit on the wall-clock time of one run of one variant
  Millis max_lateness = 5;  // limit on the lab's own p99 lateness; above it, bounds on speed are inconclusive
  Fleet fleet;
  std::vector<HostGroup> host_groups;
  HostWarmUp host_warm_up;
  std::vector<TrafficClass> classes;
  Traffic traffic;
  std::vector<Fault> faults;  // ordered by time
  // Variants with which the gateway under test is compared: random, round_robin, least_inflight, direct,
  // no_fault, no_state.
  std::vector<std::string> baselines;
  std::vector<Bound> bounds;

  // Returns a copy of the experiment whose only faults are the traffic bursts.
  Experiment WithoutFaults() const;

  int HostCount() const;

  // Requests per second that all hosts together can serve after warm-up, at full speed.
  double Capacity() const;
};

// Reads an experiment from a file, or from a text with `name` as the file name for error messages. Both
// functions throw base::ConfigError with file, line and column.
Experiment ReadExperiment(const std::string& path);
Experiment ParseExperiment(std::string_view text, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_HPP_
