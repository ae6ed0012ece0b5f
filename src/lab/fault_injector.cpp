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

// Faults of pairs of gateways and hosts are carried out at the gateway.
bool IsOfPairs(FaultKind kind) { return kind == FaultKind::kCut || kind == FaultKind::kReset; }

}  // namespace

void FaultInjector::Begin(const Fault& fault) {
  for (const int gateway : fault.gateways) BeginAtGateway(fault, gateway);
  if (IsOfPairs(fault.kind)) return;
  for (const int host : fault.hosts) BeginAtHost(fault, host);
  if (fault.kind == FaultKind::kListDown) parties_.list.SetDown(true);
  if (fault.kind == FaultKind::kZoneCut) SetZoneCut(fault.zone, true);
  SetRegistryFault(fault, true);
}

void FaultInjector::End(const Fault& fault) {
  for (const int gateway : fault.gateways) EndAtGateway(fault, gateway);
  if (IsOfPairs(fault.kind)) return;
  for (const int host : fault.hosts) EndAtHost(fault, host);
  if (fault.kind == FaultKind::kListDown) parties_.list.SetDown(false);
  if (fault.kind == FaultKind::kZoneCut) SetZoneCut(fault.zone, false);
  SetRegistryFault(fault, false);
}

void FaultInjector::BeginAtGateway(const Fault& fault, int gateway) {
  switch (fault.kind) {
    case FaultKind::kKillGateway: return parties_.gateways.Kill(gateway, fault.duration);
    case FaultKind::kStopGateway: return parties_.gateways.Stop(gateway);
    case FaultKind::kTerminateGateway: return parties_.gateways.Terminate(gateway, fault.duration);
    case FaultKind::kReplaceGateway: return parties_.gateways.Replace(gateway);
    case FaultKind::kDelay: return AddDelay(gateway, fault.magnitude, fault.jitter);
    case FaultKind::kPeerConditions: return parties_.peers->SetConditions(gateway, fault.conditions);
    case FaultKind::kPeerCut: return SetPeerCut(gateway, fault.peers, true);
    case FaultKind::kCut:
      for (const int host : fault.hosts) {
        parties_.links.ToHost(gateway, host).Cut(fault.cuts_from_gateway, fault.cuts_to_gateway);
      }
      return;
    case FaultKind::kReset:
      for (const int host : fault.hosts) parties_.hosts.ResetConnections(host, gateway);
      return;
    default: return;
  }
}

void FaultInjector::EndAtGateway(const Fault& fault, int gateway) {
  switch (fault.kind) {
    case FaultKind::kStopGateway: return parties_.gateways.Continue(gateway);
    case FaultKind::kDelay: return AddDelay(gateway, -fault.magnitude, -fault.jitter);
    case FaultKind::kPeerConditions: return parties_.peers->SetConditions(gateway, {});
    case FaultKind::kPeerCut: return SetPeerCut(gateway, fault.peers, false);
    case FaultKind::kCut:
      for (const int host : fault.hosts) {
        parties_.links.ToHost(gateway, host).Heal(fault.cuts_from_gateway, fault.cuts_to_gateway);
      }
      return;
    default: return;
  }
}

void FaultInjector::BeginAtHost(const Fault& fault, int host) {
  switch (fault.kind) {
    case FaultKind::kSlowHost: return parties_.hosts.SetSpeed(host, fault.magnitude);
    case FaultKind::kFailingHost: return parties_.hosts.SetErrorRate(host, fault.magnitude);
    case FaultKind::kMuteHost: return parties_.hosts.SetMute(host, true);
    case FaultKind::kDrainHost: return parties_.list.Change(host, "draining", 0);
    case FaultKind::kKillHost: parties_.hosts.Kill(host); return parties_.list.Change(host, "removed", 0);
    case FaultKind::kVanishHost: SetVanished(host, true); return parties_.list.Change(host, "removed", 0);
    default: return;
  }
}

void FaultInjector::EndAtHost(const Fault& fault, int host) {
  switch (fault.kind) {
    case FaultKind::kSlowHost: return parties_.hosts.SetSpeed(host, 1);
    case FaultKind::kFailingHost:
      return parties_.hosts.SetErrorRate(host, parties_.hosts.group(host).error_rate);
    case FaultKind::kMuteHost: return parties_.hosts.SetMute(host, false);
    case FaultKind::kDrainHost:
      parties_.hosts.SetDraining(host, true);
      return parties_.list.Change(host, "removed", 0);
    case FaultKind::kKillHost: return StartHost(host);
    case FaultKind::kVanishHost:
      parties_.hosts.Kill(host);  // messages on their way to it are lost
      SetVanished(host, false);
      return StartHost(host);
    default: return;
  }
}

// Faults of the list service as a process, and of the ways to it.
void FaultInjector::SetRegistryFault(const Fault& fault, bool on) {
  switch (fault.kind) {
    case FaultKind::kListKill:
      if (on) parties_.registry->Kill(fault.duration);
      break;
    case FaultKind::kListStop: on ? parties_.registry->Stop() : parties_.registry->Continue(); break;
    case FaultKind::kListDiskFull: parties_.registry->SetDiskFull(on); break;
    case FaultKind::kListTruncate: parties_.list.SetTruncatedShare(on ? fault.magnitude : 0); break;
    case FaultKind::kListCut:
      for (const int gateway : fault.gateways) SetCut(parties_.links.ToList(gateway), on);
      break;
    case FaultKind::kMemberCut:  // gateways still get every change of the list
      for (const int host : fault.hosts) parties_.registry->SetMemberCut(host, on);
      return;
    default: return;
  }
  list_faults_ += on ? 1 : -1;
  list_disturbed_at_ = base::MonotonicNow();
}

void FaultInjector::SetVanished(int host, bool vanished) {
  for (int gateway = 0; gateway < parties_.gateways.count(); ++gateway) {
    SetCut(parties_.links.ToHost(gateway, host), vanished);
  }
}

void FaultInjector::StartHost(int host) {
  parties_.hosts.Start(host);
  parties_.list.Change(host, "up", base::UnixNow());
}

void FaultInjector::AddDelay(int gateway, Millis delay, Millis jitter) {
  for (int host = 0; host < parties_.hosts.count(); ++host) {
    parties_.links.ToHost(gateway, host).AddDelay(delay, jitter);
  }
  parties_.links.ToList(gateway).AddDelay(delay, jitter);
}

void FaultInjector::SetPeerCut(int gateway, const std::vector<int>& others, bool cut) {
  for (const int other : others) {
    if (other == gateway) continue;
    parties_.peers->SetCut(gateway, other, cut);
    parties_.peers->SetCut(other, gateway, cut);
  }
}

const std::string& FaultInjector::ZoneOf(int gateway) const {
  return experiment_.fleet.zones[static_cast<std::size_t>(ZoneOfGateway(experiment_, gateway))];
}

// The list service is in the first zone.
void FaultInjector::SetZoneCut(const std::string& zone, bool cut) {
  const bool list_inside = experiment_.fleet.zones.front() == zone;
  std::vector<int> gateways_outside;
  for (int gateway = 0; gateway < parties_.gateways.count(); ++gateway) {
    if (ZoneOf(gateway) != zone) gateways_outside.push_back(gateway);
  }
  for (int gateway = 0; gateway < parties_.gateways.count(); ++gateway) {
    const bool inside = ZoneOf(gateway) == zone;
    for (int host = 0; host < parties_.hosts.count(); ++host) {
      const bool host_inside = parties_.hosts.zone(host) == zone;
      if (inside != host_inside) SetCut(parties_.links.ToHost(gateway, host), cut);
    }
    if (parties_.peers != nullptr && inside) SetPeerCut(gateway, gateways_outside, cut);
    if (inside != list_inside) SetCut(parties_.links.ToList(gateway), cut);
  }
}

}  // namespace gateway::lab
