// The side that clients see: the listener, /up, the parsing of requests, and the one answer to each.
#ifndef GATEWAY_PROXY_CLIENT_CLIENT_SERVER_HPP_
#define GATEWAY_PROXY_CLIENT_CLIENT_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/file_descriptor.hpp"
#include "gateway/policy.hpp"
#include "proxy/body.hpp"
#include "proxy/client/arrival.hpp"
#include "proxy/clock.hpp"
#include "proxy/http_types.hpp"

namespace gateway::proxy {

// A client's well-formed request; of a long body what is held so far.
struct ClientRequest {
  HttpRequest http;
  std::string id, class_name, tenant, key;
  Millis received = 0;               // when its last byte came to this machine, read then or later
  Millis allowed = 0;                // how long the client waits, from when it sent it
  std::shared_ptr<BodySource> rest;  // of the body, where that is not whole yet
  // Whether the client has left by now, be that told by `gone` yet or not: asks the socket.
  std::function<bool()> left;
  // To be called once; what follows is dropped. The answer's body may have a rest as well.
  std::function<void(HttpResponse, std::shared_ptr<BodySource>)> answer;
};

class ClientServer {
 public:
  struct Handlers {
    std::function<bool()> ready;
    std::function<void(ClientRequest)> taken;
    std::function<void(const std::string& id, Millis at)> whole;  // the last byte of a long body was read
    std::function<void(const std::string& id)> gone;  // the client of an unanswered request has left
    // The answer to a request that was taken is written, or has broken off on the way.
    std::function<void(const std::string& class_name, unsigned status, bool whole)> ended;
  };

  // Listens at once: on the listener given, or else at the address, where others may listen too if it is to
  // be shared. Throws ConfigError if it can't.
  ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, bool shared,
               base::FileDescriptor listener, std::size_t most_sessions, const policy::Settings& settings,
               std::size_t most_held, Handlers handlers);
  ~ClientServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::size_t sessions() const { return sessions_.size(); }
  // Requests taken whose answer is not written yet.
  std::size_t active() const { return active_; }

  // While it drains each answer closes its connection, and those between requests are closed a little later:
  // when the front sends no new ones any more.
  void Drain(bool on);
  // How many connections there may be from now on; those between requests make room when they are needed.
  void SetMost(std::size_t sessions);

  // The listener, for another process; -1 if there is none any more.
  int listener();
  // A client's connection from another process, between two requests.
  void Adopt(base::FileDescriptor client);
  // Stops accepting, for another process does from the same queue, and gives it each connection that has
  // nothing read of a request. What it doesn't take is closed. `done` follows when none is left.
  using Give = std::function<bool(base::FileDescriptor client)>;
  void GiveAway(Give give, std::function<void()> done);

  // Takes what has connected so far, then closes the listener and the connections between requests.
  // `done` follows when the last connection is closed.
  void StopListening(std::function<void()> done);

 private:
  class Session;
  void Accept();
  void AcceptLater(Millis time);
  void Accepted(boost::asio::ip::tcp::socket socket, bool adopted = false);
  void TurnedAway(boost::asio::ip::tcp::socket socket);
  void Closed(const std::shared_ptr<Session>& session);
  bool Full() const { return sessions_.size() >= most_sessions_; }
  bool EvictIdle();
  bool FindRoom();
  bool TurnsAway() const;  // no place has come free for too long
  void Sweep();
  // Checks a request against the settings and the protocol; the error is an answer's status and text.
  struct Fault;
  std::unique_ptr<Fault> CheckFraming(const HttpRequest& http, bool chunked, std::uint64_t length) const;
  std::unique_ptr<Fault> Check(const HttpRequest& http, ClientRequest& request) const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::size_t most_sessions_;
  const std::size_t most_held_;  // bytes of bodies, beyond which they are passed on sooner
  std::size_t held_ = 0;
  std::unordered_map<std::string, policy::Idempotency> classes_;
  const Handlers handlers_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  const Millis come_back_after_;  // told to whoever finds no place; 0: nothing is
  Millis had_room_at_ = 0;
  boost::asio::steady_timer sweep_;
  boost::asio::steady_timer accept_again_;
  bool accepting_ = false;
  AcceptQueue queue_;
  std::optional<Millis> drains_since_;
  std::size_t active_ = 0;
  std::function<void()> stopped_;
  Give give_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_CLIENT_CLIENT_SERVER_HPP_
