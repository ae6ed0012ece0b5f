// Runs experiments: fleets of gateway processes on loopback sockets, with emulated hosts, clients, front
// balancer and list service, and with faults.
//
// The decision logic of the lab (schedule, host model, rule checker, the balancer's view) uses neither
// sockets nor a clock and gets the time as an argument. Thin adapters do the I/O. The lab interacts with
// gateways only over their sockets and by signals.
#ifndef GATEWAY_LAB_EXPERIMENT_RUNNER_HPP_
#define GATEWAY_LAB_EXPERIMENT_RUNNER_HPP_

#include <cstdint>
#include <string>

#include "lab/experiment.hpp"
#include "lab/results.hpp"

namespace gateway::lab {

struct RunOptions {
  std::uint64_t seed = 1;
  int repeats = 1;         // number of runs of each variant, with the seeds seed, seed + 1, ...
  std::string gateway;     // command that starts the gateway under test
  std::string earlier;     // command that starts the variant "earlier", another build; empty: not run
  std::string gatewayctl;  // command that starts gatewayctl, which serves as list service or baseline gateway
  std::string log_folder;  // for the logs of the processes; empty: logs are dropped
  bool progress = false;   // prints the progress on standard error once per second
};

// Runs the experiment for each seed and variant, one after the other, and ends every process that it has
// started. Blocks; handles SIGCHLD. Throws std::runtime_error if a run can't be set up, for example because
// no address is free or a process can't be started.
Results RunExperiment(const Experiment& experiment, const RunOptions& options);

// Makes RunExperiment return as soon as possible. Async-signal-safe.
void Interrupt();

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_RUNNER_HPP_
