// Starts, stops, replaces and probes the gateway processes of one run.
#ifndef GATEWAY_LAB_GATEWAY_PROCESSES_HPP_
#define GATEWAY_LAB_GATEWAY_PROCESSES_HPP_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/http_client.hpp"
#include "lab/addresses.hpp"
#include "lab/experiment.hpp"
#include "lab/front_balancer.hpp"
#include "lab/processes.hpp"
#include "lab/rule_checker.hpp"

namespace gateway::lab {

// Gateways are numbered from 0. Must be used in the thread of the io_context. The end of a
// process counts as a violation unless a fault has caused it.
class GatewayProcesses {
 public:
  // The referenced objects must outlive this object.
  struct Environment {
    boost::asio::io_context& io;
    const Experiment& experiment;
    const Addresses& addresses;
    RuleChecker& rules;
    std::string command;  // command that starts a gateway, run by /bin/sh
    std::uint64_t seed;
    std::filesystem::path folder;                       // for configurations, saved states and TMPDIRs
    std::string log_folder;                             // empty: logs are dropped
    std::vector<std::string> known_lists;               // hosts at the start of the run by gateway, as JSON
    std::function<void(int gateway)> on_start;          // called before each start of a process
    std::function<void(const std::string&)> add_event;  // adds to the events of the run
  };
  explicit GatewayProcesses(Environment environment);
  ~GatewayProcesses() { KillAll(); }

  int count() const { return env_.experiment.fleet.gateways; }

  // Throws std::runtime_error if a process can't be started.
  void StartAll();

  bool AllReady() const;

  // Returns a text with the gateways that are not ready, such as "gateway 0 is not ready, gateway 2 is not
  // ready".
  std::string DescribeNotReady() const;

  // Whether the front balancer sends new connections to the gateway.
  bool AcceptsConnections(int gateway, Millis now) const;

  // Whether the gateway was killed or stopped by a fault at any time since `since`. Includes a short time
  // after the fault.
  bool WasDisruptedSince(int gateway, Millis since) const;

  // Faults. A gateway that is killed or terminated is restarted `restart_delay` after its process has ended.
  void Kill(int index, Millis restart_delay);
  void Stop(int gateway);
  void Continue(int gateway);
  void Terminate(int index, Millis restart_delay);
  void Replace(int gateway);

  // Kills all processes and waits until they have ended. cpu_time() and max_memory_mb() then include all of
  // them.
  void KillAll();

  // The total CPU time of the processes that have ended, and the largest resident memory that one of them
  // used.
  Millis cpu_time() const { return cpu_time_; }
  double max_memory_mb() const { return max_memory_mb_; }

 private:
  struct Gateway {
    Gateway(boost::asio::io_context& io, Millis detection_delay)
        : balancer_view(detection_delay), probe_timer(io), process_timer(io) {}
    pid_t pid = 0;        // 0: no process
    pid_t successor = 0;  // the new process during a replacement; 0: none
    int start_count = 0;
    bool ready = false;  // the current process has answered a probe with success
    FrontBalancerView balancer_view;
    std::shared_ptr<base::ClientConnection> probe_connection;
    boost::asio::steady_timer probe_timer;
    boost::asio::steady_timer process_timer;  // for a restart, a kill or a check of the successor
    bool end_expected = false;
    Millis restart_delay = 0;
    Millis disrupted_from = -1;   // negative: never
    Millis disrupted_until = -1;  // infinite while the fault is active
  };

  Gateway& GatewayAt(int gateway) { return *gateways_[static_cast<std::size_t>(gateway)]; }
  const Gateway& GatewayAt(int gateway) const { return *gateways_[static_cast<std::size_t>(gateway)]; }
  pid_t Start(int gateway);
  ProcessSpec MakeProcessSpec(int gateway, int start, const std::filesystem::path& config,
                              const std::filesystem::path& temporary) const;
  void Probe(int gateway);
  void OnProbeResult(int index, const base::ClientConnection::Result& result);
  void BeginDisruption(Gateway& gateway);
  void KillLater(Gateway& gateway, std::function<void()> kill);
  void CheckSuccessor(int gateway, Millis until);
  void OnSuccessorCheck(int index, Millis until, bool success);
  void OnProcessEnd(const ProcessEnd& end);
  void OnGatewayEnd(int index, const ProcessEnd& end);
  void RestartLater(int index);

  Environment env_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  bool shutting_down_ = false;
  Millis cpu_time_ = 0;
  double max_memory_mb_ = 0;
  Processes processes_;  // last member: its destructor calls OnProcessEnd
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_PROCESSES_HPP_
