#include "proxy/discovery/source_failover.hpp"

#include <boost/system/error_code.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "base/log.hpp"
#include "base/socket_address.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

std::string CandidateToText(const DiscoveryCandidate& candidate) {
  return base::FormatSocketAddress(candidate.services.front()) + " (" + ToText(candidate.source) + ")";
}

}  // namespace

SourceFailover::SourceFailover(boost::asio::io_context& io, std::uint64_t seed, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      selection_(1, {}),
      prober_(
          io, seed, callbacks_.position,
          [this](std::size_t candidate, const ListCall::Result& result) { OnProbeEnded(candidate, result); }),
      catch_up_timer_(io) {}

void SourceFailover::Start(std::vector<DiscoveryCandidate> candidates) {
  candidates_ = std::move(candidates);
  selection_ = SourceSelection(candidates_.size(), callbacks_.position());
  StartProbes();
}

void SourceFailover::RecordList(ListOrigin origin) {
  if (origin == ListOrigin::kFormerService) return selection_.RecordFormerList(callbacks_.position());
  if (selection_.settled()) return;
  selection_.RecordList(callbacks_.position());
  if (!selection_.settled()) return;
  prober_.Stop();
  base::Log(base::Level::kInfo, "discovery", "source_confirmed",
            "discovery: " + CandidateToText(candidates_[selection_.current()]) +
                " publishes changes; the addresses of other sources are not called");
}

void SourceFailover::RecordFailure() {
  const bool was_settled = selection_.settled();
  selection_.RecordFailure(Now());
  was_settled ? StartProbes() : prober_.ProbeSoon();
  SwitchIfNecessary();
}

void SourceFailover::StartProbes() {
  if (selection_.settled()) return prober_.Stop();
  std::vector<std::vector<tcp::endpoint>> sources;
  for (const DiscoveryCandidate& candidate : candidates_) sources.push_back(candidate.services);
  plausible_.assign(candidates_.size(), false);
  prober_.Start(std::move(sources), selection_.current());
}

void SourceFailover::OnProbeEnded(std::size_t candidate, const ListCall::Result& result) {
  const auto* const list = std::get_if<EndpointList>(&result);
  if (list != nullptr && list->complete) plausible_[candidate] = callbacks_.is_plausible(*list);
  const bool is_usable = list != nullptr && (!list->complete || plausible_[candidate]);
  std::optional<WatchPosition> listed;
  if (is_usable) listed = {list->revision, list->epoch};
  selection_.RecordProbe(candidate, listed, Now());
  SwitchIfNecessary();
}

// Before a switch, the complete list of the target shows that the target does not belong to another system,
// which may use an address that discovery has left. A delta does not show that.
void SourceFailover::SwitchIfNecessary() {
  if (const std::optional<std::size_t> target = selection_.Target(Now())) {
    if (!plausible_[*target]) return prober_.FetchCompleteList(*target);
    LogSwitch(selection_.current(), *target);
    selection_.SwitchTo(*target);
    StartProbes();
    return callbacks_.switch_to(candidates_[*target].services);
  }
  if (selection_.HasNewerProbe()) ScheduleCatchUpCheck();
}

// Checks again when the watch has had the time to catch up with the probe.
void SourceFailover::ScheduleCatchUpCheck() {
  if (std::exchange(catch_up_check_scheduled_, true)) return;
  catch_up_timer_.expires_after(TimerDuration(SourceSelection::kCatchUpTimeoutMs));
  catch_up_timer_.async_wait([this](error_code ec) {
    if (ec) return;
    catch_up_check_scheduled_ = false;
    SwitchIfNecessary();
  });
}

void SourceFailover::LogSwitch(std::size_t from, std::size_t to) const {
  base::Log(base::Level::kWarning, "discovery", "source_switched",
            "discovery: switched to " + CandidateToText(candidates_[to]) + ", which responds; " +
                CandidateToText(candidates_[from]) + " does not respond or lists older revisions",
            {{"address", base::FormatSocketAddress(candidates_[to].services.front())},
             {"source", ToText(candidates_[to].source)}});
}

}  // namespace gateway::proxy
