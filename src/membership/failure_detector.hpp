// SWIM's failure detector: probes one member a protocol period, directly and through other members, and
// answers the probes of others.
#ifndef GATEWAY_MEMBERSHIP_FAILURE_DETECTOR_HPP_
#define GATEWAY_MEMBERSHIP_FAILURE_DETECTOR_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/gossip_codec.hpp"
#include "membership/local_health.hpp"
#include "membership/member_table.hpp"
#include "membership/membership_options.hpp"
#include "membership/protocol_output.hpp"
#include "membership/random_choice.hpp"

namespace gateway::membership {

// No I/O and no clock. Not thread-safe.
class FailureDetector {
 public:
  // Of a message: what the sender chooses. `target` and `probe_address` as in MessageHeader.
  struct OutgoingMessage {
    Address to;
    MessageType type = MessageType::kPing;
    std::uint32_t sequence = 0;
    std::string target;
    Address probe_address;
  };

  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void SendMessage(const OutgoingMessage& message, ProtocolOutput& out) = 0;
    // No ack has come, directly or through other members.
    virtual void OnProbeFailed(base::Millis now, const std::string& name, ProtocolOutput& out) = 0;
  };

  // All that is handed in must outlive it.
  FailureDetector(const MembershipOptions& options, const MemberTable& members, LocalHealth& local_health,
                  RandomEngine& random, Delegate& delegate);

  // Continues the probes and begins new ones.
  void Tick(base::Millis now, ProtocolOutput& out);
  // Abandons all probes, whose acks this process may have missed.
  void Reset();
  // Sends a ping that is no probe. `target` empty: whoever has the address.
  void SendPing(Address to, const std::string& target, ProtocolOutput& out);

  void OnPing(Address from, const MessageHeader& ping, ProtocolOutput& out);
  void OnPingReq(base::Millis now, Address from, const MessageHeader& request, ProtocolOutput& out);
  void OnAck(const MessageHeader& ack, ProtocolOutput& out);
  void OnNack(const MessageHeader& nack);

 private:
  struct Probe {
    std::string name;
    Address address;
    std::uint32_t sequence = 0;
    base::Millis direct_deadline = 0;  // for the ack of the direct ping
    base::Millis deadline = 0;         // for any ack
    bool indirect = false;             // ping-reqs were sent
    int missing_nacks = 0;             // helpers that have sent neither ack nor nack
  };
  // A probe that another member has requested.
  struct RelayedProbe {
    Address requester;
    std::uint32_t requester_sequence = 0;
    base::Millis nack_at = 0;
    bool nack_sent = false;
    base::Millis forget_at = 0;
  };

  void TickRelayedProbes(base::Millis now, ProtocolOutput& out);
  void StartProbe(base::Millis now, ProtocolOutput& out);
  void SendPingReqs(ProtocolOutput& out);
  void FailProbe(base::Millis now, ProtocolOutput& out);
  const Member* NextProbeTarget();
  void StartRound();

  const MembershipOptions& options_;
  const MemberTable& members_;
  LocalHealth& local_health_;
  RandomEngine& random_;
  Delegate& delegate_;
  std::vector<std::string> round_;  // members that are still to be probed in this round
  std::optional<Probe> probe_;
  std::map<std::uint32_t, RelayedProbe> relayed_;  // by the own sequence
  base::Millis next_probe_at_ = 0;
  std::uint32_t last_sequence_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_FAILURE_DETECTOR_HPP_
