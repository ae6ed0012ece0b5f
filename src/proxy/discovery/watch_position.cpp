#include "proxy/discovery/watch_position.hpp"

namespace gateway::proxy {

std::string FormatListTarget(const WatchPosition& position, Millis max_wait) {
  std::string target = "/discovery/hosts?after=" + std::to_string(position.revision) +
                       "&wait_ms=" + std::to_string(static_cast<int>(max_wait));
  if (!position.epoch.empty()) target += "&epoch=" + position.epoch;
  return target;
}

std::optional<ListError> CheckListFollows(const EndpointList& list, const WatchPosition& position,
                                          bool same_service) {
  const bool same_epoch = list.epoch == position.epoch;
  if (same_service && same_epoch && list.revision < position.revision) {
    return ListError{ListError::Kind::kOlderRevision, "revision " + std::to_string(list.revision) +
                                                          " is older than revision " +
                                                          std::to_string(position.revision)};
  }
  if (!list.complete && !position.epoch.empty() && !same_epoch) {
    return ListError{ListError::Kind::kOtherEpoch, "the delta belongs to epoch '" + list.epoch +
                                                       "', expected epoch '" + position.epoch + "'"};
  }
  return std::nullopt;
}

}  // namespace gateway::proxy
