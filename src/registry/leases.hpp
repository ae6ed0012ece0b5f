// Who of the members has stopped renewing, and when that is believed. Held by the instance that serves, in
// memory: a restart grants a full term. No I/O, no clock: times are of the caller's monotonic clock, in ms.
//
// Self-preservation, as Netflix's Eureka has it: where many lapse together the cause is between them and this
// service, or is this service, and nobody is removed for it.
#ifndef GATEWAY_REGISTRY_LEASES_HPP_
#define GATEWAY_REGISTRY_LEASES_HPP_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "registry/catalog.hpp"

namespace gateway::registry {

using base::Millis;

struct LeaseOptions {
  Millis term = 10000;        // where a member names none
  Millis grace = 5000;        // from suspect to removed
  double most_lapsed = 0.25;  // share of a zone, or of all, that may lapse within the window and be removed
  int least_lapsed = 3;       // so many may in any case
  Millis window = 60000;
  Millis longest_hold = 3600000;  // then what has lapsed is removed after all
  Millis starved = 1000;  // a tick that comes later than that after the last: this service was not there
};

class Leases {
 public:
  explicit Leases(LeaseOptions options) : options_(options) {}

  // What the catalog has applied; `member.removed` ends the lease.
  void Changed(const Member& member, Millis now);

  enum class Renewal {
    kGood,
    kLifted,  // it was suspect: propose kTrust
    kUnknown,
    kStale,   // the lease is of another process
    kLeaving  // its removal is under way: it has to register again
  };
  Renewal Renew(const std::string& id, Incarnation incarnation, Millis now);

  // Commands to be proposed now: kSuspect and kExpire. To be called every few hundred ms.
  std::vector<Command> Tick(Millis now);
  // A proposal that was not kept: it is made again.
  void Failed(const Command& command);

  struct Hold {
    std::string zone;  // empty: all zones
    int lapsed = 0, of = 0;
    Millis since = 0;
  };
  std::vector<Hold> holds() const;
  std::size_t count() const { return leases_.size(); }
  std::size_t overdue(Millis now) const;
  // Times that this service was found to have been away.
  int absences() const { return absences_; }

 private:
  struct Lease {
    std::string zone;
    Incarnation incarnation = 0;
    Millis term = 0, until = 0;
    bool suspect = false, suspected = false, expiring = false;  // the last two: proposed
  };
  struct Part {
    int lapsed = 0, all = 0;
  };
  void GrantAnew(Millis now);
  bool UpdateHold(const std::string& zone, const Part& part, Millis now);

  const LeaseOptions options_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, Hold> holds_;
  std::map<std::string, Millis> given_up_;              // zones whose hold has lasted its longest
  std::deque<std::pair<Millis, std::string>> expired_;  // when, and of which zone
  Millis last_tick_ = -1;
  int absences_ = 0;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_LEASES_HPP_
