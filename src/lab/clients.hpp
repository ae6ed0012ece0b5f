// The emulated clients: send requests by the schedule, whatever the answers are, and check what they get.
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

// To be used in the thread of the io_context.
class Clients {
 public:
  // All references outlive the clients.
  struct Environment {
    boost::asio::io_context& io;
    const Experiment& experiment;
    ClientTargets& targets;
    RuleChecker& rules;
    Recorder& recorder;
    std::uint64_t seed;
  };
  explicit Clients(Environment environment);

  // Sends the first request of the schedule `start` from now on; `start` is of base::MonotonicNow.
  void Begin(Millis start);

  // Whether the schedule has ended and every request has its result.
  bool done() const { return schedule_ended_ && open_requests_ == 0 && open_attempts_ == 0; }

  std::size_t open_requests() const { return open_requests_; }
  std::uint64_t attempts() const { return attempts_; }

  // Attempts for which no target took connections.
  std::uint64_t unroutable() const { return unroutable_; }

  // Attempts that were the first on their connection and that the gateway closed without passing them on.
  std::uint64_t closed_unprocessed() const { return closed_unprocessed_; }

  // Attempts that had no answer from a gateway that a fault had ended or stopped.
  std::uint64_t excused() const { return excused_; }

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
    bool resent = false;  // on a new connection, after an idle one had been closed
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
  const TrafficClass& ClassOf(const ClientRequest& request) const;
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
  std::uint64_t excused_ = 0;
  std::uint64_t closed_unprocessed_ = 0;
  std::vector<std::vector<std::shared_ptr<ClientConnection>>> idle_;  // by target; the last used is last
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLIENTS_HPP_
