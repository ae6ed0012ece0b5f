// Carries out the faults of an experiment on the parties of one run.
#ifndef GATEWAY_LAB_FAULT_INJECTOR_HPP_
#define GATEWAY_LAB_FAULT_INJECTOR_HPP_

#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/gateway_processes.hpp"
#include "lab/host_emulator.hpp"
#include "lab/link_table.hpp"
#include "lab/list_service.hpp"
#include "lab/peer_network.hpp"
#include "lab/registry_process.hpp"

namespace gateway::lab {

// Begin and End are called at the times of the fault, in the thread of the io_context.
class FaultInjector {
 public:
  // All parties outlive the injector. The pointers may be null where the experiment does without.
  struct Parties {
    GatewayProcesses& gateways;
    HostEmulator& hosts;
    ListService& list;
    LinkTable& links;
    PeerNetwork* peers;
    RegistryProcess* registry;
  };
  FaultInjector(const Experiment& experiment, Parties parties) : experiment_(experiment), parties_(parties) {}

  void Begin(const Fault& fault);

  // Only for faults with a duration.
  void End(const Fault& fault);

  // Whether any fault is on that keeps list changes from the gateways.
  bool list_disturbed() const { return list_faults_ > 0; }

  // When the last of these faults began or ended; 0 where there was none.
  Millis list_disturbed_at() const { return list_disturbed_at_; }

 private:
  void BeginAtGateway(const Fault& fault, int gateway);
  void EndAtGateway(const Fault& fault, int gateway);
  void BeginAtHost(const Fault& fault, int host);
  void EndAtHost(const Fault& fault, int host);
  void SetRegistryFault(const Fault& fault, bool on);
  void SetVanished(int host, bool vanished);
  void StartHost(int host);
  void AddDelay(int gateway, Millis delay, Millis jitter);
  void SetPeerCut(int gateway, const std::vector<int>& others, bool cut);
  void SetZoneCut(const std::string& zone, bool cut);
  const std::string& ZoneOf(int gateway) const;

  const Experiment& experiment_;
  const Parties parties_;
  int list_faults_ = 0;
  Millis list_disturbed_at_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FAULT_INJECTOR_HPP_
