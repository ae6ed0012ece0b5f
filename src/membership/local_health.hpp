// Lifeguard's local health: a member that is itself slow or badly connected takes longer to suspect others.
#ifndef GATEWAY_MEMBERSHIP_LOCAL_HEALTH_HPP_
#define GATEWAY_MEMBERSHIP_LOCAL_HEALTH_HPP_

#include <algorithm>

namespace gateway::membership {

class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}

  // 0 is healthy; higher is worse.
  int score() const { return score_; }
  // Factor of the own protocol periods and timeouts.
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
