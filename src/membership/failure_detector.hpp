// SWIM's failure detector. Probes one member in each protocol period: first directly, and after a timeout
// through other members (helpers). Answers the probes of other members.
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

// Does no I/O and reads no clock. Not thread-safe.
class FailureDetector {
 public:
  // A message that the failure detector sends. See MessageHeader for `target` and `probe_address`.
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
    // Called when the probe of the member `name` failed: no ack arrived in time, neither directly nor through
    // other members.
    virtual void OnProbeFailed(base::Millis now, const std::string& name, ProtocolOutput& out) = 0;
  };

  // All references must outlive the failure detector.
  FailureDetector(const MembershipOptions& options, const MemberTable& members, LocalHealth& local_health,
                  RandomEngine& random, Delegate& delegate);

  // Advances running probes and starts new ones.
  void Tick(base::Millis now, ProtocolOutput& out);
  // Cancels all probes. Must be called if this process may have missed acks.
  void Reset();
  // Sends a ping that is not a probe. An empty `target` addresses any member at `to`.
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
    base::Millis direct_deadline = 0;  // timeout of the direct ping
    base::Millis deadline = 0;         // timeout of the probe
    bool indirect = false;             // whether ping-reqs were sent
    int missing_nacks = 0;             // number of helpers that have sent neither an ack nor a nack
  };
  // A ping that this member sends at the request of another member (ping-req).
  struct RelayedProbe {
    Address requester;
    std::uint32_t requester_sequence = 0;
    base::Millis nack_at = 0;
    bool nack_sent = false;
    base::Millis expires_at = 0;
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
  std::vector<std::string> round_;  // members not probed yet in this round
  std::optional<Probe> probe_;
  std::map<std::uint32_t, RelayedProbe> relayed_;  // key: sequence of the relayed ping
  base::Millis next_probe_at_ = 0;
  std::uint32_t last_sequence_ = 0;
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_FAILURE_DETECTOR_HPP_
