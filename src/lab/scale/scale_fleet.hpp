// The fleet of one point of a sweep. It consists of the processes of the list service, the real gateways and
// the hollow gateways, and of the hosts, operators and clients that the measuring tool emulates. The
// destructor stops all processes. Single-threaded.
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

// A process under test exited on its own at this size. what() contains its exit status and its last log line.
class PointRefusedError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Commands of the programs that a fleet starts.
struct ScalePrograms {
  std::string gatewayctl;  // runs the list service and the hollow gateways
  std::string gateway;     // the gateway under test
};

// Metrics of the list service. `list_calls` and `list_bytes_*` count only the calls that read the endpoint
// list.
struct ListServiceCounts {
  double calls = 0, list_calls = 0, complete_lists = 0, writes = 0, rejected = 0;
  double bytes_in = 0, bytes_out = 0, list_bytes_in = 0, list_bytes_out = 0;
  double watches = 0, revision = 0;
};

// Parses the response to /metrics. Missing metrics are 0.
ListServiceCounts ParseListServiceCounts(const std::string& metrics);

// One process of the gateway under test.
struct RealGateway {
  pid_t pid = 0;
  tcp::endpoint address, management;
  Millis started_at = 0, ready_at = 0;  // base::MonotonicNow
};

// One process that runs several hollow gateways.
struct HollowProcess {
  pid_t pid = 0;
  tcp::endpoint control;
  int gateways = 0;
  Millis started_at = 0;
};

// Returns the initial list of the hollow gateways: `list`, or null if there are at most 400 gateways. Without
// an initial list, each gateway requests the complete list at its start. In a larger fleet, the gateways
// start with the list, like restarted gateways, because the list service limits the rate of complete lists.
nlohmann::json InitialHollowList(int gateways, const std::string& list);

class ScaleFleet {
 public:
  // No wait continues after `deadline` (base::MonotonicNow).
  ScaleFleet(ScalePrograms programs, FleetSize size, std::uint64_t seed, Millis deadline);
  ~ScaleFleet();

  EventLoop& loop() { return loop_; }
  const FleetSize& size() const { return size_; }

  // Returns the time from the start of the process until the list service answers.
  Millis StartListService();
  void KillListService();
  tcp::endpoint list_service_address() const { return addresses_.Registry(); }
  pid_t list_service() const { return list_service_pid_; }
  ListServiceCounts FetchCounts();
  // Returns the current published list.
  std::string FetchCompleteList();
  FleetMembers& members() { return *members_; }

  // Starts a gateway that is not part of the fleet and whose list service never answers. `initial_list` is
  // its list at the start (null: none).
  pid_t StartIsolatedGateway(const nlohmann::json& initial_list);
  void Kill(pid_t pid);
  // Throws PointRefusedError if a process has exited on its own.
  void CheckAlive() const;
  // Starts the real gateways and returns when all of them accept requests.
  void StartRealGateways();
  const std::vector<RealGateway>& real() const { return real_; }
  RequestLoad& requests() { return *requests_; }
  // Returns the size of a gateway's response to the management command 'metrics', in bytes.
  double ScrapeBytes(const RealGateway& gateway);

  // Starts `count` hollow gateways in new processes. Hollow gateways are numbered from 0, and `first` is the
  // number of the first one to start. In the fleet, the index of hollow gateway n is n plus the number of
  // real gateways. Each gateway starts with `initial_list` as its endpoint list (null: without a list).
  void StartHollowGateways(int first, int count, const nlohmann::json& initial_list);
  // Waits for the processes in hollow(), starting at index `from`, until all of their gateways are ready.
  // Returns the time from the start of the process hollow()[from] until the last gateway became ready; 0 if
  // there is no such process. Throws ScaleTimeout.
  Millis WaitForHollowReady(Millis timeout, std::size_t from = 0);
  // Waits until every hollow gateway has this revision of the list or a later one. Throws ScaleTimeout.
  void WaitForHollowRevision(std::int64_t revision, Millis timeout);
  const std::vector<HollowProcess>& hollow() const { return hollow_; }
  // Returns the revisions that the hollow gateways received since the previous call.
  RevisionArrivals TakeRevisionArrivals();

 private:
  void WriteFile(const std::filesystem::path& path, const std::string& text) const;
  std::filesystem::path PathOf(const std::string& name) const { return folder_.path() / name; }
  pid_t StartGateway(const std::string& name, const GatewayConfigInput& input);
  std::string LastLine(const std::string& log) const;
  // Returns the body of the response; nullopt if there is no response or if its status is not a success.
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
  std::map<tcp::endpoint, std::shared_ptr<base::ClientConnection>> connections_;  // used by FetchBody
  std::map<pid_t, std::string> logs_;              // log files of the processes that should be running
  std::map<pid_t, std::string> unexpected_exits_;  // exit statuses of the processes that exited on their own
  pid_t list_service_pid_ = 0;
  int isolated_gateways_ = 0;
  Processes processes_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_FLEET_HPP_
