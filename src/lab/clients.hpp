// The clients: send what the schedule says when it says so, whatever the answers do, and check what they get.
#ifndef GATEWAY_LAB_CLIENTS_HPP_
#define GATEWAY_LAB_CLIENTS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/http.hpp"
#include "lab/recorder.hpp"
#include "lab/rules.hpp"
#include "lab/schedule.hpp"

namespace gateway::lab {

class Clients {
 public:
  struct Setting {
    boost::asio::io_context& io;
    const Experiment& experiment;
    Rules& rules;
    Recorder& recorder;
    std::uint64_t seed;
    int targets;                                // gateways; or hosts, where clients ask these directly
    std::function<tcp::endpoint(int)> address;  // of a target
    std::function<int(int)> zone;               // of a target
    std::function<bool(int, Millis)> deals;     // new connections go to the target, by the front
    std::function<bool(int, Millis)> excused;   // a fault ended or held the target at some time since then
    std::function<void(int, Millis)> answered;  // the target has served a request sent at that time
  };
  explicit Clients(Setting setting);

  void Begin(Millis start);  // of arrivals, on the lab's clock
  bool done() const { return drawn_out_ && flows_ == 0 && tries_ == 0; }
  std::size_t waiting() const { return flows_; }
  std::uint64_t unplaced() const { return unplaced_; }
  std::uint64_t unheard() const { return unheard_; }
  std::uint64_t excused() const { return excused_; }
  std::uint64_t tries() const { return next_id_; }

 private:
  struct Flow {
    Arrival arrival;
    Millis first = 0;  // when it should have been sent
    int tries = 0;
  };
  struct Try {
    explicit Try(boost::asio::io_context& io) : quits(io) {}
    std::shared_ptr<Flow> flow;  // null once the client has quit, or the flow has ended
    std::string id;
    int target = 0;
    Millis sent = 0, patience = 0;
    bool resent = false;
    std::shared_ptr<ClientConnection> connection;
    boost::asio::steady_timer quits;
  };
  void Arm();
  void SendDue();
  void Send(const std::shared_ptr<Flow>& flow);
  void Exchange(const std::shared_ptr<Try>& attempt);
  void Answered(const std::shared_ptr<Try>& attempt, ClientConnection::Result result);
  void Lose(const Try& attempt, const std::string& how, bool fresh);
  void Retry(const std::shared_ptr<Flow>& flow, End otherwise, Millis wait, bool harmless);
  void Finish(const std::shared_ptr<Flow>& flow, End end, Millis took);
  int Deal(const Arrival& arrival, Millis now);
  void Keep(int target, std::shared_ptr<ClientConnection> connection);
  std::string Text(const Try& attempt) const;

  Setting s_;
  Schedule schedule_;
  boost::random::mt19937_64 random_;
  boost::asio::steady_timer next_timer_;
  std::optional<Arrival> next_;
  Millis start_ = 0;
  bool drawn_out_ = false;
  std::size_t flows_ = 0, tries_ = 0;
  std::uint64_t next_id_ = 0, unplaced_ = 0, excused_ = 0, unheard_ = 0;
  std::vector<std::vector<std::shared_ptr<ClientConnection>>> idle_;  // a target's, the last used last
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLIENTS_HPP_
