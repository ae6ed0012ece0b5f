// Discovery as each gateway meets it, behind a link of its own: a stand-in by the protocol page (the whole
// list, watches, news that come late), or a way through to the project's own list service, with the hosts'
// addresses as this gateway reaches them.
#ifndef GATEWAY_LAB_LIST_SERVICE_HPP_
#define GATEWAY_LAB_LIST_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>
#include <vector>

#include "lab/addresses.hpp"
#include "lab/http.hpp"
#include "lab/registry_process.hpp"

namespace gateway::lab {

class ListService {
 public:
  struct Member {
    std::string id, zone, kind;
    std::string phase = "up";
    double size = 1;
    double up_since = 0;        // Unix time in ms
    std::int64_t revision = 1;  // of its last change
    Millis news_at = 0;         // of that change
  };
  struct Setting {
    boost::asio::io_context& io;
    const Addresses& addresses;
    int gateways;
    Millis delay;
    std::function<Link*(int gateway)> link;
    RegistryProcess* registry = nullptr;  // none: the stand-in
  };
  ListService(Setting setting, std::vector<Member> members);

  // Becomes news after the delay.
  void Change(int host, const std::string& phase, double up_since);
  void SetDown(bool down);
  // Of answers of the list service, this share is cut off half-way.
  void SetTruncation(double share) { truncation_ = share; }

  // The whole list in discovery's form, as this gateway sees the addresses.
  std::string Whole(int gateway) const { return Body(gateway, 0, true); }
  // When this gateway was told that the host drains or is gone; -1: it was not, or the host is up again.
  // What it could have asked for counts as told some seconds later at the latest (PROTOCOL, "Figures").
  Millis Told(int gateway, int host) const;
  // A gateway that starts again knows only what its configuration says.
  void Forget(int gateway);
  std::uint64_t calls() const { return calls_; }
  // Revision of the newest list that passed to this gateway; 0: none.
  std::int64_t Passed(int gateway) const { return passed_[static_cast<std::size_t>(gateway)]; }

 private:
  struct Watch {
    explicit Watch(boost::asio::io_context& io) : timer(io) {}
    int gateway = 0;
    std::int64_t after = 0;
    std::shared_ptr<ServerConnection> connection;
    boost::asio::steady_timer timer;
  };
  void Open();
  void Requested(int gateway, const std::shared_ptr<ServerConnection>& connection,
                 const HttpRequest& request);
  void Answer(int gateway, std::int64_t after, bool whole,
              const std::shared_ptr<ServerConnection>& connection);
  std::string Body(int gateway, std::int64_t after, bool whole) const;
  void PassOn(int gateway, const std::shared_ptr<ServerConnection>& connection, const std::string& target);
  void PassBack(int gateway, const std::shared_ptr<ServerConnection>& connection, HttpResponse response);
  void WakeAll();

  Setting s_;
  std::vector<Member> members_;
  std::int64_t revision_ = 1;
  bool down_ = false;
  Millis up_at_ = 0;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::vector<Millis>> told_;
  std::uint64_t calls_ = 0;
  std::vector<std::int64_t> passed_;
  std::map<std::shared_ptr<ServerConnection>, std::shared_ptr<ClientConnection>> through_;
  double truncation_ = 0;
  int answers_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LIST_SERVICE_HPP_
