#include "lab/rule_checker.hpp"

#include <fmt/format.h>

namespace gateway::lab {
namespace {

constexpr Millis kRequestRetention = 60000;  // longer than any deadline and any time in a host's queue
constexpr Millis kSocketTolerance = 50;      // the protocol adds this tolerance to each time limit on sockets
constexpr std::size_t kMaxExamples = 10;

}  // namespace

std::map<std::string, std::uint64_t> ViolationCounts::ByName() const {
  return {{"ran_twice", ran_twice},
          {"attempts_over", attempts_over},
          {"unknown", unknown},
          {"late_sends", late_sends},
          {"cold_falls", cold_falls},
          {"forged", forged},
          {"lost", lost},
          {"crashed", crashed}};
}

void RuleChecker::AddViolation(std::uint64_t& count, const std::string& description) {
  ++count;
  if (examples_.size() < kMaxExamples) examples_.push_back(description);
}

void RuleChecker::RemoveOldRequests(Millis now) {
  while (removed_count_ < sent_.size() && sent_[removed_count_].first < now - kRequestRetention) {
    requests_.erase(sent_[removed_count_++].second);
  }
  if (removed_count_ > sent_.size() / 2) {
    sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(removed_count_));
    removed_count_ = 0;
  }
}

void RuleChecker::OnRequestSent(Millis now, const std::string& id, bool idempotent, Millis work) {
  RemoveOldRequests(now);
  requests_[id] = {idempotent, work, 0, 0};
  sent_.emplace_back(now, id);
}

std::optional<Millis> RuleChecker::FindWork(const std::string& id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? std::nullopt : std::optional(found->second.work);
}

bool RuleChecker::HasArrived(const std::string& id) const {
  const auto found = requests_.find(id);
  return found != requests_.end() && found->second.attempts > 0;
}

void RuleChecker::OnAttempt(Millis now, const std::string& id, Millis notified_at) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return AddViolation(violations_.unknown, "unknown: no client sent " + id);
  }
  RequestRecord& request = found->second;
  if (++request.attempts > max_attempts_) {
    AddViolation(violations_.attempts_over,
                 fmt::format("attempts_over: {} was attempted {} times, the limit is {}", id,
                             request.attempts, max_attempts_));
  }
  if (notified_at >= 0 && now > notified_at + drain_grace_ + kSocketTolerance) {
    AddViolation(violations_.late_sends, fmt::format("late_sends: {} reached a host {:.0f} ms after the "
                                                     "notification of its drain or removal, the limit is "
                                                     "{:g} ms",
                                                     id, now - notified_at, drain_grace_ + kSocketTolerance));
  }
}

void RuleChecker::OnExecution(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  RequestRecord& request = found->second;
  if (++request.executions > 1 && !request.idempotent) {
    AddViolation(violations_.ran_twice,
                 fmt::format("ran_twice: {} was executed {} times", id, request.executions));
  }
}

// The mark is the id followed by an FNV-1a hash of the id. The seed is XORed into the offset basis of the
// hash.
std::string RuleChecker::ResponseMark(const std::string& id, std::uint64_t seed) {
  constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
  std::uint64_t hash = seed ^ kFnvOffsetBasis;
  for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return fmt::format("{} {:016x}", id, hash);
}

void RuleChecker::OnResponse(const std::string& id, const std::string& body) {
  if (!body.starts_with(ResponseMark(id, seed_))) {
    AddViolation(violations_.forged, "forged: the response to " + id + " was not produced by a host");
  }
}

void RuleChecker::OnRequestLost(const std::string& id, const std::string& description) {
  AddViolation(violations_.lost, "lost: " + id + " " + description);
}

void RuleChecker::OnHostOverloaded(const std::string& host) {
  AddViolation(violations_.cold_falls, "cold_falls: " + host + " was overloaded during its warm-up");
}

void RuleChecker::OnGatewayCrashed(const std::string& description) {
  AddViolation(violations_.crashed, "crashed: " + description);
}

}  // namespace gateway::lab
