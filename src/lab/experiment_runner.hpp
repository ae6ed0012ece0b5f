// Runs experiments: fleets of gateway processes on loopback sockets, with emulated hosts, clients, front
// balancer and list service around them, and faults.
//
// What decides in the lab (schedule, host model, rules, the balancer's view) has no sockets and no clock and
// is handed the time; thin shells around it do the I/O. The gateway is met on its sockets alone.
#ifndef GATEWAY_LAB_EXPERIMENT_RUNNER_HPP_
#define GATEWAY_LAB_EXPERIMENT_RUNNER_HPP_

#include <cstdint>
#include <string>

#include "lab/experiment.hpp"
#include "lab/results.hpp"

namespace gateway::lab {

struct RunOptions {
  std::uint64_t seed = 1;
  int repeats = 1;         // runs of each variant, with the seeds seed, seed + 1, ...
  std::string gateway;     // command of the program under test
  std::string earlier;     // command of another build, run as the variant "earlier"; empty: none
  std::string gatewayctl;  // command of this program, which serves as list service and baselines
  std::string log_folder;  // for the logs of the processes; empty: they are dropped
  bool progress = false;   // prints a line each second on standard error
};

// Runs the experiment for each seed and variant, one after the other, and ends every process that it has
// started. Blocks; uses SIGCHLD. Throws std::runtime_error where a run can't be set up, as for lack of an
// address or of a process.
Results RunExperiment(const Experiment& experiment, const RunOptions& options);

// Ends the current run, and with it RunExperiment, as soon as possible. May be called from a signal handler.
void Interrupt();

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_RUNNER_HPP_
