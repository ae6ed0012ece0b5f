// The emulated clients: an open-loop load generator. It sends requests at the times of the schedule, whether
// or not earlier requests have been answered, and checks the responses.
#ifndef GATEWAY_LAB_CLIENTS_HPP_
#define GATEWAY_LAB_CLIENTS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/client_targets.hpp"
#include "lab/http_server.hpp"
#include "lab/recorder.hpp"
#include "lab/rule_checker.hpp"
#include "lab/schedule.hpp"

namespace gateway::lab {

// Must be used in the thread of the io_context.
class Clients {
 public:
  // The referenced objects must outlive the clients.
  struct Environment {
    boost::asio::io_context& io;
    const Experiment& experiment;
    ClientTargets& targets;
    RuleChecker& rules;
    Recorder& recorder;
    std::uint64_t seed;
  };
  explicit Clients(Environment environment);

  // Starts the schedule, whose time 0 is `start` on the clock of base::MonotonicNow.
  void Begin(Millis start);

  // Whether the schedule has ended and every request has its result.
  bool done() const { return schedule_ended_ && open_requests_ == 0 && open_attempts_ == 0; }

  std::size_t open_requests() const { return open_requests_; }
  std::uint64_t attempts() const { return attempts_; }

  // Attempts for which no target was available.
  std::uint64_t unroutable() const { return unroutable_; }

  // Attempts that the gateway did not forward before it closed their connection. Counts only the first
  // attempt on each connection.
  std::uint64_t closed_unprocessed() const { return closed_unprocessed_; }

  // Attempts that got no response because a fault killed or stopped the gateway. They do not count as lost.
  std::uint64_t lost_to_faults() const { return lost_to_faults_; }

 private:
  // A request of the schedule, with its retries.
  struct ClientRequest {
    Arrival arrival;
    Millis scheduled_at = 0;
    int attempts = 0;
  };
  struct Attempt {
    explicit Attempt(boost::asio::io_context& io) : disconnect_timer(io) {}
    std::shared_ptr<ClientRequest> request;  // null once the client has disconnected
    std::string id;
    int target = 0;
    Millis sent_at = 0;
    Millis timeout = 0;
    bool resent = false;  // sent again on a new connection; the gateway had closed the idle connection
    std::shared_ptr<ClientConnection> connection;
    boost::asio::steady_timer disconnect_timer;
  };

  void WaitForNextArrival();
  void SendDue();
  void Send(const std::shared_ptr<ClientRequest>& request);
  std::shared_ptr<Attempt> MakeAttempt(const std::shared_ptr<ClientRequest>& request, int target);
  void Exchange(const std::shared_ptr<Attempt>& attempt);
  void OnResult(const std::shared_ptr<Attempt>& attempt, const ClientConnection::Result& result);
  void CheckResult(const Attempt& attempt, const std::shared_ptr<ClientConnection>& connection,
                   const ClientConnection::Result& result);
  void OnServed(const std::shared_ptr<ClientRequest>& request);
  void OnNoResponse(const Attempt& attempt, const std::string& description, bool first_on_connection);
  void Retry(const std::shared_ptr<ClientRequest>& request, RequestResult result_if_last, Millis retry_after,
             bool not_executed);
  void Finish(const std::shared_ptr<ClientRequest>& request, RequestResult result, Millis latency);
  int ChooseTarget(const Arrival& arrival, Millis now) const;
  void ReuseLater(int target, std::shared_ptr<ClientConnection> connection);
  const TrafficClass& TrafficClassFor(const ClientRequest& request) const;
  std::string RequestText(const Attempt& attempt) const;

  Environment env_;
  Schedule schedule_;
  boost::random::mt19937_64 random_;
  boost::asio::steady_timer arrival_timer_;
  std::optional<Arrival> next_arrival_;
  Millis start_ = 0;
  bool schedule_ended_ = false;
  std::size_t open_requests_ = 0;
  std::size_t open_attempts_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t unroutable_ = 0;
  std::uint64_t lost_to_faults_ = 0;
  std::uint64_t closed_unprocessed_ = 0;
  std::vector<std::vector<std::shared_ptr<ClientConnection>>>
      idle_connections_;  // idle connections by target; the most recently used connection is the last
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLIENTS_HPP_
