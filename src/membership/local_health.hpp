// Lifeguard's local health: if a member itself is slow or poorly connected, it waits longer before it
// suspects other members.
#ifndef GATEWAY_MEMBERSHIP_LOCAL_HEALTH_HPP_
#define GATEWAY_MEMBERSHIP_LOCAL_HEALTH_HPP_

#include <algorithm>

namespace gateway::membership {

class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}

  // Returns the score of the local member: 0 if the member is healthy, more if its health is worse.
  int score() const { return score_; }
  // Returns the factor by which this member's protocol periods and timeouts are extended.
  int multiplier() const { return score_ + 1; }

  void Improve() { Add(-1); }
  void Worsen(int change) { Add(change); }
  void SetWorst() { score_ = max_score_; }

 private:
  void Add(int change) { score_ = std::clamp(score_ + change, 0, max_score_); }

  const int max_score_;
  int score_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_LOCAL_HEALTH_HPP_
