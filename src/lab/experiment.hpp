// An experiment as its file states it (docs/design/lab.md): fleet, traffic, faults and bounds.
#ifndef GATEWAY_LAB_EXPERIMENT_HPP_
#define GATEWAY_LAB_EXPERIMENT_HPP_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.hpp"
#include "base/toml_reader.hpp"

namespace gateway::lab {

using base::Millis;

// One kind of emulated host, and how many of it there are. Work is in ms of a core of speed 1.
struct HostKind {
  std::string name = "standard";
  int count = 1;
  std::string zone;  // empty: spread over all zones in turn
  double cores = 1;
  double speed = 1;
  int slots = 8;            // requests in work at once
  int waiting = 24;         // places beyond that; then it turns requests away
  double thrash = 0;        // capacity lost for each request held beyond twice the cores
  double handshake_ms = 0;  // work for each new connection
  int connections = 200;    // beyond these it closes new ones at once
  double idle_ms = 15000;   // a connection that stood idle for so long is closed
  double errors = 0;        // share of requests that end as 500 after their work
  double silent = 0;        // share that is never answered
};

// How a host that has just started behaves; rule 8.2 of the site's pages.
struct ColdStart {
  double from = 0.2;  // share of the capacity at the start
  Millis warm_after = 10000;
  double fall_multiple = 2.5;
  Millis fall_window = 3000;
};

struct ClassSpec {
  std::string name;
  double share = 1;
  Millis work = 40;  // mean; exponentially distributed unless `work_spread` says otherwise
  Millis aim = 500;
  Millis deadline = 1000;  // the client states it, and quits after `patience` of it
  double worth = 1;
  double late_worth = 0.3;
  bool repeatable = true;
};

struct Traffic {
  double rate = 0;            // first tries a second over the fleet
  Millis seconds = 10000;     // of arrivals, in ms
  Millis warm_up = 2000;      // at the start: played, not counted in goodput or latency
  bool bursty = false;        // Poisson at a rate that changes between high and low at random times
  double burst_factor = 2;    // high over mean
  Millis burst_length = 500;  // mean stay in high; in low as long as keeps the mean
  std::map<std::string, double> tenants;  // shares; empty: one tenant
  double skew = 0;  // of traffic between gateways of a zone: the first gets (1 + skew) times its part
  int retries = 2;
  Millis backoff = 100;  // doubles with each retry; Retry-After is honoured where it is longer
  double patience = 1;   // share of the deadline after which a client quits
};

struct Fleet {
  int gateways = 3;
  std::vector<std::string> zones{"a"};
  Millis list_delay = 500;      // from a change to its news
  Millis front_notices = 1500;  // how long the front goes on dealing to a gateway that died
  Millis drain_grace = 500;
  int max_attempts = 3;
  int sockets = 1024;
  int memory_mb = 192;
  bool retry_after = true;
  int file_kb = 0;        // limit on a file that a gateway writes, as a full disk is; 0: none
  bool state = false;     // each gateway has a folder for its state, the same after a restart
  Millis slow_sync = 0;   // each sync of a gateway's state takes so much longer
  bool registry = false;  // the list is the project's own service, as a process
  Millis lease_term = 3000, lease_grace = 1500;
  bool peers = false;           // gateways may send each other datagrams
  Millis ready_within = 30000;  // DEPLOY: clients come once all gateways are ready, or after 30 s
};

// What happens to datagrams between gateways.
struct PeerWeather {
  double loss = 0, repeat = 0, reorder = 0;  // shares
  Millis delay = 0;
};

enum class FaultKind {
  kKill,          // a gateway: SIGKILL; started again after for_s
  kStop,          // a gateway: SIGSTOP, SIGCONT after for_s
  kTerm,          // a gateway: SIGTERM; started again when it has ended, for_s later
  kReplace,       // a gateway: a new process beside it, SIGTERM to the old one at the new one's yes
  kListDown,      // the list service
  kListKill,      // the list service as a process: SIGKILL; started again after for_s
  kListStop,      // the same: SIGSTOP
  kListFull,      // its disk takes nothing
  kListCut,       // gateways from it
  kListTruncate,  // share `size` of its answers is cut off half-way
  kMemberCut,     // hosts from it: they serve, and can't renew
  kZoneCut,       // a zone from all others: nothing passes, either way
  kCut,           // a gateway from a host: both ways, `there` (to the host) or `back`
  kReset,         // all connections between a gateway and a host break, once
  kSlow,          // a host: at `size` times its speed
  kFail,          // a host: share `size` of requests ends as 500
  kMute,          // a host: answers nothing
  kHostKill,      // a host: gone with its connections; back, cold, after for_s
  kHostVanish,    // a host: its machine is gone, nothing answers and nothing is refused; back, cold, after
                  // for_s
  kHostDrain,     // a host: drains for for_s, then is removed
  kDelay,         // all links of a gateway: `size` ms more each way, and up to `jitter` ms by chance
  kPeers,         // datagrams from and to a gateway: lost, repeated, reordered, delayed
  kPeerCut,       // a gateway from others: datagrams between them are lost, both ways
  kBurst,         // traffic times `size`
};

struct Fault {
  FaultKind kind;
  Millis at = 0;
  Millis lasts = 0;           // 0: to the end
  std::vector<int> gateways;  // numbers from 0
  std::vector<int> hosts;
  std::string zone;
  double size = 1;
  std::vector<int> peers;
  bool there = true, back = true;  // of a cut
  Millis jitter = 0;
  PeerWeather weather;
  std::string text;  // as in the file, for reports
};

// A figure of one variant that has to lie within bounds, as it is or as a ratio to another variant's.
struct Bound {
  std::string figure;
  std::string of = "gateway";
  std::string over;  // empty: the figure itself
  std::optional<double> least, most;
  bool speed = false;  // depends on the machine: not judged where the lab itself ran late
};

struct Experiment {
  std::string name, about;
  Millis ends_within = 120000;  // real time for one play of one variant, all included
  Millis most_late = 5;         // the lab's own lateness at p99, beyond which speeds are not judged
  Fleet fleet;
  std::vector<HostKind> hosts;
  ColdStart cold;
  std::vector<ClassSpec> classes;
  Traffic traffic;
  std::vector<Fault> faults;           // in the order of their times
  std::vector<std::string> baselines;  // random, round_robin, least_inflight, direct, no_fault, no_state
  std::vector<Bound> bounds;

  // The same with no faults but those of the traffic: what the schedule alone makes of the program.
  Experiment WithoutFaults() const;
  int HostCount() const;
  // Requests a second that all hosts together can serve, warm and at full speed.
  double Capacity() const;
};

// Throws base::ConfigError with file, line and column.
Experiment ReadExperiment(const std::string& path);
Experiment ParseExperiment(std::string_view text, const std::string& name);

// Whether a report has a figure of that name (with or without a class or fault behind a '/').
bool IsFigure(const std::string& name);
std::vector<std::string> FigureNames();

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_HPP_
