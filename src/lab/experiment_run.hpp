// One run of one variant of an experiment. The run creates hosts, list service, gateways and clients, waits
// until the gateways are ready, starts traffic and faults, and collects the figures.
#ifndef GATEWAY_LAB_EXPERIMENT_RUN_HPP_
#define GATEWAY_LAB_EXPERIMENT_RUN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/client_targets.hpp"
#include "lab/clients.hpp"
#include "lab/fault_injector.hpp"
#include "lab/first_answers.hpp"
#include "lab/gateway_processes.hpp"
#include "lab/host_emulator.hpp"
#include "lab/link_table.hpp"
#include "lab/list_service.hpp"
#include "lab/peer_network.hpp"
#include "lab/recorder.hpp"
#include "lab/registry_process.hpp"
#include "lab/rule_checker.hpp"
#include "lab/temporary_folder.hpp"

namespace gateway::lab {

class ExperimentRun {
 public:
  struct Options {
    std::string variant;     // "direct": clients call the hosts, without gateways
    std::string command;     // command that starts a gateway
    std::string gatewayctl;  // command that starts gatewayctl, which can serve as list service
    std::uint64_t seed = 1;
    std::string log_folder;  // empty: logs are dropped
    bool progress = false;   // prints the progress on standard error
  };

  // `experiment` must outlive the run. Throws std::runtime_error if an address is not available.
  ExperimentRun(const Experiment& experiment, Options options);

  // Must be called only once. Returns when all requests have ended or the run has failed. All processes of
  // the run have ended when it returns.
  RunResult Run();

  // Aborts the current run and all later runs. Async-signal-safe.
  static void Interrupt();
  static bool IsInterrupted();

 private:
  void MakeListService();
  void MakeGateways();
  void MakeClients();
  void AddEvent(const std::string& text);
  void Tick();
  void WaitForReadiness(Millis now);
  void StartGateways();
  void BeginTraffic(Millis start);
  void ScheduleFaults();
  void ScheduleAt(Millis time, std::function<void()> callback);
  void MeasureListLag(Millis now);
  void PrintProgress(Millis now);
  void Fail(const std::string& reason);
  bool traffic_started() const { return traffic_start_ >= 0; }

  void WriteFigures();
  void WriteRuleFigures();
  void WriteClientFigures();
  void WriteServerFigures();
  void WriteCostFigures();
  double RequestCount() const;

  const Experiment& experiment_;
  const Options options_;
  const bool without_gateways_;
  boost::asio::io_context io_{1};
  RunResult result_;
  TemporaryFolder folder_;
  Addresses addresses_;
  LinkTable links_;
  RuleChecker rules_;
  Recorder recorder_;
  FirstAnswers first_answers_;
  std::unique_ptr<PeerNetwork> peers_;         // null: gateways have no peer network
  std::unique_ptr<RegistryProcess> registry_;  // null: the list service is emulated
  std::unique_ptr<ListService> list_;
  std::unique_ptr<HostEmulator> hosts_;
  std::unique_ptr<GatewayProcesses> gateways_;  // null if clients call the hosts directly
  std::unique_ptr<ClientTargets> targets_;
  std::unique_ptr<Clients> clients_;
  std::optional<FaultInjector> faults_;  // empty if clients call the hosts directly
  boost::asio::steady_timer tick_timer_;
  Millis run_started_at_ = 0;
  Millis traffic_start_ = -1;  // negative: traffic has not started
  bool gateways_started_ = false;
  Millis own_cpu_before_ = 0;
  Millis next_progress_at_ = 0;
  Millis list_lag_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EXPERIMENT_RUN_HPP_
