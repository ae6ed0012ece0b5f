// Selection of the source whose discovery services are watched, if the sources of the address disagree (see
// setting_sources.hpp). A state machine without I/O, clock or randomness: the caller passes the time. Not
// thread-safe.
//
// The first candidate is watched from the start and the others are probed: an old source may name an address
// that refuses connections, that does not respond, or whose list no longer changes. The selection leaves the
// current candidate for one whose probe responds if watches of the current candidate fail, or if the probe
// lists a newer revision and the watch does not receive it. Once a watch has received a change, the current
// candidate is alive: the selection is settled, and no other candidate is called until a watch fails.
#ifndef GATEWAY_PROXY_DISCOVERY_SOURCE_SELECTION_HPP_
#define GATEWAY_PROXY_DISCOVERY_SOURCE_SELECTION_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "proxy/clock.hpp"
#include "proxy/discovery/watch_position.hpp"

namespace gateway::proxy {

class SourceSelection {
 public:
  // How long the watch of the current candidate may take to receive a revision that a probe has listed.
  static constexpr Millis kCatchUpTimeoutMs = 1000;

  // `candidate_count` must be at least 1. `position` is the position of the endpoint list in force.
  SourceSelection(std::size_t candidate_count, const WatchPosition& position);

  // Index of the candidate to watch. Lower indexes take precedence.
  std::size_t current() const { return current_; }
  // Whether the other candidates need not be probed.
  bool settled() const { return candidates_.size() == 1 || settled_; }

  // Records that the watch of the current candidate accepted a list with this position.
  void RecordList(const WatchPosition& position);
  // Records that a list of the service that was watched before a move was accepted.
  void RecordFormerList(const WatchPosition& position);
  // Records that the watch of the current candidate failed.
  void RecordFailure(Millis now);
  // Records the result of a probe of a candidate: the position of its list, or nullopt if the probe failed or
  // the list can't be used.
  void RecordProbe(std::size_t candidate, const std::optional<WatchPosition>& listed, Millis now);

  // Returns the candidate to switch to, or nullopt to stay.
  std::optional<std::size_t> Target(Millis now) const;
  // Returns whether a probe has listed a newer revision than the watch has received. The target may change
  // kCatchUpTimeoutMs later.
  bool HasNewerProbe() const;
  // Makes `candidate` the current candidate.
  void SwitchTo(std::size_t candidate);

 private:
  struct Candidate {
    std::optional<WatchPosition> listed;  // of the last probe; nullopt if there is none or it failed
    std::optional<Millis> ahead_since;    // time of the first probe that listed a newer revision
    std::optional<Millis> watch_failed_at;
  };

  void UpdatePosition(const WatchPosition& position);
  bool CurrentHasFailed() const;
  bool IsAhead(const Candidate& candidate) const;
  bool MayReplaceFailed(const Candidate& candidate) const;
  bool MayReturnTo(std::size_t index, Millis now) const;

  std::vector<Candidate> candidates_;
  std::size_t current_ = 0;
  bool settled_ = false;
  WatchPosition position_;                      // of the list in force
  std::int64_t known_revision_;                 // highest revision since the selection was last settled
  std::string known_epoch_;                     // epoch of `known_revision_`
  std::optional<std::int64_t> first_revision_;  // first one that the watch of the current candidate received
  int consecutive_failures_ = 0;                // of the watch of the current candidate
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_SOURCE_SELECTION_HPP_
