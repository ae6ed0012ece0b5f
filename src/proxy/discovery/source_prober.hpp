// Probes the discovery services of several sources: calls each of them without a long poll, repeatedly.
#ifndef GATEWAY_PROXY_DISCOVERY_SOURCE_PROBER_HPP_
#define GATEWAY_PROXY_DISCOVERY_SOURCE_PROBER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "proxy/clock.hpp"
#include "proxy/discovery/list_call.hpp"
#include "proxy/discovery/watch_position.hpp"

namespace gateway::proxy {

// To be used in the event loop's thread only.
class SourceProber final : private ListCall::Observer {
 public:
  // Called from the event loop with the index of the probed source. Must not destroy the prober.
  using ResultCallback = std::function<void(std::size_t source, const ListCall::Result& result)>;

  // `position` returns the position from which a probe requests changes. `seed` is the seed of the jitter.
  SourceProber(boost::asio::io_context& io, std::uint64_t seed, std::function<WatchPosition()> position,
               ResultCallback on_result);
  // Abandons all calls.
  ~SourceProber() override;
  SourceProber(const SourceProber&) = delete;
  SourceProber& operator=(const SourceProber&) = delete;

  // Probes the sources at once, except `skipped`, and from then on at least every 2 s until Stop().
  // `sources` has the services of each source, at least one each; each round probes one of them.
  void Start(std::vector<std::vector<boost::asio::ip::tcp::endpoint>> sources, std::size_t skipped);
  // Brings the next round forward to 500 ms after the start of the last one. Does nothing after Stop().
  void ProbeSoon();
  // Requests the complete list of a source at once, in place of a probe in progress. Does nothing if the
  // request is already in progress. To be called between Start() and Stop().
  void FetchCompleteList(std::size_t source);
  // Abandons all calls and starts no further ones.
  void Stop();

 private:
  void OnListCallEnded(ListCall& call, ListCall::Result result) override;
  void StartRound();
  void ScheduleRound(Millis interval);
  void StartProbe(std::size_t source);
  void StartCall(std::size_t source, const std::string& target, Millis timeout);

  boost::asio::io_context& io_;
  const std::function<WatchPosition()> position_;
  const ResultCallback on_result_;
  std::minstd_rand random_;
  std::vector<std::vector<boost::asio::ip::tcp::endpoint>> sources_;
  std::vector<std::shared_ptr<ListCall>> calls_;  // by source; null if no call is in progress
  std::vector<bool> fetches_complete_list_;       // by source: whether the call requests the complete list
  std::size_t skipped_ = 0;
  std::size_t rounds_ = 0;
  Millis last_round_at_ = 0;
  boost::asio::steady_timer next_round_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_SOURCE_PROBER_HPP_
