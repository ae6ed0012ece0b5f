// Group membership of gateways: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, and
// Lifeguard's local health (Dadgar, Phillips, Currey 2018). See docs/design/membership.md for the rationale.
// Not used by any process yet.
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

// The protocol as a state machine: consumes datagrams and the current time, and produces datagrams and status
// changes. Does no I/O and reads no clock: the caller passes the time of its monotonic clock. Times of other
// machines are never used. Random choices depend only on the seed. Not thread-safe.
class Membership final : private FailureDetector::Delegate {
 public:
  // `process_start` is the start time of the local process (Unix time in ms). Throws std::invalid_argument if
  // the name is empty or longer than kMaxNameBytes.
  Membership(MembershipOptions options, std::string name, Address address, std::uint64_t process_start,
             std::uint64_t seed);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds an address through which this member joins the group. The name of the gateway at this address need
  // not be known.
  void AddSeedAddress(Address address);
  // Does the periodic work: probes, suspicions and state exchanges. Must be called every few tens of ms.
  void Tick(base::Millis now, ProtocolOutput& out);
  // Handles a received datagram. Drops and counts malformed datagrams.
  void Receive(base::Millis now, Address from, std::string_view bytes, ProtocolOutput& out);
  // Announces to some members that this member leaves the group. Must be called once, at shutdown. Afterwards
  // this member ignores datagrams and sends none.
  void Leave(ProtocolOutput& out);

  // Anti-entropy: two members exchange their states to get updates that they missed because datagrams were
  // lost. State() encodes all known members except dead members. MergeState() is commutative, associative and
  // idempotent. It returns false if the state is malformed.
  std::string State() const;
  bool MergeState(base::Millis now, std::string_view state, ProtocolOutput& out);

  // Returns all members, including the local member.
  const std::map<std::string, Member>& members() const { return members_.members(); }
  const Member& self() const { return members_.self(); }
  // Returns the local health score; 0 is healthy.
  int local_health() const { return local_health_.score(); }
  // Returns the number of alive members, including suspects.
  std::size_t alive_count() const { return members_.alive_count(); }
  // Returns the number of malformed datagrams and states received.
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
  bool knows_other_members() const { return members_.alive_count() > 1; }
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
  base::Millis last_tick_ = -1;  // negative before the first tick
  int syncs_ = 0;                // number of syncs requested while other members were known
  bool left_ = false;
  std::uint64_t malformed_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_MEMBERSHIP_HPP_
