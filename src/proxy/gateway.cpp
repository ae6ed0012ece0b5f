#include "proxy/gateway.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "base/log.hpp"
#include "base/socket_address.hpp"
#include "proxy/admin/start_log.hpp"
#include "proxy/client/body_progress.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"
#include "proxy/listener.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// How long the gateway accepts connections after SIGTERM. The load balancer opens new connections for up to
// 400 ms after SIGTERM.
constexpr Millis kAcceptAfterStopMs = 500;
// SIGKILL follows SIGTERM after the longest deadline of the deployment, at most this time, and 700 ms more.
// Each request has a response by then, or its response has begun: within the longest deadline and
// kStopMarginMs.
constexpr Millis kMaxDeadlineAtStopMs = 3000;
constexpr Millis kStopMarginMs = 300;
// A request that arrives later after SIGTERM may not have all of its time before SIGKILL.
constexpr Millis kServeAfterStopMs = 700;
// The time to write the responses that have begun: that of the largest body at the minimum rate.
constexpr Millis kFinishResponsesWithinMs = static_cast<double>(kMaxBodyBytes) / kMinBodyBytesPerMs;
// The time to send connections to a successor that does not receive.
constexpr Millis kFinishTransfersWithinMs = 1000;
constexpr Millis kFinishPollIntervalMs = 20;  // time between two checks whether any work is pending
// The share of the memory that clients may make the process hold. The rest is for the process itself, for
// memory that the allocator can't reuse at once, and for what is not counted.
constexpr double kBufferBudgetShare = 0.375;
// The IDs of past requests may use 1/32 of the memory.
constexpr std::size_t kRememberedIdsDivisor = 32;
constexpr std::size_t kMinManagementConnections = 2;
constexpr std::size_t kMaxManagementConnections = 16;
constexpr std::size_t kDescriptorsPerManagementConnection = 16;

InheritedState InheritFromRunningProcess(const Config& config) {
  if (config.hot_restart_path.empty()) return {};
  return InheritFromPredecessor(config.hot_restart_path, config.listen);
}

std::optional<SavedState> LoadConfiguredState(const Config& config) {
  if (config.state_folder.empty() || !config.load_state) return std::nullopt;
  return LoadSavedState(config.state_folder, config.state_owner);
}

// The watch continues from the list with which the process starts.
EndpointListWatcher::Options WatcherOptions(const Config& config, const InheritedState& inherited,
                                            const std::optional<SavedState>& saved) {
  const InitialList initial = ChooseInitialList(config.initial_list, inherited.transferred, saved);
  DiscoverySources sources = config.discovery;
  if (inherited.transferred) sources.running_process = inherited.transferred->discovery;
  EndpointListWatcher::Options options;
  options.candidates = OrderDiscoverySources(sources);
  options.seed = config.seed;
  options.guard_mass_removal = config.guard_mass_removal;
  options.max_removed_share = config.max_removed_share;
  options.revision = initial.list.revision;
  options.epoch = initial.list.epoch;
  options.position_is_current = initial.position_is_current;
  return options;
}

std::shared_ptr<BufferBudget> MakeBufferBudget(const Config& config) {
  const double limit_bytes = kBufferBudgetShare * static_cast<double>(config.memory_limit_bytes);
  return std::make_shared<BufferBudget>(static_cast<std::size_t>(limit_bytes),
                                        MemoryMonitor(config.process_memory, config.memory_limit_bytes));
}

ClientServerOptions MakeClientServerOptions(const Config& config, const DescriptorBudget& budget,
                                            std::shared_ptr<BufferBudget> buffer_budget) {
  ClientServerOptions options;
  options.address = config.listen;
  options.shared = !config.hot_restart_path.empty();
  options.connection_limit = budget.client_connections;
  options.buffer_budget = std::move(buffer_budget);
  return options;
}

UpstreamPoolOptions MakeUpstreamPoolOptions(const Config& config, const DescriptorBudget& budget,
                                            std::shared_ptr<BufferBudget> buffer_budget) {
  UpstreamPoolOptions options;
  options.connect_timeout_ms = config.connect_timeout;
  options.endpoint_idle_timeout_ms = config.idle_timeout;
  options.connection_limit = budget.upstream_connections;
  options.buffer_budget = std::move(buffer_budget);
  return options;
}

Millis RespondWithinAtStop(const policy::Settings& settings) {
  Millis longest = 0;
  for (const auto& traffic_class : settings.classes) longest = std::max(longest, traffic_class.deadline);
  return std::max(std::min(longest, kMaxDeadlineAtStopMs) + kStopMarginMs, kServeAfterStopMs);
}

// Returns whether another process listens on the client address but transferred no listener.
bool IsListenAddressShared(const Config& config, const InheritedState& inherited) {
  return !config.hot_restart_path.empty() && !inherited.listener && IsAddressInUse(config.listen);
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config)
    : Gateway(io, config, InheritFromRunningProcess(config), LoadConfiguredState(config)) {}

Gateway::Gateway(asio::io_context& io, const Config& config, InheritedState inherited,
                 std::optional<SavedState> saved)
    : io_(io),
      settings_(config.settings),
      budget_(MakeDescriptorBudget(config.max_descriptors)),
      driver_(io, config.settings, config.seed, requests_, [this] { list_.Watch(); }),
      buffer_budget_(MakeBufferBudget(config)),
      upstream_(io, MakeUpstreamPoolOptions(config, budget_, buffer_budget_)),
      list_(io, WatcherOptions(config, inherited, saved), MakeListCallbacks()),
      metrics_(config.settings),
      requests_(io, settings_, driver_, upstream_, metrics_,
                config.memory_limit_bytes / kRememberedIdsDivisor / policy::RepeatDetection::kBytesPerId,
                buffer_budget_, MakeClaimSharing()),
      hot_restart_(io, config.hot_restart_path, std::move(inherited.predecessor),
                   IsListenAddressShared(config, inherited), MakeHotRestartCallbacks()),
      respond_within_(RespondWithinAtStop(settings_)),
      list_stale_after_(config.list_stale_after),
      started_at_(Now()),
      stop_timer_(io),
      clients_(io, MakeClientServerOptions(config, budget_, buffer_budget_), std::move(inherited.listener),
               settings_, MakeClientCallbacks()),
      commands_(*this, metrics_),
      status_log_(io, list_stale_after_, [this] { return Status(); }) {
  StartManagement(config);
  LogSourceConflicts(config, inherited.transferred, saved);
  RestoreList(config, inherited.transferred, saved);
  StartSaving(config);
  RestoreLearnedState(inherited.transferred, saved);
  hot_restart_.Start();
  if (!settings_.poll_endpoint_list) list_.Watch();
  LogSettings(settings_);
  status_log_.Start();
}

EndpointListWatcher::Callbacks Gateway::MakeListCallbacks() {
  EndpointListWatcher::Callbacks callbacks;
  callbacks.list_received = [this] {
    list_from_state_ = false;
    list_confirmed_at_ = Now();
  };
  callbacks.list_changed = [this](const EndpointList& list) { ApplyList(list); };
  callbacks.watch_failed = [this](Millis call_duration) {
    check_config_();
    driver_.Report(policy::EndpointListEvent{policy::EndpointListEvent::Kind::kFailure, {}, call_duration});
  };
  return callbacks;
}

ClaimSharing Gateway::MakeClaimSharing() {
  ClaimSharing sharing;
  sharing.receive = [this] { hot_restart_.ReceiveClaims(); };
  sharing.claim = [this](const policy::RequestDigest& id) { hot_restart_.ShareClaim(id); };
  sharing.release = [this](const policy::RequestDigest& id) { hot_restart_.ShareRelease(id); };
  return sharing;
}

HotRestart::Callbacks Gateway::MakeHotRestartCallbacks() {
  HotRestart::Callbacks callbacks;
  callbacks.is_ready = [this] { return IsReady(); };
  callbacks.is_stopping = [this] { return stopping_; };
  callbacks.listener = [this] { return clients_.listener(); };
  callbacks.export_state = [this] { return StateForSuccessor(); };
  callbacks.scale_rate = [this](double factor) { driver_.policy().ScaleLimits(factor); };
  callbacks.limit_connections = [this](bool half) { LimitConnections(half); };
  callbacks.adopt_client = [this](base::FileDescriptor client) {
    clients_.AcceptTransferredConnection(std::move(client));
  };
  callbacks.claimed_requests = [this] { return requests_.ClaimedIds(); };
  callbacks.requests_claimed = [this](const std::vector<policy::RequestDigest>& ids) {
    requests_.AddRemoteClaims(ids);
  };
  callbacks.requests_released = [this](const std::vector<policy::RequestDigest>& ids) {
    requests_.RemoveRemoteClaims(ids);
  };
  callbacks.config_replaced = [this] { check_config_(); };
  return callbacks;
}

ClientCallbacks Gateway::MakeClientCallbacks() {
  ClientCallbacks callbacks;
  callbacks.is_ready = [this] { return PassesReadinessCheck(); };
  callbacks.on_request = [this](ClientRequest request) { requests_.OnRequest(std::move(request)); };
  callbacks.on_request_complete = [this](const std::string& id, Millis completed_at) {
    requests_.OnRequestComplete(id, completed_at);
  };
  callbacks.on_disconnect = [this](const std::string& id) { requests_.OnClientDisconnected(id); };
  callbacks.on_response_end = [this](const std::string& class_name, unsigned status, bool complete) {
    metrics_.RecordResponse(class_name, status, complete);
  };
  return callbacks;
}

void Gateway::StartManagement(const Config& config) {
  if (!config.management) return;
  const std::size_t connections =
      std::min(kMaxManagementConnections, config.max_descriptors / kDescriptorsPerManagementConnection);
  management_.emplace(io_, *config.management, std::max(kMinManagementConnections, connections),
                      [this](const std::string& command) { return commands_.Run(command); });
}

void Gateway::LogSourceConflicts(const Config& config, const std::optional<TransferredState>& transferred,
                                 const std::optional<SavedState>& saved) const {
  for (const SourceConflict& conflict : config.source_conflicts) LogSourceConflict(conflict);
  LogSourceConflict(FindConflict(list_.candidates()));
  const InitialList initial = ChooseInitialList(config.initial_list, transferred, saved);
  LogSourceConflict(FindConflict(initial, config.initial_list, transferred, saved));
  LogSourceConflict(FindDrainConflict(transferred, saved));
}

// Applies the list and the operator's drain with which the process starts.
void Gateway::RestoreList(const Config& config, const std::optional<TransferredState>& transferred,
                          const std::optional<SavedState>& saved) {
  const InitialList initial = ChooseInitialList(config.initial_list, transferred, saved);
  list_from_state_ = initial.source == SettingSource::kSavedState;
  if (ChooseInitialDrain(transferred, saved)) SetDraining(true);
  list_confirmed_at_ = list_from_state_ ? saved->list_valid_at : Now();
  list_.Apply(initial.list);
  if (list_from_state_)
    LogRestoredList(list_.revision(), list_.endpoints().size(), Now() - saved->list_valid_at);
}

void Gateway::RestoreLearnedState(const std::optional<TransferredState>& transferred,
                                  const std::optional<SavedState>& saved) {
  const policy::LearnedState* const learned = ChooseLearnedState(transferred, saved);
  if (learned == nullptr) return;
  driver_.policy().ImportState(Now(), *learned);
  if (!transferred) LogRestoredLearnedState(learned->endpoints.size(), Now() - learned->exported_at);
}

// To be called after RestoreList. Otherwise the list from the configuration could overwrite a newer list on
// disk before discovery has responded.
void Gateway::StartSaving(const Config& config) {
  if (config.state_folder.empty()) return;
  state_saver_.emplace(config.state_folder, config.state_owner, config.state_sync_delay);
  save_schedule_.emplace(io_, *state_saver_, [this] {
    return SavedState{list_.Snapshot(), draining_, list_confirmed_at_, driver_.policy().ExportState()};
  });
}

void Gateway::ApplyList(const EndpointList& list) {
  // The upstream pool applies the list before the policy does, so that the policy's actions can't use removed
  // endpoints.
  upstream_.ApplyEndpointList(list);
  has_listed_endpoints_ = has_listed_endpoints_ || !list.endpoints.empty();
  driver_.Report(ToListEvent(list));
  hot_restart_.NotifyReadiness();
  if (list_.endpoints().empty()) return;
  SaveWithin(StateSaveSchedule::DelayAfterListChange(settings_.gateway_index));
}

void Gateway::SaveWithin(Millis delay) {
  if (save_schedule_) save_schedule_->SaveWithin(delay);
}

bool Gateway::IsListStale() const {
  return Now() - std::max(list_.last_list_at(), started_at_) > list_stale_after_;
}

void Gateway::ChangeDiscovery(DiscoverySources sources) {
  sources.running_process = list_.service();
  std::vector<DiscoveryCandidate> candidates = OrderDiscoverySources(sources);
  const std::string text = base::FormatSocketAddress(candidates.front().services.front());
  base::Log(base::Level::kInfo, "discovery", "moved", "discovery address changed to " + text,
            {{"address", text}});
  LogSourceConflict(FindConflict(candidates));
  list_.MoveTo(std::move(candidates));
}

std::optional<asio::ip::tcp::endpoint> Gateway::management() const {
  if (!management_) return std::nullopt;
  return management_->address();
}

// A stopping process with a ready successor also passes the check, because the successor accepts clients on
// the same listener.
bool Gateway::PassesReadinessCheck() const {
  return IsReady() || (stopping_ && !draining_ && hot_restart_.HasReadySuccessor());
}

GatewayStatus Gateway::Status() const {
  GatewayStatus status;
  status.ready = IsReady();
  status.stopping = stopping_;
  status.draining = draining_;
  status.active_requests = clients_.active_requests();
  status.client_connections = clients_.connections();
  status.disconnected_clients = requests_.disconnected();
  status.repeated_requests = requests_.repeats();
  status.incomplete_refusals = requests_.incomplete_refusals();
  status.held_bytes = buffer_budget_->used_bytes();
  status.resident_bytes = buffer_budget_->process().resident_bytes();
  status.allocation_failures = buffer_budget_->process().allocation_failures();
  status.evictions = clients_.evictions();
  status.memory_refusals = clients_.memory_refusals();
  status.upstream_connections = upstream_.connections();
  status.upstream_counts = upstream_.counts();
  status.endpoints = list_.endpoints().size();
  status.ejected_endpoints = driver_.policy().EjectedEndpointCount();
  status.list_revision = list_.revision();
  status.list_service = list_.service_index();
  status.list_age = Now() - std::max(list_.last_list_at(), list_confirmed_at_);
  status.list_stale = IsListStale();
  status.list_from_state = list_from_state_;
  status.saves_state = state_saver_.has_value();
  if (state_saver_) {
    status.state_ok = state_saver_->ok();
    status.state_writes = state_saver_->writes();
  }
  return status;
}

void Gateway::SetDraining(bool draining) {
  draining_ = draining;
  clients_.SetDraining(draining);
  SaveWithin(0);
}

void Gateway::LimitConnections(bool half) {
  const DescriptorBudget budget = half ? budget_.Half() : budget_;
  clients_.SetConnectionLimit(budget.client_connections);
  upstream_.SetConnectionLimit(budget.upstream_connections);
  buffer_budget_->SetShared(half);
}

void Gateway::Stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  clients_.BeginStop({Now() + kServeAfterStopMs, Now() + respond_within_});
  if (hot_restart_.HasReadySuccessor()) return StopForSuccessor(done);
  clients_.SetDraining(true);
  RunAfter(kAcceptAfterStopMs, [this, done = std::move(done)] {
    clients_.StopListening(done);
    TimeOutRequestsAfter(respond_within_ - kAcceptAfterStopMs, done);
  });
}

// Transfers the connections that are between two requests to the successor, which accepts clients on the same
// listener. This process completes its active requests.
void Gateway::StopForSuccessor(const std::function<void()>& done) {
  hot_restart_.AnnounceLeaving();
  clients_.TransferConnections(
      [this](base::FileDescriptor client) { return hot_restart_.TransferClient(std::move(client)); },
      [this, done] { hot_restart_.WhenTransfersSent(done); });
  TimeOutRequestsAfter(respond_within_, done);
}

void Gateway::TimeOutRequestsAfter(Millis delay, const std::function<void()>& done) {
  RunAfter(delay, [this, done] {
    requests_.TimeOutAll();
    requests_timed_out_at_ = Now();
    ExitWhenNothingIsPending(done);
  });
}

// Calls `done` as soon as a check finds no pending work. From now on, each request that arrives is refused.
void Gateway::ExitWhenNothingIsPending(const std::function<void()>& done) {
  clients_.RefuseIncompleteRequests();
  if (!HasPendingWork()) return done();
  RunAfter(kFinishPollIntervalMs, [this, done] { ExitWhenNothingIsPending(done); });
}

bool Gateway::HasPendingWork() const {
  const Millis elapsed = Now() - requests_timed_out_at_;
  return (clients_.HasPendingWork() && elapsed < kFinishResponsesWithinMs) ||
         (hot_restart_.HasUnsentTransfers() && elapsed < kFinishTransfersWithinMs);
}

// Replaces the pending action of a stop, if there is one.
void Gateway::RunAfter(Millis delay, std::function<void()> action) {
  stop_timer_.expires_after(TimerDuration(delay));
  stop_timer_.async_wait([action = std::move(action)](error_code error) {
    if (!error) action();
  });
}

}  // namespace gateway::proxy
