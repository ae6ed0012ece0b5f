#include "lab/rules.hpp"

#include <fmt/format.h>

namespace gateway::lab {
namespace {

constexpr Millis kRemembered = 60000;  // after a request was asked: longer than any deadline and host's queue
constexpr Millis kSocketSlack = 50;    // PROTOCOL: each time limit is so much longer on sockets
constexpr Millis kStopsDealing = 200;  // DAYS: after a no
constexpr std::size_t kMostExamples = 10;

}  // namespace

std::map<std::string, std::uint64_t> Rules::Broken::Named() const {
  return {{"ran_twice", ran_twice},
          {"attempts_over", attempts_over},
          {"unknown", unknown},
          {"late_sends", late_sends},
          {"cold_falls", cold_falls},
          {"forged", forged},
          {"lost", lost},
          {"crashed", crashed}};
}

void Rules::Note(std::uint64_t& count, const std::string& what) {
  ++count;
  if (examples_.size() < kMostExamples) examples_.push_back(what);
}

void Rules::Forget(Millis now) {
  while (forgotten_ < order_.size() && order_[forgotten_].first < now - kRemembered) {
    entries_.erase(order_[forgotten_++].second);
  }
  if (forgotten_ > order_.size() / 2) {
    order_.erase(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(forgotten_));
    forgotten_ = 0;
  }
}

void Rules::Asked(Millis now, const std::string& id, bool repeatable, Millis work) {
  Forget(now);
  entries_[id] = {now, repeatable, work, 0, 0};
  order_.emplace_back(now, id);
}

std::optional<Millis> Rules::WorkOf(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt : std::optional(found->second.work);
}

bool Rules::HasReached(const std::string& id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.reached > 0;
}

void Rules::Reached(Millis now, const std::string& id, Millis told) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return Note(broken_.unknown, "unknown: " + id + " was sent by no client");
  Entry& entry = found->second;
  if (++entry.reached > max_attempts_) {
    Note(broken_.attempts_over, fmt::format("attempts_over: {} was tried {} times", id, entry.reached));
  }
  if (told >= 0 && now > told + grace_ + kSocketSlack) {
    Note(broken_.late_sends,
         fmt::format("late_sends: {} reached a host {:.0f} ms after the news", id, now - told));
  }
}

void Rules::Began(Millis, const std::string& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (++found->second.began > 1 && !found->second.repeatable) {
    Note(broken_.ran_twice, fmt::format("ran_twice: {} began {} times", id, found->second.began));
  }
}

std::string Rules::Mark(const std::string& id, std::uint64_t seed) {
  std::uint64_t mixed = seed ^ 0xcbf29ce484222325ULL;
  for (const char c : id) mixed = (mixed ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return fmt::format("{} {:016x}", id, mixed);
}

void Rules::Served(const std::string& id, const std::string& body) {
  if (body.rfind(Mark(id, seed_), 0) != 0)
    Note(broken_.forged, "forged: " + id + " got what no host made for it");
}

void Rules::Lost(const std::string& id, const std::string& how) {
  Note(broken_.lost, "lost: " + id + " " + how);
}

void Rules::Fell(const std::string& host) {
  Note(broken_.cold_falls, "cold_falls: " + host + " was pushed over");
}

void Rules::Crashed(const std::string& how) { Note(broken_.crashed, "crashed: " + how); }

void FrontView::Tell(Millis now, Heard heard) {
  if (heard == Heard::kYes) {
    in_ = true;
    no_since_ = silent_since_ = -1;
  } else if (heard == Heard::kNo) {
    silent_since_ = -1;
    if (no_since_ < 0) no_since_ = now;
  } else if (silent_since_ < 0) {
    silent_since_ = now;
  }
}

bool FrontView::Deals(Millis now) const {
  if (!in_) return false;
  if (no_since_ >= 0 && now >= no_since_ + kStopsDealing) return false;
  return silent_since_ < 0 || now < silent_since_ + notices_;
}

}  // namespace gateway::lab
