// src/lab: plays fleets with faults. Emulated hosts, clients, front and list on real loopback sockets, the
// gateways as processes of the program under test, a timeline of faults, rules watched from the hosts' and
// clients' side, and figures. What decides (schedule, host model, rules, front's view) has no sockets and no
// clock and is handed the time; what does I/O is a thin shell round it. Uses src/base; nothing of the
// gateway: it is met on its sockets only.
#ifndef GATEWAY_LAB_LAB_HPP_
#define GATEWAY_LAB_LAB_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/results.hpp"

namespace gateway::lab {

struct RunOptions {
  std::uint64_t seed = 1;
  int repeats = 1;        // seeds seed, seed + 1, ...
  std::string gateway;    // the program under test
  std::string earlier;    // another build of it, played as variant "earlier"; empty: none
  std::string self;       // this program, for the baselines
  std::string logs;       // folder for the processes' logs; empty: none kept
  bool progress = false;  // a line a second on standard error
};

// Plays the experiment once for each seed and variant, one after the other, and ends every process it
// started. Throws std::runtime_error where a play can't be set up at all (no address, a program that can't be
// started).
Results Run(const Experiment& experiment, const RunOptions& options);

// To be called from a signal handler: the play that is on ends as soon as it can, with all its processes.
void Interrupt();

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LAB_HPP_
