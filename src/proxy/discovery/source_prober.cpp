#include "proxy/discovery/source_prober.hpp"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

namespace gateway::proxy {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kSourceProbeTimeoutMs = 1000;
constexpr const char* kCompleteListTarget = "/discovery/hosts";
constexpr Millis kCompleteListTimeoutMs = 3500;
// After a reload a gateway must receive a change within 4 s, otherwise within 6 s. The interval and
// SourceSelection::kCatchUpTimeoutMs leave 1 s for the calls, and 2 s more if a probe and a call are slow.
constexpr Millis kMaxIntervalMs = 2000;
constexpr Millis kMinIntervalMs = 500;
// The maximum share by which the interval is shortened at random, to spread the probes of many gateways.
constexpr double kIntervalJitterShare = 0.25;

}  // namespace

SourceProber::SourceProber(boost::asio::io_context& io, std::uint64_t seed,
                           std::function<WatchPosition()> position, ResultCallback on_result)
    : io_(io),
      position_(std::move(position)),
      on_result_(std::move(on_result)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      next_round_(io) {}

SourceProber::~SourceProber() { Stop(); }

void SourceProber::Start(std::vector<std::vector<tcp::endpoint>> sources, std::size_t skipped) {
  Stop();
  sources_ = std::move(sources);
  calls_.resize(sources_.size());
  fetches_complete_list_.assign(sources_.size(), false);
  skipped_ = skipped;
  StartRound();
}

void SourceProber::ProbeSoon() {
  if (!sources_.empty()) ScheduleRound(std::max(0.0, last_round_at_ + kMinIntervalMs - Now()));
}

void SourceProber::FetchCompleteList(std::size_t source) {
  if (calls_[source] && fetches_complete_list_[source]) return;
  if (calls_[source]) calls_[source]->Abandon();
  fetches_complete_list_[source] = true;
  StartCall(source, kCompleteListTarget, kCompleteListTimeoutMs);
}

void SourceProber::Stop() {
  next_round_.cancel();
  for (const std::shared_ptr<ListCall>& call : calls_) {
    if (call) call->Abandon();
  }
  calls_.clear();
  sources_.clear();
}

void SourceProber::StartRound() {
  for (std::size_t source = 0; source < sources_.size(); ++source) {
    if (source != skipped_ && !calls_[source]) StartProbe(source);
  }
  ++rounds_;
  last_round_at_ = Now();
  const double shortened = kIntervalJitterShare * std::uniform_real_distribution<double>(0, 1)(random_);
  ScheduleRound(kMaxIntervalMs * (1 - shortened));
}

void SourceProber::ScheduleRound(Millis interval) {
  next_round_.expires_after(TimerDuration(interval));
  next_round_.async_wait([this](error_code ec) {
    if (!ec) StartRound();
  });
}

void SourceProber::StartProbe(std::size_t source) {
  fetches_complete_list_[source] = false;
  StartCall(source, FormatListTarget(position_(), /*max_wait=*/0), kSourceProbeTimeoutMs);
}

void SourceProber::StartCall(std::size_t source, const std::string& target, Millis timeout) {
  const std::vector<tcp::endpoint>& services = sources_[source];
  ListCall::Options options;
  options.service = services[rounds_ % services.size()];
  options.target = target;
  options.keep_alive = false;
  options.connect_timeout = kSourceProbeTimeoutMs;
  options.response_timeout = timeout;
  ListCall::Observer& observer = *this;  // make_shared can't convert to the private base
  calls_[source] = std::make_shared<ListCall>(io_, options, nullptr, observer);
  calls_[source]->Start();
}

void SourceProber::OnListCallEnded(ListCall& call, ListCall::Result result) {
  for (std::size_t source = 0; source < calls_.size(); ++source) {
    if (calls_[source].get() != &call) continue;
    calls_[source].reset();
    return on_result_(source, result);
  }
}

}  // namespace gateway::proxy
