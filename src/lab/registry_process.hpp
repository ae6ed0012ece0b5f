// The project's list service in a run: its process, and the emulated agents of the hosts. The agents register
// the hosts and renew their leases.
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

#include "lab/http_server.hpp"
#include "lab/processes.hpp"
#include "registry/agent.hpp"

namespace gateway::lab {

// Hosts are numbered from 0. Must be used in the thread of the io_context.
class RegistryProcess {
 public:
  struct Environment {
    boost::asio::io_context& io;
    tcp::endpoint address;
    std::string program;           // command that starts gatewayctl
    std::filesystem::path folder;  // for the configuration and the state of the service
    std::string log;               // file for the output of the service
    Millis lease_term;
    Millis lease_grace;
    std::function<void(const std::string&)> add_event;  // adds to the events of the run
  };
  RegistryProcess(Environment environment, std::vector<registry::Member> hosts);
  ~RegistryProcess() { KillAll(); }

  // Throws std::runtime_error if the process can't be started.
  void Start();

  // Whether every host has been registered.
  bool ready() const;

  tcp::endpoint address() const { return env_.address; }

  // Faults.
  void Kill(Millis restart_delay);
  void Stop();
  void Continue();
  void SetDiskFull(bool disk_full);       // the service's files can't grow
  void SetMemberCut(int host, bool cut);  // the host serves requests, but can't reach the service

  // Changes of a host.
  void StopRenewing(int host);  // the host's process has ended, so its lease expires
  void Restart(int host, std::int64_t incarnation);
  // Drain and Remove send an operator's request and retry it until the service answers it.
  void Drain(int host);
  void Remove(int host);

  // Records a revision of the list that a gateway, an agent or an operator has received from the service.
  void OnRevision(std::int64_t revision);

  // The newest recorded revision, and the time at which it was first received.
  std::int64_t newest_revision() const { return newest_revision_; }
  Millis newest_revision_at() const { return newest_revision_at_; }

  // Whether the process runs and is not stopped by a fault.
  bool up() const { return pid_ != 0 && !stopped_; }

  // Kills the process and waits until it has ended.
  void KillAll();

 private:
  // The agent of an emulated host.
  struct Agent {
    explicit Agent(boost::asio::io_context& io) : timer(io) {}
    registry::Member member;
    registry::AgentState state;
    std::shared_ptr<ClientConnection> connection;
    boost::asio::steady_timer timer;
    bool host_up = true;
    bool cut = false;      // can't reach the service
    bool calling = false;  // a call has not been answered yet
  };
  Agent& AgentAt(int host) { return *agents_[static_cast<std::size_t>(host)]; }
  void WriteConfig(const std::filesystem::path& path) const;
  void Call(int host);
  void CallLater(int host, Millis delay);
  void OnResult(int host, registry::AgentAction call, std::int64_t incarnation,
                const ClientConnection::Result& result);
  void SendOperatorCall(registry::Action action, int host);
  void SendUntilAnswered(const registry::Command& command);
  void OnOperatorResult(const registry::Command& command, const ClientConnection::Result& result);
  void OnProcessEnd(const ProcessEnd& end);

  Environment env_;
  std::vector<std::unique_ptr<Agent>> agents_;
  pid_t pid_ = 0;  // 0: no process
  int starts_ = 0;
  int operator_calls_ = 0;
  bool stopped_ = false;
  bool end_expected_ = false;
  bool shutting_down_ = false;
  Millis restart_delay_ = 0;
  std::int64_t newest_revision_ = 0;
  Millis newest_revision_at_ = 0;
  Processes processes_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REGISTRY_PROCESS_HPP_
