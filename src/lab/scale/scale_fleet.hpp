// The processes of one point: the list service, real gateways, processes of hollow gateways, and the tool's
// own side of hosts, operators and clients. All end with the fleet. One thread.
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

// The program under test does not run at this size; what() is its own message.
class PointRefused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ScalePrograms {
  std::string gatewayctl;  // this program: the list service and the hollow gateways
  std::string gateway;     // the gateway under test
};

// Counters of the list service.
struct ListServiceCounts {
  double calls = 0, list_calls = 0, whole_lists = 0, writes = 0, turned_away = 0;
  double bytes_in = 0, bytes_out = 0, list_bytes_in = 0, list_bytes_out = 0;
  double watches = 0, revision = 0;
};

// Of its answer to /metrics; 0 where a counter is missing.
ListServiceCounts ParseListServiceCounts(const std::string& metrics);

struct RealGateway {
  pid_t pid = 0;
  tcp::endpoint address, management;
  Millis started_at = 0, ready_at = 0;  // base::MonotonicNow
};

struct HollowGroup {
  pid_t pid = 0;
  tcp::endpoint control;
  int gateways = 0;
  Millis started_at = 0;
};

// What hollow gateways of a run begin with: a few with nothing, so that they ask for the whole list; more
// with the list, as gateways do that start again, since the list service admits only so many whole lists a
// second.
nlohmann::json HollowStartList(int gateways, const std::string& list);

class ScaleFleet {
 public:
  // No wait goes beyond `deadline` (base::MonotonicNow).
  ScaleFleet(ScalePrograms programs, FleetSize size, std::uint64_t seed, Millis deadline);
  ~ScaleFleet();

  EventLoop& loop() { return loop_; }
  const FleetSize& size() const { return size_; }

  // Returns the time until it answered, in ms.
  Millis StartListService();
  void KillListService();
  tcp::endpoint list_service_address() const { return addresses_.Registry(); }
  pid_t list_service() const { return list_service_pid_; }
  ListServiceCounts Counts();
  // The published list as it is now.
  std::string CompleteList();
  FleetMembers& members() { return *members_; }

  // A gateway outside the fleet whose list service never answers; it has `known` (null: none) as its list.
  pid_t StartLoneGateway(const nlohmann::json& known);
  void End(pid_t pid);
  // Throws PointRefused where a process has ended by itself.
  void CheckAlive() const;
  // Returns when all take clients.
  void StartRealGateways();
  const std::vector<RealGateway>& real() const { return real_; }
  RequestLoad& requests() { return *requests_; }
  // What a gateway tells at its operators' call 'metrics', in bytes.
  double ScrapeBytes(const RealGateway& gateway);

  // Gateways `first` to first + count - 1 of the hollow ones, in processes of their own. `known`: their list
  // at the start; null: none. Their indices in the fleet follow those of the real ones.
  void StartHollowGateways(int first, int count, const nlohmann::json& known);
  // Until all of the processes from number `from` on have got a list. Returns the time from
  // the first one's start, in ms.
  Millis WaitForHollowReady(Millis timeout, std::size_t from = 0);
  // Until none has an older revision.
  void WaitForHollowRevision(std::int64_t revision, Millis timeout);
  const std::vector<HollowGroup>& hollow() const { return hollow_; }
  // When they got which revisions, since the last call.
  RevisionArrivals TakeRevisionArrivals();

 private:
  void Write(const std::filesystem::path& path, const std::string& text) const;
  std::filesystem::path At(const std::string& name) const { return folder_.path() / name; }
  pid_t StartGateway(const std::string& name, const GatewayConfigInput& input);
  std::string LastLine(const std::string& log) const;
  // The body of an answer 200; nothing for any other, or for none.
  std::optional<std::string> Get(const tcp::endpoint& from, const std::string& target);
  HollowState StateOf(const HollowGroup& group);
  tcp::endpoint Place(int last, std::uint16_t port) const;

  const ScalePrograms programs_;
  const FleetSize size_;
  const std::uint64_t seed_;
  EventLoop loop_;
  TemporaryFolder folder_;
  Addresses addresses_;
  HostTimes host_times_;
  EmulatedHosts hosts_;
  std::unique_ptr<FleetMembers> members_;
  std::unique_ptr<RequestLoad> requests_;
  std::vector<RealGateway> real_;
  std::vector<HollowGroup> hollow_;
  std::map<tcp::endpoint, std::shared_ptr<base::ClientConnection>> connections_;  // for questions
  std::map<pid_t, std::string> logs_;                                             // of processes that run
  std::map<pid_t, std::string> ended_;                                            // unasked, and how
  pid_t list_service_pid_ = 0;
  int lone_ = 0;
  Processes processes_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_FLEET_HPP_
