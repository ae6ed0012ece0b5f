#include "lab/fault_injector.hpp"

#include <cstddef>

#include "base/clock.hpp"
#include "lab/gateway_config.hpp"

namespace gateway::lab {
namespace {

void SetCut(Link& link, bool cut) {
  if (cut) {
    link.Cut(true, true);
  } else {
    link.Heal(true, true);
  }
}

// Whether the fault affects pairs of gateways and hosts. Such faults are injected at the gateway.
bool AffectsGatewayHostPairs(FaultKind kind) { return kind == FaultKind::kCut || kind == FaultKind::kReset; }

}  // namespace

void FaultInjector::Begin(const Fault& fault) {
  for (const int gateway : fault.gateways) BeginAtGateway(fault, gateway);
  if (AffectsGatewayHostPairs(fault.kind)) return;
  for (const int host : fault.hosts) BeginAtHost(fault, host);
  if (fault.kind == FaultKind::kListDown) components_.list.SetDown(true);
  if (fault.kind == FaultKind::kZoneCut) SetZoneCut(fault.zone, true);
  SetRegistryFault(fault, true);
}

void FaultInjector::End(const Fault& fault) {
  for (const int gateway : fault.gateways) EndAtGateway(fault, gateway);
  if (AffectsGatewayHostPairs(fault.kind)) return;
  for (const int host : fault.hosts) EndAtHost(fault, host);
  if (fault.kind == FaultKind::kListDown) components_.list.SetDown(false);
  if (fault.kind == FaultKind::kZoneCut) SetZoneCut(fault.zone, false);
  SetRegistryFault(fault, false);
}

void FaultInjector::BeginAtGateway(const Fault& fault, int gateway) {
  switch (fault.kind) {
    case FaultKind::kKillGateway: return components_.gateways.Kill(gateway, fault.duration);
    case FaultKind::kStopGateway: return components_.gateways.Stop(gateway);
    case FaultKind::kTerminateGateway: return components_.gateways.Terminate(gateway, fault.duration);
    case FaultKind::kReplaceGateway: return components_.gateways.Replace(gateway);
    case FaultKind::kDelay: return AddDelay(gateway, fault.magnitude, fault.jitter);
    case FaultKind::kPeerConditions: return components_.peers->SetConditions(gateway, fault.conditions);
    case FaultKind::kPeerCut: return SetPeerCut(gateway, fault.peers, true);
    case FaultKind::kCut:
      for (const int host : fault.hosts) {
        components_.links.LinkToHost(gateway, host).Cut(fault.cuts_from_gateway, fault.cuts_to_gateway);
      }
      return;
    case FaultKind::kReset:
      for (const int host : fault.hosts) components_.hosts.ResetConnections(host, gateway);
      return;
    default: return;
  }
}

void FaultInjector::EndAtGateway(const Fault& fault, int gateway) {
  switch (fault.kind) {
    case FaultKind::kStopGateway: return components_.gateways.Continue(gateway);
    case FaultKind::kDelay: return AddDelay(gateway, -fault.magnitude, -fault.jitter);
    case FaultKind::kPeerConditions: return components_.peers->SetConditions(gateway, {});
    case FaultKind::kPeerCut: return SetPeerCut(gateway, fault.peers, false);
    case FaultKind::kCut:
      for (const int host : fault.hosts) {
        components_.links.LinkToHost(gateway, host).Heal(fault.cuts_from_gateway, fault.cuts_to_gateway);
      }
      return;
    default: return;
  }
}

void FaultInjector::BeginAtHost(const Fault& fault, int host) {
  switch (fault.kind) {
    case FaultKind::kSlowHost: return components_.hosts.SetSpeed(host, fault.magnitude);
    case FaultKind::kFailingHost: return components_.hosts.SetErrorRate(host, fault.magnitude);
    case FaultKind::kMuteHost: return components_.hosts.SetMute(host, true);
    case FaultKind::kDrainHost: return components_.list.Change(host, "draining", 0);
    case FaultKind::kKillHost:
      components_.hosts.Kill(host);
      return components_.list.Change(host, "removed", 0);
    case FaultKind::kVanishHost: SetVanished(host, true); return components_.list.Change(host, "removed", 0);
    default: return;
  }
}

void FaultInjector::EndAtHost(const Fault& fault, int host) {
  switch (fault.kind) {
    case FaultKind::kSlowHost: return components_.hosts.SetSpeed(host, 1);
    case FaultKind::kFailingHost:
      return components_.hosts.SetErrorRate(host, components_.hosts.group(host).error_rate);
    case FaultKind::kMuteHost: return components_.hosts.SetMute(host, false);
    case FaultKind::kDrainHost:
      components_.hosts.SetDraining(host, true);
      return components_.list.Change(host, "removed", 0);
    case FaultKind::kKillHost: return StartHost(host);
    case FaultKind::kVanishHost:
      components_.hosts.Kill(host);  // drops the messages in transit to the host
      SetVanished(host, false);
      return StartHost(host);
    default: return;
  }
}

// Begins or ends a fault of the list service process or of its network. Ignores all other faults.
void FaultInjector::SetRegistryFault(const Fault& fault, bool on) {
  switch (fault.kind) {
    case FaultKind::kListKill:
      if (on) components_.registry->Kill(fault.duration);
      break;
    case FaultKind::kListStop: on ? components_.registry->Stop() : components_.registry->Continue(); break;
    case FaultKind::kListDiskFull: components_.registry->SetDiskFull(on); break;
    case FaultKind::kListTruncate: components_.list.SetTruncatedShare(on ? fault.magnitude : 0); break;
    case FaultKind::kListCut:
      for (const int gateway : fault.gateways) SetCut(components_.links.LinkToListService(gateway), on);
      break;
    case FaultKind::kMemberCut:  // gateways still get every change of the list
      for (const int host : fault.hosts) components_.registry->SetMemberCut(host, on);
      return;
    default: return;
  }
  active_list_faults_ += on ? 1 : -1;
  list_fault_changed_at_ = base::MonotonicNow();
}

void FaultInjector::SetVanished(int host, bool vanished) {
  for (int gateway = 0; gateway < components_.gateways.count(); ++gateway) {
    SetCut(components_.links.LinkToHost(gateway, host), vanished);
  }
}

void FaultInjector::StartHost(int host) {
  components_.hosts.Start(host);
  components_.list.Change(host, "up", base::UnixNow());
}

void FaultInjector::AddDelay(int gateway, Millis delay, Millis jitter) {
  for (int host = 0; host < components_.hosts.count(); ++host) {
    components_.links.LinkToHost(gateway, host).AddDelay(delay, jitter);
  }
  components_.links.LinkToListService(gateway).AddDelay(delay, jitter);
}

void FaultInjector::SetPeerCut(int gateway, const std::vector<int>& others, bool cut) {
  for (const int other : others) {
    if (other == gateway) continue;
    components_.peers->SetCut(gateway, other, cut);
    components_.peers->SetCut(other, gateway, cut);
  }
}

const std::string& FaultInjector::GatewayZone(int gateway) const {
  return experiment_.fleet.zones[static_cast<std::size_t>(GatewayZoneIndex(experiment_, gateway))];
}

// Cuts or heals all links between the zone and the others. The list service is in the first zone.
void FaultInjector::SetZoneCut(const std::string& zone, bool cut) {
  const bool list_inside = experiment_.fleet.zones.front() == zone;
  std::vector<int> gateways_outside;
  for (int gateway = 0; gateway < components_.gateways.count(); ++gateway) {
    if (GatewayZone(gateway) != zone) gateways_outside.push_back(gateway);
  }
  for (int gateway = 0; gateway < components_.gateways.count(); ++gateway) {
    const bool inside = GatewayZone(gateway) == zone;
    for (int host = 0; host < components_.hosts.count(); ++host) {
      const bool host_inside = components_.hosts.zone(host) == zone;
      if (inside != host_inside) SetCut(components_.links.LinkToHost(gateway, host), cut);
    }
    if (components_.peers != nullptr && inside) SetPeerCut(gateway, gateways_outside, cut);
    if (inside != list_inside) SetCut(components_.links.LinkToListService(gateway), cut);
  }
}

}  // namespace gateway::lab
