// Keeps one server listed: registers it, renews its lease while it answers, and at the end drains and removes
// it.
#ifndef GATEWAY_REGISTRY_AGENT_HPP_
#define GATEWAY_REGISTRY_AGENT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/http_client.hpp"
#include "registry/catalog.hpp"

namespace gateway::registry {

struct AgentOptions {
  std::vector<boost::asio::ip::tcp::endpoint> services;  // in the order in which they are tried
  Member member;                                         // `term` above 0
  boost::asio::ip::tcp::endpoint at;                     // the member's address
  std::string check;  // path that has to answer 200; empty: a connection is enough
  base::Millis check_every = 1000;
  base::Millis check_patience = 1000;
  int check_failures = 3;     // in a row; then it is not renewed
  base::Millis grace = 5000;  // from the drain to the removal
};

// A file of TOML; throws base::ConfigError. `incarnation`, where the file gives none, is the caller's to set.
AgentOptions ReadAgentOptions(const std::string& path);

// What the agent does next, by what it was answered. No I/O.
class AgentState {
 public:
  enum class Say { kRegister, kRenew, kDrain, kRemove, kNothing };
  Say next() const {
    if (removed_) return Say::kNothing;
    if (stopping_)
      return !listed_ ? Say::kNothing : !drained_ ? Say::kDrain : leave_ ? Say::kRemove : Say::kRenew;
    return !healthy_ || replaced_ ? Say::kNothing : listed_ ? Say::kRenew : Say::kRegister;
  }
  // `code` is empty for a good answer.
  void Answered(Say what, const std::string& code);
  void Checked(bool good, int most_failures);
  void Stop() { stopping_ = true; }
  void GraceOver() { leave_ = true; }
  bool listed() const { return listed_; }
  bool drained() const { return drained_; }
  bool healthy() const { return healthy_; }
  bool replaced() const { return replaced_; }
  bool done() const { return removed_ || (stopping_ && !listed_); }

 private:
  bool listed_ = false, drained_ = false, removed_ = false, stopping_ = false, leave_ = false;
  bool healthy_ = false, replaced_ = false;
  int failures_ = 0;
};

class Agent {
 public:
  // `done` is called with an exit code: 0 after Stop(), 1 where another process has taken the id.
  Agent(boost::asio::io_context& io, AgentOptions options, std::function<void(int)> done);
  void Stop();

 private:
  void Check();
  void Act();
  void ActLater(base::Millis time);
  void Next();
  void Finish(int code);

  boost::asio::io_context& io_;
  const AgentOptions options_;
  const std::function<void(int)> done_;
  AgentState state_;
  boost::asio::steady_timer act_, check_, grace_;
  std::shared_ptr<base::ClientConnection> service_, server_;
  std::shared_ptr<boost::asio::ip::tcp::socket> probe_;
  std::size_t at_ = 0;
  int failed_ = 0;
  bool calling_ = false, finished_ = false;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_AGENT_HPP_
