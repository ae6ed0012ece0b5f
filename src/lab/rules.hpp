// The rules that no gateway may break, watched from the hosts' and the clients' side. No I/O, no clock.
#ifndef GATEWAY_LAB_RULES_HPP_
#define GATEWAY_LAB_RULES_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

// Each request's entry is dropped some time after its last news, so memory follows the rate, not the play's
// length.
class Rules {
 public:
  struct Broken {
    std::uint64_t ran_twice = 0;      // one that must run once began to run again
    std::uint64_t attempts_over = 0;  // more attempts than the settings allow
    std::uint64_t unknown = 0;        // reached a host, and no client sent it
    std::uint64_t late_sends = 0;     // to a host longer draining or gone than the grace
    std::uint64_t cold_falls = 0;     // a cold host pushed over
    std::uint64_t forged = 0;         // served with what no host made for it
    std::uint64_t lost = 0;           // no final answer
    std::uint64_t crashed = 0;        // a gateway ended that no fault had ended
    std::map<std::string, std::uint64_t> Named() const;
  };

  Rules(int max_attempts, Millis grace) : max_attempts_(max_attempts), grace_(grace) {}

  void Asked(Millis now, const std::string& id, bool repeatable, Millis work);
  std::optional<Millis> WorkOf(const std::string& id) const;  // nothing: no client sent it
  bool HasReached(const std::string& id) const;
  // A request has reached a host of the list: `told` is when its gateway was told that the host drains or is
  // gone.
  void Reached(Millis now, const std::string& id, Millis told);
  void Began(Millis now, const std::string& id);  // its work has begun
  // A client was served; `made` is the mark that the host put into its answer.
  void Served(const std::string& id, const std::string& body);
  void Lost(const std::string& id, const std::string& how);
  void Fell(const std::string& host);
  void Crashed(const std::string& how);

  // What a host writes into the answer to this request, so that no gateway can make it up.
  static std::string Mark(const std::string& id, std::uint64_t seed);
  void SetSeed(std::uint64_t seed) { seed_ = seed; }

  const Broken& broken() const { return broken_; }
  // The first few breaches in words.
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  struct Entry {
    Millis asked = 0;
    bool repeatable = true;
    Millis work = 0;
    int reached = 0, began = 0;
  };
  void Note(std::uint64_t& count, const std::string& what);
  void Forget(Millis now);

  const int max_attempts_;
  const Millis grace_;
  std::uint64_t seed_ = 0;
  std::unordered_map<std::string, Entry> entries_;
  std::vector<std::pair<Millis, std::string>> order_;  // entries by the time they were asked
  std::size_t forgotten_ = 0;
  Broken broken_;
  std::vector<std::string> examples_;
};

// What the front knows of one gateway (PROTOCOL, "Clients to gateways"; the operators' page on drains).
class FrontView {
 public:
  explicit FrontView(Millis notices) : notices_(notices) {}
  enum class Heard { kYes, kNo, kNothing };
  void Tell(Millis now, Heard heard);
  bool Deals(Millis now) const;  // new connections go there

 private:
  const Millis notices_;
  bool in_ = false;
  Millis no_since_ = -1, silent_since_ = -1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RULES_HPP_
