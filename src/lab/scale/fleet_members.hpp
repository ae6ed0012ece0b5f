// Emulates the hosts of a fleet as clients of the list service: they register and renew their leases. Also
// emulates operators, who change the size of hosts. Many hosts share one connection. Single-threaded.
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
  Millis sent_at = 0;  // when the operator's request was sent; base::MonotonicNow
};

class FleetMembers {
 public:
  // Host i is registered at HostAddress(i) and `host_port`.
  FleetMembers(EventLoop& loop, tcp::endpoint list_service, const FleetSize& size, std::uint16_t host_port,
               std::uint64_t seed);

  // Registers all hosts concurrently and returns when all are registered. Throws ScaleTimeout. Throws
  // std::runtime_error if a registration fails.
  void RegisterAll();
  // Renews each host's lease three times per lease term. Renewals are spread evenly over time.
  void StartRenewing();
  // Starts to send changes at this rate, spread evenly over time. Each change sets the size (the relative
  // capacity) of a randomly drawn host.
  void StartChanging(double per_second);
  void StopChanging();
  // Sends one change immediately.
  void SendChange();

  // Returns the changes that were committed since the previous call.
  std::vector<CommittedChange> TakeCommittedChanges();
  bool all_changes_answered() const { return changes_pending_ == 0; }
  int changes_failed() const { return changes_failed_; }
  int changes_committed() const { return changes_committed_; }
  int renewals_failed() const { return renewals_failed_; }
  // The number of renewals not sent, because an earlier renewal on the same connection was still pending.
  int renewals_skipped() const { return renewals_skipped_; }

 private:
  // Sends requests at a fixed interval. If the event loop is late, sends all requests that are due, so that
  // the mean rate stays the same.
  struct RequestSchedule {
    explicit RequestSchedule(EventLoop& loop) : timer(loop.io()) {}
    boost::asio::steady_timer timer;
    Millis interval = 0;
    Millis next_at = 0;  // base::MonotonicNow
    bool active = false;
  };
  struct RenewalConnection {
    std::shared_ptr<base::ClientConnection> connection;
    bool busy = false;
  };
  registry::Command RegistrationOf(int host) const;
  void StartSchedule(RequestSchedule& schedule, double per_second, std::function<void()> send);
  void SendDueRequests(RequestSchedule& schedule, std::function<void()> send);
  void SendNextRenewal();

  EventLoop& loop_;
  const tcp::endpoint list_service_;
  const FleetSize size_;
  const std::uint16_t host_port_;
  std::minstd_rand random_;
  RequestSchedule renewal_schedule_, change_schedule_;
  std::vector<RenewalConnection> renewal_connections_;
  std::shared_ptr<base::ClientConnection> operator_connection_;
  std::vector<CommittedChange> committed_;
  int next_renewal_host_ = 0, renewals_failed_ = 0, renewals_skipped_ = 0;
  int changes_pending_ = 0, changes_failed_ = 0, changes_committed_ = 0, changes_sent_ = 0;
};

// The loopback address of a host. Each host has its own address.
std::string HostAddress(int host);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_FLEET_MEMBERS_HPP_
