#include "proxy/gateway.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "base/log.hpp"
#include "proxy/admin/start_log.hpp"
#include "proxy/clock.hpp"
#include "proxy/listen.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Millis kAcceptAfterStop = 500;   // the front sends new connections for up to 400 ms after SIGTERM
constexpr Millis kAnswerAllWithin = 3300;  // after SIGTERM: SIGKILL comes at 3,700 ms or later
constexpr Millis kFlushTime = 200;         // for the last answers to leave
constexpr std::size_t kMaximumManagementCalls = 16;  // at a time

InheritedState InheritFromRunningProcess(const Config& config) {
  if (config.handover.empty()) return {};
  return Inherit(config.handover, config.listen);
}

std::optional<SavedState> LoadSavedState(const Config& config) {
  if (config.state_folder.empty() || !config.state_loaded) return std::nullopt;
  return LoadState(config.state_folder, config.state_owner);
}

// The watch begins at the newest revision known. The revision of a list from the disk is unsure: the service
// may have started to count anew.
EndpointListWatcher::Options WatcherOptions(const Config& config, const InheritedState& inherited,
                                            const std::optional<SavedState>& saved) {
  EndpointListWatcher::Options options;
  options.service = config.discovery;
  options.other_services = config.other_discoveries;
  options.seed = config.seed;
  options.guarded = config.list_guarded;
  options.most_removed = config.most_removed;
  options.revision = config.known.revision;
  options.sure = true;
  if (inherited.handed_over) {
    options.revision = inherited.handed_over->list.revision;
    options.epoch = inherited.handed_over->list.epoch;
  } else if (saved) {
    options.revision = std::max(config.known.revision, saved->list.revision);
    options.epoch = saved->list.epoch;
    options.sure = saved->list.revision <= config.known.revision;
  }
  return options;
}

// Whether another process listens there that handed nothing over.
bool IsAddressTaken(const Config& config, const InheritedState& inherited) {
  return !config.handover.empty() && !inherited.listener && IsTaken(config.listen);
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config)
    : Gateway(io, config, InheritFromRunningProcess(config), LoadSavedState(config)) {}

Gateway::Gateway(asio::io_context& io, const Config& config, InheritedState inherited,
                 std::optional<SavedState> saved)
    : io_(io),
      settings_(config.settings),
      budget_(MakeDescriptorBudget(config.sockets)),
      driver_(io, config.settings, config.seed, requests_, [this] { list_.Watch(); }),
      upstream_(io,
                {config.dial_timeout, config.idle_timeout, budget_.upstream_connections, config.memory / 4}),
      list_(io, WatcherOptions(config, inherited, saved), ListHandlers()),
      metrics_(config.settings),
      requests_(io, settings_, driver_, upstream_, metrics_),
      hot_restart_(io, config.handover, std::move(inherited.link), IsAddressTaken(config, inherited),
                   HotRestartHandlers()),
      list_stale_after_(config.list_old_after),
      started_at_(Now()),
      stop_timer_(io),
      clients_(io, config.listen, !config.handover.empty(), std::move(inherited.listener),
               budget_.client_connections, config.settings, config.memory / 4, ClientHandlers()),
      commands_(*this, metrics_),
      status_log_(io, list_stale_after_, [this] { return Status(); }) {
  StartManagement(config);
  RestoreList(config, inherited.handed_over, saved);
  StartSaving(config);
  RestoreLearnedState(inherited.handed_over, saved);
  hot_restart_.Begin();
  if (!settings_.poll_endpoint_list) list_.Watch();
  LogSettings(settings_);
  status_log_.Start();
}

EndpointListWatcher::Handlers Gateway::ListHandlers() {
  EndpointListWatcher::Handlers handlers;
  handlers.answered = [this] {
    list_from_state_ = false;
    list_confirmed_at_ = Now();
  };
  handlers.changed = [this](const EndpointList& list) { ApplyList(list); };
  handlers.failed = [this](Millis call_duration) {
    driver_.Report(policy::EndpointListEvent{policy::EndpointListEvent::Kind::kFailure, {}, call_duration});
  };
  return handlers;
}

HotRestart::Handlers Gateway::HotRestartHandlers() {
  HotRestart::Handlers handlers;
  handlers.ready = [this] { return IsReady(); };
  handlers.stopping = [this] { return stopping_; };
  handlers.listener = [this] { return clients_.listener(); };
  handlers.handed_over = [this] { return StateForSuccessor(); };
  handlers.scale = [this](double factor) { driver_.policy().ScaleToShare(factor); };
  handlers.places = [this](bool half) { UseHalfOfConnections(half); };
  handlers.adopt = [this](Descriptor client) { clients_.Adopt(std::move(client)); };
  return handlers;
}

ClientServer::Handlers Gateway::ClientHandlers() {
  ClientServer::Handlers handlers;
  handlers.ready = [this] { return AnswersReady(); };
  handlers.taken = [this](ClientRequest request) { requests_.OnRequest(std::move(request)); };
  handlers.whole = [this](const std::string& id, Millis at) { requests_.OnRequestComplete(id, at); };
  handlers.gone = [this](const std::string& id) { requests_.OnClientDisconnected(id); };
  handlers.ended = [this](const std::string& class_name, unsigned status, bool complete) {
    metrics_.Answered(class_name, status, complete);
  };
  return handlers;
}

void Gateway::StartManagement(const Config& config) {
  if (!config.management) return;
  const std::size_t calls = std::min(kMaximumManagementCalls, config.sockets / 16);
  management_.emplace(io_, *config.management, std::max<std::size_t>(2, calls),
                      [this](const std::string& call) { return commands_.Run(call); });
}

// A running process knows a newer list than the disk, and the disk may know a newer one than the
// configuration.
void Gateway::RestoreList(const Config& config, const std::optional<HandoverState>& handed_over,
                          const std::optional<SavedState>& saved) {
  list_from_state_ = !handed_over && saved && saved->list.revision > config.known.revision;
  if (!handed_over && saved && saved->draining) SetDraining(true);
  list_confirmed_at_ = list_from_state_ ? saved->kept_at : Now();
  if (handed_over) return list_.Apply(handed_over->list);
  list_.Apply(list_from_state_ ? saved->list : config.known);
  if (list_from_state_) LogRestoredList(list_.revision(), list_.hosts().size(), Now() - saved->kept_at);
}

void Gateway::RestoreLearnedState(const std::optional<HandoverState>& handed_over,
                                  const std::optional<SavedState>& saved) {
  if (handed_over) return driver_.policy().ImportState(Now(), handed_over->learned);
  if (!saved || !saved->learned) return;
  const policy::LearnedState& learned = *saved->learned;
  driver_.policy().ImportState(Now(), learned);
  LogRestoredLearnedState(learned.endpoints.size(), Now() - learned.exported_at);
}

// Runs after RestoreList, so that a list from the configuration does not replace a newer one on the disk
// before discovery has answered.
void Gateway::StartSaving(const Config& config) {
  if (config.state_folder.empty()) return;
  state_saver_.emplace(config.state_folder, config.state_owner, config.state_sync_delay);
  save_schedule_.emplace(io_, *state_saver_, [this] {
    return SavedState{list_.Listed(), draining_, list_confirmed_at_, driver_.policy().ExportState()};
  });
}

void Gateway::ApplyList(const EndpointList& list) {
  upstream_.Update(list);  // before the policy: from now on nothing is sent by the former list
  listed_ = listed_ || !list.endpoints.empty();
  driver_.Report(ToNews(list));
  hot_restart_.ReadyNow();
  if (list_.hosts().empty()) return;
  SaveWithin(StateSaveSchedule::DelayAfterListChange(settings_.gateway_index));
}

void Gateway::SaveWithin(Millis delay) {
  if (save_schedule_) save_schedule_->SaveWithin(delay);
}

bool Gateway::IsListStale() const {
  return Now() - std::max(list_.heard_at(), started_at_) > list_stale_after_;
}

void Gateway::MoveDiscovery(const asio::ip::tcp::endpoint& address) {
  const std::string text = address.address().to_string() + ":" + std::to_string(address.port());
  base::Log(base::Level::kInfo, "discovery", "moved", "discovery is at " + text + " now",
            {{"address", text}});
  list_.Move(address);
}

std::optional<asio::ip::tcp::endpoint> Gateway::management() const {
  if (!management_) return std::nullopt;
  return management_->address();
}

// While it stops, a process that was replaced leaves the answer to its successor, which shares the listener.
bool Gateway::AnswersReady() const {
  return IsReady() || (stopping_ && !draining_ && hot_restart_.Succeeded());
}

GatewayStatus Gateway::Status() const {
  GatewayStatus status;
  status.ready = IsReady();
  status.stopping = stopping_;
  status.draining = draining_;
  status.active_requests = clients_.active();
  status.client_connections = clients_.sessions();
  status.disconnected_clients = requests_.disconnected();
  status.upstream_connections = upstream_.connections();
  status.upstream_counts = upstream_.counts();
  status.endpoints = list_.hosts().size();
  status.ejected_endpoints = driver_.policy().EjectedEndpoints();
  status.list_revision = list_.revision();
  status.list_service = list_.service();
  status.list_age = Now() - std::max(list_.heard_at(), list_confirmed_at_);
  status.list_stale = IsListStale();
  status.list_from_state = list_from_state_;
  status.saves_state = state_saver_.has_value();
  if (state_saver_) {
    status.state_ok = state_saver_->ok();
    status.state_writes = state_saver_->written();
  }
  return status;
}

void Gateway::SetDraining(bool draining) {
  draining_ = draining;
  clients_.Drain(draining);
  SaveWithin(0);
}

void Gateway::UseHalfOfConnections(bool half) {
  const DescriptorBudget budget = half ? budget_.Half() : budget_;
  clients_.SetMost(budget.client_connections);
  upstream_.SetMost(budget.upstream_connections);
}

void Gateway::Stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  if (hot_restart_.Succeeded()) return StopForSuccessor(done);
  clients_.Drain(true);
  stop_timer_.expires_after(Span(kAcceptAfterStop));
  stop_timer_.async_wait([this, done = std::move(done)](error_code) {
    clients_.StopListening(done);
    FinishWithin(kAnswerAllWithin - kAcceptAfterStop, done);
  });
}

// The successor accepts from the same listener and is given the connections between requests; the requests
// that are active are finished here.
void Gateway::StopForSuccessor(const std::function<void()>& done) {
  hot_restart_.Leave();
  clients_.GiveAway([this](Descriptor client) { return hot_restart_.Give(std::move(client)); },
                    [this, done] { hot_restart_.Flushed(done); });
  FinishWithin(kAnswerAllWithin, done);
}

void Gateway::FinishWithin(Millis time, const std::function<void()>& done) {
  stop_timer_.expires_after(Span(time));
  stop_timer_.async_wait([this, done](error_code) {
    requests_.TimeOutAll();
    stop_timer_.expires_after(Span(kFlushTime));
    stop_timer_.async_wait([done](error_code) { done(); });
  });
}

}  // namespace gateway::proxy
