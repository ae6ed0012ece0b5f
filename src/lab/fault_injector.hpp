// Injects the faults of an experiment into the components of one run.
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

// The caller must call Begin and End at the start and the end of each fault, in the thread of the io_context.
class FaultInjector {
 public:
  // All components must outlive the injector. A pointer is null if the experiment doesn't use the component.
  struct Components {
    GatewayProcesses& gateways;
    HostEmulator& hosts;
    ListService& list;
    LinkTable& links;
    PeerNetwork* peers;
    RegistryProcess* registry;
  };
  FaultInjector(const Experiment& experiment, Components components)
      : experiment_(experiment), components_(components) {}

  void Begin(const Fault& fault);

  // Only for faults with a duration.
  void End(const Fault& fault);

  // Whether a fault that can keep list changes from the gateways is active.
  bool list_fault_active() const { return active_list_faults_ > 0; }

  // When a fault that can keep list changes from the gateways last began or ended; 0 if there was none.
  Millis list_fault_changed_at() const { return list_fault_changed_at_; }

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
  const std::string& GatewayZone(int gateway) const;

  const Experiment& experiment_;
  const Components components_;
  int active_list_faults_ = 0;
  Millis list_fault_changed_at_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FAULT_INJECTOR_HPP_
