// src/fleet: what gateways tell one another. So far who of them is there: SWIM (Das, Gupta, Motivala 2002)
// with suspicion and incarnations, and Lifeguard's local health (Dadgar, Phillips, Currey 2018): a gateway
// that is itself starved must not accuse others. Uses src/base only.
//
// Membership is the state machine: datagrams and times in, datagrams and news out. No I/O and no clock;
// chance is of the seed that is handed in. Times are of the caller's monotonic clock, in ms; no time of
// another machine is used.
#ifndef GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_
#define GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/millis.hpp"

namespace gateway::membership {

using base::Millis;

inline constexpr std::size_t kMostDatagram = 256;  // PROTOCOL, "Between gateways"
inline constexpr std::size_t kMostName = 24;

// Which life of a member, and which word of it in that life: a higher one is newer. The first 48 bits are its
// process's start (Unix time in ms, or above what others last heard of the name), the last 16 count its
// refutations.
using Incarnation = std::uint64_t;

struct Address {  // IPv4
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in it for a pointer
  auto operator<=>(const Address&) const = default;
};

// In the order in which the same incarnation's word gives way to the next.
enum class Status : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

struct MembershipOptions {
  Millis period = 1000;   // from one probe to the next
  Millis timeout = 300;   // for a direct answer
  int helpers = 3;        // asked to probe in turn where that did not come
  double suspicion = 4;   // Lifeguard's alpha: least suspicion, in periods times log10 of the members
  double patience = 6;    // its beta: most suspicion over least, where nobody else suspects
  int confirmations = 3;  // its k: independent suspicions that bring it to the least
  int worst_health = 8;   // its S: local health counts up to that, and stretches own periods and timeouts
  Millis sync = 30000;    // from one exchange of all that is known to the next; sooner where nobody is known
  double repeats = 4;     // lambda: times log10 of the members that news are passed on
  Millis forget = 60000;  // a dead member's name is remembered, so that old news do not bring it back
};

class Membership {
 public:
  struct Member {
    std::string name;
    Address address;
    Incarnation incarnation = 0;
    Status status = Status::kAlive;
    Millis since = 0;                   // of this status, here
    std::vector<std::string> accusers;  // independent ones, while it is suspect; never itself
  };
  struct Datagram {
    Address to;
    std::string bytes;  // kMostDatagram at most
  };
  struct News {
    std::string name;
    Status status;
    Incarnation incarnation;
  };
  struct Output {
    std::vector<Datagram> send;
    std::vector<News> news;
    std::optional<Address>
        sync;  // to exchange State() with, over a connection; where there is none, news come slower
  };

  // `started`: Unix time in ms. Throws std::invalid_argument for a name that is empty or too long.
  Membership(MembershipOptions options, std::string name, Address address, std::uint64_t started,
             std::uint64_t seed);

  // Another gateway to meet, of whom nothing is known but the address.
  void Seed(Address address);
  // To be called every few tens of ms.
  void Tick(Millis now, Output& out);
  // Anything: what is no message of this version is dropped and counted.
  void Receive(Millis now, Address from, std::string_view bytes, Output& out);
  // Says goodbye to some; to be called once, before the end.
  void Leave(Millis now, Output& out);

  // All that is known but for the dead, for what datagrams missed (anti-entropy, over TCP), and its taking
  // in: in any order, any number of times, the result is the same.
  std::string State() const;
  bool Merge(Millis now, std::string_view state, Output& out);

  const std::map<std::string, Member>& members() const { return members_; }  // the own one, too
  const Member& self() const { return members_.at(name_); }
  int health() const { return health_; }        // 0: well
  std::size_t alive() const { return alive_; }  // suspects, too
  std::uint64_t malformed() const { return malformed_; }

 private:
  enum class Kind : std::uint8_t { kPing = 1, kAck, kPingReq, kNack };
  struct Update {
    std::string name;
    Address address;
    Incarnation incarnation = 0;
    Status status = Status::kAlive;
    std::string accuser;  // of kSuspect and kDead
  };
  struct Rumour {
    Update update;
    int sent = 0;
  };
  struct Probe {
    std::string name;
    Address address;
    std::uint32_t sequence = 0;
    Millis direct_until = 0, until = 0;
    bool asked_helpers = false;
    int nacks_due = 0;
  };
  struct Relay {  // a probe on another's behalf
    Address asker;
    std::uint32_t asked = 0;
    Millis nack_at = 0;
    bool nacked = false;
    Millis until = 0;
  };

  void Send(Address to, Kind kind, std::uint32_t sequence, Address about, const std::string* target,
            Output& out);
  void Hear(Millis now, const Update& heard, Output& out);
  void Spread(const Update& update);
  void Accuse(Millis now, const std::string& name, Output& out);
  void Set(Millis now, Member& member, const Update& update, Output& out);
  void BeginProbe(Millis now, Output& out);
  void EndProbe(Millis now, Output& out);
  void ExpireSuspects(Millis now, Output& out);
  Millis SuspicionOf(const Member& member) const;
  int MostRepeats() const;
  void Health(int change);
  double LogMembers() const;
  double Draw();  // from 0 to 1
  static std::string Write(const Update& update);
  static std::optional<Update> Read(std::string_view& bytes);

  const MembershipOptions options_;
  const std::string name_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;  // ordered: draws must be repeatable
  std::vector<Member*> order_;             // the same, to draw from
  std::size_t alive_ = 1, ill_ = 0;        // suspect or gone
  std::vector<std::string> round_;         // who is still to be probed in this one
  std::vector<Address> seeds_;
  std::deque<Rumour> rumours_;
  std::unordered_set<std::string> rumoured_;  // whom they are about
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Relay> relays_;  // by the own sequence
  Millis next_probe_ = 0, next_seed_ = 0, next_sync_ = 0, last_tick_ = -1;
  std::uint32_t sequence_ = 0;
  int health_ = 0, syncs_ = 0;
  bool left_ = false;
  std::uint64_t malformed_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_
