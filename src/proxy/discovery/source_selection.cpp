#include "proxy/discovery/source_selection.hpp"

#include <algorithm>

namespace gateway::proxy {
namespace {

// A candidate that has responded before may fail once, for example because discovery restarts.
constexpr int kFailuresAfterResponse = 2;
constexpr Millis kReturnDelayMs = 30000;

}  // namespace

SourceSelection::SourceSelection(std::size_t candidate_count, const WatchPosition& position)
    : candidates_(candidate_count),
      position_(position),
      known_revision_(position.revision),
      known_epoch_(position.epoch) {}

void SourceSelection::RecordList(const WatchPosition& position) {
  consecutive_failures_ = 0;
  const bool is_change = first_revision_ && position.revision > *first_revision_;
  if (!first_revision_ || position.epoch != position_.epoch) first_revision_ = position.revision;
  UpdatePosition(position);
  // A candidate of another epoch never settles the selection, so that a candidate that takes precedence is
  // probed and can replace it.
  const bool takes_precedence = current_ == 0 || position.epoch == known_epoch_;
  if (!is_change || !takes_precedence) return;
  settled_ = true;
  known_revision_ = position.revision;
  known_epoch_ = position.epoch;
  candidates_.assign(candidates_.size(), {});
}

void SourceSelection::RecordFormerList(const WatchPosition& position) { UpdatePosition(position); }

void SourceSelection::UpdatePosition(const WatchPosition& position) {
  position_ = position;
  if (position.epoch == known_epoch_) known_revision_ = std::max(known_revision_, position.revision);
}

void SourceSelection::RecordFailure(Millis now) {
  ++consecutive_failures_;
  candidates_[current_].watch_failed_at = now;
  if (settled_) first_revision_ = position_.revision;
  settled_ = false;
}

void SourceSelection::RecordProbe(std::size_t candidate, const std::optional<WatchPosition>& listed,
                                  Millis now) {
  if (candidate == current_ || settled()) return;
  Candidate& probed = candidates_[candidate];
  probed.listed = listed;
  if (!IsAhead(probed)) {
    probed.ahead_since.reset();
  } else if (!probed.ahead_since) {
    probed.ahead_since = now;
  }
}

std::optional<std::size_t> SourceSelection::Target(Millis now) const {
  if (settled()) return std::nullopt;
  for (std::size_t index = 0; index < candidates_.size(); ++index) {
    const Candidate& candidate = candidates_[index];
    if (index == current_ || !candidate.listed) continue;
    const bool was_not_caught_up =
        candidate.ahead_since && IsAhead(candidate) && now - *candidate.ahead_since >= kCatchUpTimeoutMs;
    if (was_not_caught_up || MayReplaceFailed(candidate) || MayReturnTo(index, now)) return index;
  }
  return std::nullopt;
}

bool SourceSelection::HasNewerProbe() const {
  return !settled() && std::ranges::any_of(candidates_, [this](const Candidate& candidate) {
    return candidate.ahead_since && IsAhead(candidate);
  });
}

void SourceSelection::SwitchTo(std::size_t candidate) {
  current_ = candidate;
  settled_ = false;
  first_revision_.reset();
  consecutive_failures_ = 0;
  for (Candidate& other : candidates_) {
    other.listed.reset();
    other.ahead_since.reset();
  }
}

bool SourceSelection::CurrentHasFailed() const {
  return consecutive_failures_ >= (first_revision_ ? kFailuresAfterResponse : 1);
}

bool SourceSelection::IsAhead(const Candidate& candidate) const {
  return candidate.listed && candidate.listed->epoch == position_.epoch &&
         candidate.listed->revision > position_.revision && candidate.listed->revision >= known_revision_;
}

// Lists of different epochs can't be compared.
bool SourceSelection::MayReplaceFailed(const Candidate& candidate) const {
  const bool is_older =
      candidate.listed->epoch == position_.epoch && candidate.listed->revision < position_.revision;
  return CurrentHasFailed() && !is_older;
}

// The order of the sources decides between lists that can't be compared.
bool SourceSelection::MayReturnTo(std::size_t index, Millis now) const {
  const Candidate& candidate = candidates_[index];
  const bool failed_recently = candidate.watch_failed_at && now - *candidate.watch_failed_at < kReturnDelayMs;
  return index < current_ && candidate.listed->epoch != position_.epoch && !failed_recently;
}

}  // namespace gateway::proxy
