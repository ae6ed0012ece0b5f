// What a Policy tells of itself: a line for the log, and what its replacement is handed.
#include "policy/counts.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "policy/state.hpp"

namespace gateway::policy {

std::string Summary(State& s) {
  int up = 0, suspect = 0, out = 0;
  double places = 0;
  for (const auto& [id, b] : s.servers_) {
    up += b.up;
    suspect += b.up && b.ejected;
    out += b.in_flight;
    if (b.up && !b.ejected) places += b.places;
  }
  const Counts c = std::exchange(s.counts_, {});
  char text[400];
  std::snprintf(
      text, sizeof text,
      "state: rate %.0f spent %.0f tokens %.1f failing %.2f queued %zu servers %d suspect %d out %d "
      "places %.0f latency %.1f | arrived %d direct %d released %d held %.1f full %d waited %d late %d "
      "spoiled %d | served %d slow %d error %d rejected %d timeout %d connect %d reset %d",
      s.rate_, s.spent_rate_, s.tokens_, s.failing_, s.queued_, up, suspect, out, places, s.mean_latency_,
      c.arrived, c.direct, c.released, c.held / std::max(1, c.released), c.full, c.waited, c.late, c.spoiled,
      c.outcomes[0], c.slow, c.outcomes[1], c.outcomes[2], c.outcomes[3], c.outcomes[4], c.outcomes[5]);
  return text;
}

LearnedState Remembered(const State& s, double spent) {
  LearnedState all{s.rate_, spent, s.failing_, s.mean_latency_, s.samples_, s.now_, s.set_.gateway_count,
                   {},      {},    {}};
  for (const Tier& c : s.classes_) all.classes.push_back(c);
  for (const auto& [name, k] : s.kinds_) all.machine_types.push_back({name, k.served, k.endpoint_time});
  for (const auto& [id, b] : s.servers_) {
    if (b.up) all.endpoints.push_back({b, id});
  }
  return all;
}

}  // namespace gateway::policy
