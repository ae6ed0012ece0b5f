// src/gateway: sockets, files and signals of one gateway. No decision on requests, and nothing that another
// program needs. This: turns what sockets and timers report into the policy's events, and carries out its
// actions.
#ifndef GATEWAY_PROXY_GATEWAY_HPP_
#define GATEWAY_PROXY_GATEWAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/admin/management.hpp"
#include "proxy/admin/metrics.hpp"
#include "proxy/client/client_server.hpp"
#include "proxy/clock.hpp"
#include "proxy/config.hpp"
#include "proxy/discovery/endpoint_list_watcher.hpp"
#include "proxy/restart/hot_restart.hpp"
#include "proxy/restart/inherited_state.hpp"
#include "proxy/restart/saved_state.hpp"
#include "proxy/restart/state_saver.hpp"
#include "proxy/restart/transferred_state.hpp"
#include "proxy/upstream/upstream_pool.hpp"

namespace gateway::proxy {

class Gateway {
 public:
  // Listens and watches at once. Throws std::exception if the settings or the address can't work.
  Gateway(boost::asio::io_context& io, const Config& config);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }
  // Where operators call, if they do.
  std::optional<boost::asio::ip::tcp::endpoint> management() const;

  // From now on the list of hosts comes from there.
  void MoveDiscovery(const boost::asio::ip::tcp::endpoint& address);

  // A planned end: goes on accepting for a moment, answers all that was taken, then calls `done`.
  void Stop(std::function<void()> done);

 private:
  struct Attempt {
    std::string host;
    Millis sent = 0;           // or when the request was whole, if that was later
    Millis timeout = 0;        // from then on
    std::uint64_t number = 0;  // the pool's
    bool out = true;
  };
  // A client's request, until it is answered and all its attempts have ended.
  struct ActiveRequest {
    explicit ActiveRequest(boost::asio::io_context& io) : overdue(io) {}
    std::shared_ptr<const HttpRequest> http;
    std::shared_ptr<BodySource> rest;  // of the request, where it was not whole when it was taken
    bool whole = true;                 // its last byte is there
    std::string class_name;
    Millis received = 0;         // when its last byte came, or what was held of a long one
    bool direct = true;          // sent or refused by the very call that took it
    Millis allowed = 0;          // from then on
    std::function<bool()> left;  // whether its client has, by the socket
    std::function<void(HttpResponse, std::shared_ptr<BodySource>)> answer;
    Millis leaves_at = 0;  // by then the policy's answer must be under way
    bool answered = false;
    std::vector<Attempt> attempts;
    boost::asio::steady_timer overdue;
  };

  Gateway(boost::asio::io_context& io, const Config& config, InheritedState inheritance,
          std::optional<SavedState> kept);

  TransferredState Leave() const;
  void SetPlaces(bool half);
  void LeaveTo(std::function<void()> done);
  void FinishBy(Millis time, const std::function<void()>& done);

  void Take(ClientRequest request);
  void ApplyList(const EndpointList& list);
  void ListFailed(Millis took);
  bool ListOld() const;
  void Whole(const std::string& id, Millis at);
  void Begun(const std::string& id, std::size_t attempt, HttpResponse response,
             std::shared_ptr<BodySource> rest);
  void Ended(const std::string& id, std::size_t attempt, policy::AttemptResult result, HttpResponse response);
  void Gone(const std::string& id);
  bool Awaited(const std::string& id);
  void Overdue(const std::string& id);
  std::string Manage(const std::string& call);
  bool Ready() const { return listed_ && !stopping_ && !draining_; }
  void KeepLater(Millis delay);
  void SetDraining(bool on);
  void CountLater();
  void LogCounts();

  // Hands an event to the policy and carries out what it says, one event after the other: what an action
  // causes at once waits in the queue.
  void Report(policy::Event event);
  void Do(const policy::Send& send);
  void Handled(const ActiveRequest& active, Millis now, bool sent);
  void Do(const policy::Reject& refuse);
  void Do(const policy::Fail& fail);
  void Do(const policy::Cancel& cancel);
  void Do(const policy::SetTimer& timer);
  void Do(const policy::WatchEndpointList& watch);
  void Do(const policy::LogLine& log);

  ActiveRequest* Find(const std::string& id);
  void Answer(ActiveRequest& active, HttpResponse response, std::shared_ptr<BodySource> rest = nullptr);
  void SetDeadline(const std::string& id, ActiveRequest& active, Millis gives_up);
  void Settle(const std::string& id);

  boost::asio::io_context& io_;
  const policy::Settings settings_;
  policy::Policy policy_;
  const std::size_t most_clients_, most_hosts_;  // connections, while this process is the whole gateway
  UpstreamPool hosts_;
  EndpointListWatcher list_;
  std::unordered_map<std::string, ActiveRequest> active_requests_;
  std::deque<policy::Event> events_;
  bool reporting_ = false;
  bool listed_ = false;  // some list of hosts is known
  bool stopping_ = false;
  bool draining_ = false;  // by the operators' word
  Metrics metrics_;
  boost::asio::steady_timer stop_;
  boost::asio::steady_timer counting_;
  UpstreamPool::Counts counted_;  // as last logged
  int gone_ = 0;                  // clients that left unanswered, since then
  std::uint64_t left_ = 0;        // and since the start
  HotRestart replacement_;
  std::optional<StateSaver> keeper_;
  boost::asio::steady_timer keep_;
  const Millis list_old_after_, started_at_;
  bool said_old_ = false;
  Millis list_confirmed_at_ = 0;  // when the list was last known to hold
  bool list_kept_ = false;        // the list in force is from the disk, and discovery has not answered yet
  ClientServer clients_;
  std::optional<ManagementServer> management_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_GATEWAY_HPP_
