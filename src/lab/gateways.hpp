// The gateways of one play as processes: their configuration, their starts and ends, and what the front sees
// of them.
#ifndef GATEWAY_LAB_GATEWAYS_HPP_
#define GATEWAY_LAB_GATEWAYS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/experiment.hpp"
#include "lab/http.hpp"
#include "lab/processes.hpp"
#include "lab/rules.hpp"

namespace gateway::lab {

class Gateways {
 public:
  struct Setting {
    boost::asio::io_context& io;
    const Experiment& experiment;
    const Addresses& addresses;
    Rules& rules;
    std::string command;
    std::uint64_t seed;
    std::filesystem::path folder;                  // for configurations and TMPDIRs
    std::string logs;                              // empty: none are kept
    std::function<std::string(int)> known;         // the list as this gateway had it at the start of the play
    std::function<void(int)> starts;               // a process is about to start
    std::function<void(const std::string&)> note;  // an event for the record
  };
  explicit Gateways(Setting setting);
  ~Gateways() { EndAll(); }

  int count() const { return s_.experiment.fleet.gateways; }
  int ZoneOf(int gateway) const { return gateway % static_cast<int>(s_.experiment.fleet.zones.size()); }
  void StartAll();
  bool AllReady() const;
  std::string NotReady() const;  // which ones are not, in words
  bool Deals(int gateway, Millis now) const;
  // A fault ended or held the gateway at some time since then.
  bool Excused(int gateway, Millis since) const;

  // Faults.
  void Kill(int gateway, Millis restart_after);
  void Stop(int gateway);
  void Continue(int gateway);
  void Terminate(int gateway, Millis restart_after);
  void Replace(int gateway);

  // Kills and reaps them; what they used is still counted.
  void EndAll() {
    ending_ = true;
    processes_.EndAll();
  }
  // Of all processes so far that have ended.
  Millis cpu() const { return cpu_; }
  double most_memory_mb() const { return most_memory_mb_; }

 private:
  struct One {
    explicit One(boost::asio::io_context& io, Millis notices) : view(notices), poll(io), later(io) {}
    pid_t pid = 0;        // 0: none
    pid_t successor = 0;  // while one is being replaced
    int starts = 0;
    FrontView view;
    bool ready = false;  // this process has said yes
    std::shared_ptr<ClientConnection> front;
    boost::asio::steady_timer poll, later;
    bool ends_by_fault = false;
    Millis restart_after = 0;
    Millis disturbed_from = -1, disturbed_to = -1;  // to: infinite while it lasts
  };
  One& At(int gateway) { return *all_[static_cast<std::size_t>(gateway)]; }
  const One& At(int gateway) const { return *all_[static_cast<std::size_t>(gateway)]; }
  pid_t Start(int gateway);
  std::string Configuration(int gateway, int start) const;
  void Ended(const ProcessEnd& end);
  void Poll(int gateway);
  void AskSuccessor(int gateway, Millis until);
  void Disturb(One& one);

  Setting s_;
  std::vector<std::unique_ptr<One>> all_;
  bool ending_ = false;
  Millis cpu_ = 0;
  double most_memory_mb_ = 0;
  Processes processes_;  // last: its end tells of ends
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAYS_HPP_
