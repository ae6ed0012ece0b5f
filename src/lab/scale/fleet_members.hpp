// The hosts of a fleet as the list service meets them: they register, hold leases and renew them, and are
// changed by operators. Over connections that many of them share. One thread.
#ifndef GATEWAY_LAB_SCALE_FLEET_MEMBERS_HPP_
#define GATEWAY_LAB_SCALE_FLEET_MEMBERS_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/http_client.hpp"
#include "lab/scale/event_loop.hpp"
#include "lab/scale/scale_experiment.hpp"
#include "registry/catalog.hpp"

namespace gateway::lab {

using boost::asio::ip::tcp;

// A change that the list service has committed.
struct CommittedChange {
  std::int64_t revision = 0;
  Millis sent_at = 0;  // when the operator's call left; base::MonotonicNow
};

class FleetMembers {
 public:
  // Host i is listed at the i-th loopback address of hosts, at `host_port`.
  FleetMembers(EventLoop& loop, tcp::endpoint list_service, const FleetSize& size, std::uint16_t host_port,
               std::uint64_t seed);

  // All at once; returns when all are listed. Throws ScaleTimeout, or std::runtime_error if one is refused.
  void RegisterAll();
  // Each three times a term, spread evenly.
  void StartRenewing();
  // Changes of size, spread evenly, each of a host drawn anew.
  void StartChanging(double per_second);
  void StopChanging();
  // One more, at once.
  void MakeChange();

  // The changes that were committed since the last call.
  std::vector<CommittedChange> TakeCommitted();
  bool all_changes_answered() const { return changes_out_ == 0; }
  int changes_failed() const { return changes_failed_; }
  int changes_committed() const { return changes_committed_; }
  int renewals_failed() const { return renewals_failed_; }
  // Left out, since an earlier one on the same connection was not answered yet.
  int renewals_late() const { return renewals_late_; }

 private:
  // A call each so many ms, sent when it is due however late the loop is.
  struct Pace {
    explicit Pace(EventLoop& loop) : timer(loop.io()) {}
    boost::asio::steady_timer timer;
    Millis gap = 0, next = 0;
    bool on = false;
  };
  struct Line {
    std::shared_ptr<base::ClientConnection> connection;
    bool busy = false;
  };
  registry::Command RegistrationOf(int host) const;
  void Begin(Pace& pace, double per_second, std::function<void()> send);
  void Keep(Pace& pace, std::function<void()> send);
  void Renew();

  EventLoop& loop_;
  const tcp::endpoint list_service_;
  const FleetSize size_;
  const std::uint16_t host_port_;
  std::minstd_rand random_;
  Pace renewing_, changing_;
  std::vector<Line> lines_;
  std::shared_ptr<base::ClientConnection> operators_;
  std::vector<CommittedChange> committed_;
  int next_renewal_ = 0, renewals_failed_ = 0, renewals_late_ = 0;
  int changes_out_ = 0, changes_failed_ = 0, changes_committed_ = 0, changes_made_ = 0;
};

// The address of host i, on the loopback: hosts have addresses of their own.
std::string HostAddress(int host);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_FLEET_MEMBERS_HPP_
