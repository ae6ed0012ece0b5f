// The list of hosts: its form, and the watch on discovery that keeps it up to date.
#ifndef GATEWAY_PROXY_DISCOVERY_DISCOVERY_HPP_
#define GATEWAY_PROXY_DISCOVERY_DISCOVERY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/socket_address.hpp"
#include "gateway/policy.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {

struct ListedEndpoint {
  policy::EndpointInfo info;
  boost::asio::ip::tcp::endpoint address;
};

struct EndpointList {
  std::int64_t revision = 0;
  bool complete = true;  // else only what changed
  std::vector<ListedEndpoint> endpoints;
  // Of the project's own list service; the platform's says neither.
  std::string epoch;           // of its history: revisions of another one count anew
  std::int64_t confirmed = 0;  // revision of the last removal by operators' word
};

using base::ParseSocketAddress;

// Nothing if the text is broken in any part: half a list must not pass for a whole one.
std::optional<EndpointList> ParseEndpointList(std::string_view text);
// The same form.
std::string ToText(const EndpointList& list);

class Discovery {
 public:
  struct Handlers {
    std::function<void(EndpointList)> told;
    // The watch has ended, with a call that was begun so many ms ago; Watch() begins a new one.
    std::function<void(Millis took)> failed;
    // Why such a list must not be believed; empty: it may. None: all are.
    std::function<std::string(const EndpointList&)> refused;
  };
  // Several services of one list. One watch at a time: it moves on when a call fails, when the list is
  // refused or when another service has news that this one does not get, and comes back to the first.
  struct Several {
    std::vector<boost::asio::ip::tcp::endpoint>
        others;                   // behind the first, in the order in which they are tried
    std::uint64_t seed = 0;       // of the jitter
    std::string epoch;            // of the revision known
    Millis look_every = 5000;     // at another service, whether it has news
    Millis news_within = 2000;    // that this one may take longer
    Millis return_after = 30000;  // away from the first; doubles each time that it fails soon again
  };
  // `sure`: the revision is this service's. Else, as that of a list from the disk, it is only where the first
  // call begins: the service may count anew by now.
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, std::int64_t revision,
            bool sure, Handlers handlers, Several several);

  // Begins a watch, from the last revision known; does nothing while one is on.
  void Watch();

  // Discovery has another address from now on: begins a watch there at once, from the last revision known.
  // What the old address has written, or writes before the new one has answered, is told all the same.
  void Move(const boost::asio::ip::tcp::endpoint& address);

  // When a call was last answered with a list that was taken; 0: never. And by which service, from 0.
  Millis heard_at() const { return heard_at_; }
  std::size_t service() const { return at_; }

 private:
  struct Call;
  const boost::asio::ip::tcp::endpoint& address() const { return addresses_[at_]; }
  std::string Target(Millis wait) const;
  bool IsOlder(const EndpointList& list, bool sure) const;
  // The list in the answer to a call; nothing, and why not, where it must not be taken.
  std::optional<EndpointList> Acceptable(const Call& call, bool sure, std::string& why) const;
  void Tell(EndpointList list);
  void MoveOn(Millis begun);
  void SwitchTo(std::size_t service, const std::string& why);
  void LookLater();
  void LookAt(std::size_t service);
  void Looked(std::size_t service, const EndpointList& list);
  void Ask();
  void Connected(const std::shared_ptr<Call>& call);
  static void Exchange(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
                       const std::shared_ptr<Call>& call, std::function<void(const std::string& why)> done);
  void Answered(const std::shared_ptr<Call>& call);
  void KeepFormer();
  void FormerAnswered(const std::string& unread);
  void DropFormer();
  void Fail(const std::shared_ptr<Call>& call, const std::string& why);
  void Say(const Call& call, const std::string& what, bool failed);
  void SayTold(const Call& call, const EndpointList& list);
  void Drop();
  static void Close(std::shared_ptr<boost::asio::ip::tcp::socket>& socket);

  boost::asio::io_context& io_;
  std::vector<boost::asio::ip::tcp::endpoint> addresses_;
  std::size_t at_ = 0;  // of them
  std::int64_t revision_;
  std::string epoch_;
  const Handlers handlers_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;  // kept between the calls of a watch
  std::shared_ptr<Call> call_;  // the one that is on; results of others are dropped, but the former's
  std::shared_ptr<boost::asio::ip::tcp::socket> former_socket_;
  std::shared_ptr<Call> former_;  // was on at the old address when discovery moved, and may be answered yet
  bool former_sure_ = false;      // the revision was the old address's then
  boost::asio::steady_timer pause_;
  bool watching_ = false;
  bool moved_;              // or not sure of the revision, and not heard from there yet
  Millis quiet_until_ = 0;  // no line on a call is logged before
  const Several several_;
  std::minstd_rand random_;
  boost::asio::steady_timer look_, news_;
  bool news_due_ = false;  // another service has news, and this one a moment to get them
  std::size_t failed_in_row_ = 0, looked_at_ = 0;
  Millis heard_at_ = 0, left_first_at_ = 0, back_at_ = 0, return_after_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_DISCOVERY_HPP_
