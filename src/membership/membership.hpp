// Which gateways are there: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, and Lifeguard's
// local health (Dadgar, Phillips, Currey 2018). docs/design/membership.md has the reasons. No process uses it
// yet.
#ifndef GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_
#define GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/dissemination_queue.hpp"
#include "membership/failure_detector.hpp"
#include "membership/local_health.hpp"
#include "membership/member.hpp"
#include "membership/member_table.hpp"
#include "membership/membership_options.hpp"
#include "membership/protocol_output.hpp"
#include "membership/random_choice.hpp"

namespace gateway::membership {

// The protocol as a state machine: datagrams and times in, datagrams and status changes out. No I/O and no
// clock; random choices follow the seed. Times are of the caller's monotonic clock; no time of another
// machine is used. Not thread-safe.
class Membership final : private FailureDetector::Delegate {
 public:
  // `process_start`: Unix time in ms. Throws std::invalid_argument for a name that is empty or too long.
  Membership(MembershipOptions options, std::string name, Address address, std::uint64_t process_start,
             std::uint64_t seed);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds the address of another gateway, of which nothing else is known.
  void AddSeedAddress(Address address);
  // Probes, suspects and synchronises. To be called every few tens of ms.
  void Tick(base::Millis now, ProtocolOutput& out);
  // Any bytes: a malformed datagram is dropped and counted.
  void Receive(base::Millis now, Address from, std::string_view bytes, ProtocolOutput& out);
  // Announces the end to some members. To be called once, at the end.
  void Leave(ProtocolOutput& out);

  // Anti-entropy, for what datagrams missed: all that is known except for dead members, and its merging.
  // Merging is commutative, associative and idempotent. Returns false for a malformed state.
  std::string State() const;
  bool MergeState(base::Millis now, std::string_view state, ProtocolOutput& out);

  // The own member included.
  const std::map<std::string, Member>& members() const { return members_.members(); }
  const Member& self() const { return members_.self(); }
  // 0: healthy.
  int local_health() const { return local_health_.score(); }
  // Suspects included.
  std::size_t alive_count() const { return members_.alive_count(); }
  // Number of malformed datagrams and states.
  std::uint64_t malformed() const { return malformed_; }

 private:
  // FailureDetector::Delegate
  void SendMessage(const FailureDetector::OutgoingMessage& message, ProtocolOutput& out) override;
  void OnProbeFailed(base::Millis now, const std::string& name, ProtocolOutput& out) override;

  void DetectPause(base::Millis now);
  void PingSeed(base::Millis now, ProtocolOutput& out);
  void RequestSync(base::Millis now, ProtocolOutput& out);
  void ExpireSuspicions(base::Millis now, ProtocolOutput& out);
  void Merge(base::Millis now, const GossipUpdate& update, ProtocolOutput& out);
  void Refute(const GossipUpdate& update);
  void HandleMessage(base::Millis now, Address from, const MessageHeader& header, ProtocolOutput& out);
  void AddUpdatesAbout(Address recipient, DatagramBuilder& datagram) const;
  void AddRandomMembers(DatagramBuilder& datagram);
  int RetransmitLimit() const;
  bool knows_others() const { return members_.alive_count() > 1; }
  Address RandomSeedAddress();

  const MembershipOptions options_;
  const std::string name_;
  RandomEngine random_;
  MemberTable members_;
  LocalHealth local_health_;
  FailureDetector failure_detector_;
  DisseminationQueue dissemination_;
  std::vector<Address> seed_addresses_;
  base::Millis next_seed_ping_at_ = 0;
  base::Millis next_sync_at_ = 0;
  base::Millis last_tick_ = -1;  // negative: none
  int syncs_ = 0;                // requested while other members are known
  bool left_ = false;
  std::uint64_t malformed_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_
