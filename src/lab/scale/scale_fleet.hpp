// The fleet of one point: the processes of the list service, the real gateways and the hollow gateways, and
// the hosts, operators and clients that the measuring tool emulates. The destructor stops all processes.
// Single-threaded.
#ifndef GATEWAY_LAB_SCALE_SCALE_FLEET_HPP_
#define GATEWAY_LAB_SCALE_SCALE_FLEET_HPP_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/processes.hpp"
#include "lab/scale/event_loop.hpp"
#include "lab/scale/fleet_members.hpp"
#include "lab/scale/gateway_configuration.hpp"
#include "lab/scale/hollow_process.hpp"
#include "lab/scale/request_load.hpp"
#include "lab/scale/scale_experiment.hpp"
#include "lab/temporary_folder.hpp"

namespace gateway::lab {

// The program under test does not run at this size. what() contains its last log line.
class PointRefusedError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Commands of the programs that a fleet starts.
struct ScalePrograms {
  std::string gatewayctl;  // runs the list service and the hollow gateways
  std::string gateway;     // the gateway under test
};

// Counters of the list service.
struct ListServiceCounts {
  double calls = 0, list_calls = 0, complete_lists = 0, writes = 0, rejected = 0;
  double bytes_in = 0, bytes_out = 0, list_bytes_in = 0, list_bytes_out = 0;
  double watches = 0, revision = 0;
};

// Parses the response to /metrics. Missing counters are 0.
ListServiceCounts ParseListServiceCounts(const std::string& metrics);

// A process of the gateway under test.
struct RealGateway {
  pid_t pid = 0;
  tcp::endpoint address, management;
  Millis started_at = 0, ready_at = 0;  // base::MonotonicNow
};

// A process of hollow gateways.
struct HollowProcess {
  pid_t pid = 0;
  tcp::endpoint control;
  int gateways = 0;
  Millis started_at = 0;
};

// Returns the list that the hollow gateways of a run start with. A small number of gateways starts without a
// list and requests the complete one. A larger number starts with the list, like restarted gateways, because
// the list service limits the rate of complete lists.
nlohmann::json InitialHollowList(int gateways, const std::string& list);

class ScaleFleet {
 public:
  // `deadline` (base::MonotonicNow) bounds every wait.
  ScaleFleet(ScalePrograms programs, FleetSize size, std::uint64_t seed, Millis deadline);
  ~ScaleFleet();

  EventLoop& loop() { return loop_; }
  const FleetSize& size() const { return size_; }

  // Returns the time until the list service answered.
  Millis StartListService();
  void KillListService();
  tcp::endpoint list_service_address() const { return addresses_.Registry(); }
  pid_t list_service() const { return list_service_pid_; }
  ListServiceCounts FetchCounts();
  // Returns the current published list.
  std::string FetchCompleteList();
  FleetMembers& members() { return *members_; }

  // Starts a gateway outside the fleet whose list service never answers. It starts with `initial_list` as its
  // list (null: without a list).
  pid_t StartIsolatedGateway(const nlohmann::json& initial_list);
  void Kill(pid_t pid);
  // Throws PointRefusedError if a process has exited on its own.
  void CheckAlive() const;
  // Returns when all real gateways accept requests.
  void StartRealGateways();
  const std::vector<RealGateway>& real() const { return real_; }
  RequestLoad& requests() { return *requests_; }
  // Returns the size of a gateway's response to the management command 'metrics', in bytes.
  double ScrapeBytes(const RealGateway& gateway);

  // Starts the hollow gateways `first` to first + count - 1 in new processes, with `initial_list` as their
  // list (null: without a list). In the fleet, hollow gateways are numbered after the real gateways.
  void StartHollowGateways(int first, int count, const nlohmann::json& initial_list);
  // Waits until all gateways of the processes from number `from` on have a list. Returns the time since the
  // start of the first of these processes. Throws ScaleTimeout.
  Millis WaitForHollowReady(Millis timeout, std::size_t from = 0);
  // Waits until no hollow gateway has an older revision. Throws ScaleTimeout.
  void WaitForHollowRevision(std::int64_t revision, Millis timeout);
  const std::vector<HollowProcess>& hollow() const { return hollow_; }
  // Returns the revisions that the hollow gateways received since the previous call.
  RevisionArrivals TakeRevisionArrivals();

 private:
  void WriteFile(const std::filesystem::path& path, const std::string& text) const;
  std::filesystem::path PathOf(const std::string& name) const { return folder_.path() / name; }
  pid_t StartGateway(const std::string& name, const GatewayConfigInput& input);
  std::string LastLine(const std::string& log) const;
  // Returns the body of a successful response; nullopt for another or no response.
  std::optional<std::string> FetchBody(const tcp::endpoint& from, const std::string& target);
  HollowState StateOf(const HollowProcess& process);
  tcp::endpoint AddressInBlock(int last, std::uint16_t port) const;

  const ScalePrograms programs_;
  const FleetSize size_;
  const std::uint64_t seed_;
  EventLoop loop_;
  TemporaryFolder folder_;
  Addresses addresses_;
  HostLatencies host_latencies_;
  EmulatedHosts hosts_;
  std::unique_ptr<FleetMembers> members_;
  std::unique_ptr<RequestLoad> requests_;
  std::vector<RealGateway> real_;
  std::vector<HollowProcess> hollow_;
  std::map<tcp::endpoint, std::shared_ptr<base::ClientConnection>> connections_;  // for FetchBody
  std::map<pid_t, std::string> logs_;              // log files of processes that should be running
  std::map<pid_t, std::string> unexpected_exits_;  // exit status by process
  pid_t list_service_pid_ = 0;
  int isolated_gateways_ = 0;
  Processes processes_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_FLEET_HPP_
