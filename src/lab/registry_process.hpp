// The project's own list service in a play: the process, and the emulated hosts' side of it, which registers
// and renews them. The hosts' lives are the lab's; what the service makes of them is its own.
#ifndef GATEWAY_LAB_REGISTRY_PROCESS_HPP_
#define GATEWAY_LAB_REGISTRY_PROCESS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/http.hpp"
#include "lab/processes.hpp"
#include "registry/agent.hpp"

namespace gateway::lab {

class RegistryProcess {
 public:
  struct Setting {
    boost::asio::io_context& io;
    tcp::endpoint address;
    std::string program;           // `gatewayctl`
    std::filesystem::path folder;  // for its configuration and state
    std::string log;
    Millis term, grace;
    std::function<void(const std::string&)> note;
  };
  RegistryProcess(Setting setting, std::vector<registry::Member> hosts);
  ~RegistryProcess() { EndAll(); }

  void Start();
  // Every host is listed.
  bool ready() const;
  tcp::endpoint address() const { return s_.address; }

  // Faults.
  void Kill(Millis restart_after);
  void Stop();
  void Continue();
  void SetFull(bool full);             // its disk: no file may grow
  void CutMember(int host, bool cut);  // between the host and the service: the host serves on
  // The host's own life.
  void Die(int host);  // its lease lapses
  void Begin(int host, std::int64_t incarnation);
  void Drain(int host);  // by operators' call, repeated until it is kept
  void Remove(int host);

  // Newest revision that any answer told, and when it was first heard of.
  std::int64_t newest() const { return newest_; }
  Millis newest_at() const { return newest_at_; }
  void Heard(std::int64_t revision);
  bool up() const { return pid_ != 0 && !stopped_; }
  void EndAll() {
    ending_ = true;
    processes_.EndAll();
  }

 private:
  struct Host {
    explicit Host(boost::asio::io_context& io) : timer(io) {}
    registry::Member member;
    registry::AgentState state;
    std::shared_ptr<ClientConnection> connection;
    boost::asio::steady_timer timer;
    bool alive = true, cut = false, calling = false;
  };
  Host& At(int host) { return *hosts_[static_cast<std::size_t>(host)]; }
  void Act(int host);
  void ActLater(int host, Millis time);
  // An operator's call, again until the service has answered it.
  void Insist(registry::Command command);
  void Insist(registry::Action action, int host);
  void Ended(const ProcessEnd& end);

  Setting s_;
  std::vector<std::unique_ptr<Host>> hosts_;
  pid_t pid_ = 0;
  int starts_ = 0, keys_ = 0;
  bool stopped_ = false, expected_ = false, ending_ = false;
  Millis restart_after_ = 0, newest_at_ = 0;
  std::int64_t newest_ = 0;
  Processes processes_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REGISTRY_PROCESS_HPP_
