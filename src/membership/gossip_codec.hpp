// Encodes and decodes datagrams and the complete membership state. See "Between gateways" in PROTOCOL.
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
  std::uint32_t sequence = 0;  // identifies the probe; assigned by the member that sends the ping
  std::string sender;
  Incarnation sender_incarnation = 0;
  std::string target;     // kPing, kPingReq: name of the probed member; empty for any member
  Address probe_address;  // kPingReq: destination of the ping
};

struct Message {
  MessageHeader header;
  std::vector<GossipUpdate> updates;
};

// Builds a datagram from a header and as many updates as fit.
class DatagramBuilder {
 public:
  explicit DatagramBuilder(const MessageHeader& header);
  // Returns false without adding anything if the update does not fit.
  bool Add(const GossipUpdate& update);
  // Returns the datagram. The builder must not be used afterwards.
  std::string Take();

 private:
  std::string bytes_;
};

// Returns std::nullopt if any part of the datagram is malformed or if this program does not support its
// version.
std::optional<Message> DecodeMessage(std::string_view bytes);

// Encodes a membership state, which consists of any number of updates.
std::string EncodeState(const std::vector<GossipUpdate>& updates);
// Returns std::nullopt if any part of the state is malformed or if this program does not support its version.
std::optional<std::vector<GossipUpdate>> DecodeState(std::string_view bytes);

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_GOSSIP_CODEC_HPP_
