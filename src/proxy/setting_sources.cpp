#include "proxy/setting_sources.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "base/socket_address.hpp"
#include "proxy/restart/saved_state.hpp"
#include "proxy/restart/transferred_state.hpp"

namespace gateway::proxy {
namespace {

using boost::asio::ip::tcp;

std::string ServicesToText(const std::vector<tcp::endpoint>& services) {
  std::string text;
  for (const tcp::endpoint& service : services) {
    text += (text.empty() ? "" : ",") + base::FormatSocketAddress(service);
  }
  return text;
}

std::string RevisionToText(const EndpointList& list) { return "revision " + std::to_string(list.revision); }

std::string DrainToText(bool draining) { return draining ? "draining" : "not draining"; }

bool IsListed(const std::vector<DiscoveryCandidate>& candidates, const tcp::endpoint& service) {
  return std::ranges::any_of(candidates, [&](const DiscoveryCandidate& candidate) {
    return std::ranges::find(candidate.services, service) != candidate.services.end();
  });
}

void AddCandidate(std::vector<DiscoveryCandidate>& candidates, SettingSource source,
                  const std::optional<tcp::endpoint>& service) {
  if (service && !IsListed(candidates, *service)) candidates.push_back({source, {*service}});
}

}  // namespace

const char* ToText(SettingSource source) {
  switch (source) {
    case SettingSource::kFile: return "file";
    case SettingSource::kRunningProcess: return "running process";
    case SettingSource::kSavedState: return "saved state";
    case SettingSource::kEnvironment: return "environment";
  }
  return "unknown source";
}

void LogSourceConflict(const SourceConflict& conflict) {
  if (conflict.others.empty()) return;
  std::string others;
  for (const SourcedText& other : conflict.others) {
    others += (others.empty() ? "" : ", ") + other.value + " (" + ToText(other.source) + ")";
  }
  base::Log(base::Level::kInfo, "config", "sources_disagree",
            "sources of " + conflict.setting + " disagree: in force is " + conflict.in_force.value + " (" +
                ToText(conflict.in_force.source) + "), not " + others,
            {{"setting", conflict.setting},
             {"in_force", conflict.in_force.value},
             {"source", ToText(conflict.in_force.source)},
             {"others", others}});
}

SourceConflict FindConflict(const std::string& setting, const std::vector<SourcedText>& values) {
  if (values.empty()) return {setting, {}, {}};
  SourceConflict conflict{setting, values.front(), {}};
  for (const SourcedText& value : values) {
    if (value.value != conflict.in_force.value) conflict.others.push_back(value);
  }
  return conflict;
}

std::vector<SourcedText> OrderProcessSetting(const std::optional<std::string>& environment,
                                             const std::optional<std::string>& file) {
  std::vector<SourcedText> values;
  if (environment) values.push_back({SettingSource::kEnvironment, *environment});
  if (file) values.push_back({SettingSource::kFile, *file});
  return values;
}

std::vector<DiscoveryCandidate> OrderDiscoverySources(const DiscoverySources& sources) {
  std::vector<DiscoveryCandidate> candidates;
  if (!sources.file_services.empty()) candidates.push_back({SettingSource::kFile, sources.file_services});
  AddCandidate(candidates, SettingSource::kFile, sources.file);
  AddCandidate(candidates, SettingSource::kRunningProcess, sources.running_process);
  AddCandidate(candidates, SettingSource::kEnvironment, sources.environment);
  return candidates;
}

SourceConflict FindConflict(const std::vector<DiscoveryCandidate>& candidates) {
  std::vector<SourcedText> values;
  values.reserve(candidates.size());
  for (const DiscoveryCandidate& candidate : candidates) {
    values.push_back({candidate.source, ServicesToText(candidate.services)});
  }
  return FindConflict("discovery", values);
}

InitialList ChooseInitialList(const EndpointList& file, const std::optional<TransferredState>& transferred,
                              const std::optional<SavedState>& saved) {
  if (transferred) return {SettingSource::kRunningProcess, transferred->list, true};
  if (saved && saved->list.revision > file.revision) return {SettingSource::kSavedState, saved->list, false};
  InitialList initial{SettingSource::kFile, file, true};
  if (saved && file.epoch.empty()) initial.list.epoch = saved->list.epoch;
  return initial;
}

SourceConflict FindConflict(const InitialList& chosen, const EndpointList& file,
                            const std::optional<TransferredState>& transferred,
                            const std::optional<SavedState>& saved) {
  std::vector<SourcedText> values = {{chosen.source, RevisionToText(chosen.list)}};
  if (transferred) values.push_back({SettingSource::kRunningProcess, RevisionToText(transferred->list)});
  if (saved) values.push_back({SettingSource::kSavedState, RevisionToText(saved->list)});
  if (!file.endpoints.empty()) values.push_back({SettingSource::kFile, RevisionToText(file)});
  return FindConflict("the endpoint list", values);
}

bool ChooseInitialDrain(const std::optional<TransferredState>& transferred,
                        const std::optional<SavedState>& saved) {
  return !transferred && saved && saved->draining;
}

SourceConflict FindDrainConflict(const std::optional<TransferredState>& transferred,
                                 const std::optional<SavedState>& saved) {
  std::vector<SourcedText> values;
  if (transferred) values.push_back({SettingSource::kRunningProcess, DrainToText(false)});
  if (saved) values.push_back({SettingSource::kSavedState, DrainToText(saved->draining)});
  return FindConflict("the drain", values);
}

const policy::LearnedState* ChooseLearnedState(const std::optional<TransferredState>& transferred,
                                               const std::optional<SavedState>& saved) {
  if (transferred) return &transferred->learned;
  return saved && saved->learned ? &*saved->learned : nullptr;
}

}  // namespace gateway::proxy
