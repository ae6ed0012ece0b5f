// The bytes of datagrams and of the whole state (PROTOCOL, "Between gateways").
#ifndef GATEWAY_MEMBERSHIP_GOSSIP_CODEC_HPP_
#define GATEWAY_MEMBERSHIP_GOSSIP_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.hpp"

namespace gateway::membership {

inline constexpr std::size_t kMaxDatagramBytes = 256;

enum class MessageType : std::uint8_t { kPing = 1, kAck = 2, kPingReq = 3, kNack = 4 };

struct MessageHeader {
  MessageType type = MessageType::kPing;
  std::uint32_t sequence = 0;  // of the probe that it belongs to, by the prober
  std::string sender;
  Incarnation sender_incarnation = 0;
  std::string target;     // of kPing and kPingReq: the member that is probed; empty: whoever has the address
  Address probe_address;  // of kPingReq: where to send the ping
};

struct Message {
  MessageHeader header;
  std::vector<GossipUpdate> updates;
};

// Builds a datagram of a header and as many updates as fit.
class DatagramBuilder {
 public:
  explicit DatagramBuilder(const MessageHeader& header);
  // Returns false, and adds nothing, if the update does not fit.
  bool Add(const GossipUpdate& update);
  // Returns the datagram. The builder must not be used afterwards.
  std::string Take();

 private:
  std::string bytes_;
};

// Returns nothing if any part of the datagram is malformed or of another version.
std::optional<Message> DecodeMessage(std::string_view bytes);

// A state is a sequence of updates of any length.
std::string EncodeState(const std::vector<GossipUpdate>& updates);
// Returns nothing if any part of the state is malformed or of another version.
std::optional<std::vector<GossipUpdate>> DecodeState(std::string_view bytes);

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_GOSSIP_CODEC_HPP_
