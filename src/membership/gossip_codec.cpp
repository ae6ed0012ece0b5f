#include "membership/gossip_codec.hpp"

#include <utility>

namespace gateway::membership {
namespace {

constexpr char kVersion = 1;

// Writes the low `bytes` bytes of the number in little-endian order.
void PutNumber(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

void PutName(std::string& out, const std::string& name) {
  PutNumber(out, name.size(), 1);
  out += name;
}

void PutAddress(std::string& out, const Address& address) {
  PutNumber(out, address.ip, 4);
  PutNumber(out, address.port, 2);
}

void PutUpdate(std::string& out, const GossipUpdate& update) {
  PutNumber(out, static_cast<std::uint64_t>(update.status), 1);
  PutName(out, update.name);
  PutAddress(out, update.address);
  PutNumber(out, update.incarnation, 8);
  PutName(out, update.suspector);
}

// The Take functions decode a value at the front of `in` and remove its bytes from `in`. They return
// std::nullopt if the input is too short or malformed.

std::optional<std::uint64_t> TakeNumber(std::string_view& in, std::size_t bytes) {
  if (in.size() < bytes) return std::nullopt;
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(in[i])} << (8 * i);
  }
  in.remove_prefix(bytes);
  return value;
}

std::optional<std::string> TakeName(std::string_view& in) {
  const auto size = TakeNumber(in, 1);
  if (!size || *size > kMaxNameBytes || in.size() < *size) return std::nullopt;
  std::string name(in.substr(0, *size));
  in.remove_prefix(*size);
  return name;
}

std::optional<Address> TakeAddress(std::string_view& in) {
  const auto ip = TakeNumber(in, 4);
  const auto port = TakeNumber(in, 2);
  if (!ip || !port) return std::nullopt;
  return Address{static_cast<std::uint32_t>(*ip), static_cast<std::uint16_t>(*port)};
}

std::optional<MessageType> TakeMessageType(std::string_view& in) {
  const auto type = TakeNumber(in, 1);
  if (!type || *type < static_cast<std::uint64_t>(MessageType::kPing) ||
      *type > static_cast<std::uint64_t>(MessageType::kNack)) {
    return std::nullopt;
  }
  return static_cast<MessageType>(*type);
}

bool TakeVersion(std::string_view& in) {
  const auto version = TakeNumber(in, 1);
  return version && *version == kVersion;
}

std::optional<MessageHeader> TakeHeader(std::string_view& in) {
  if (!TakeVersion(in)) return std::nullopt;
  const auto type = TakeMessageType(in);
  const auto sequence = TakeNumber(in, 4);
  const auto sender = TakeName(in);
  const auto incarnation = TakeNumber(in, 8);
  const auto target = TakeName(in);
  const auto probe_address = TakeAddress(in);
  if (!type || !sequence || !sender || !incarnation || !target || !probe_address) return std::nullopt;
  if (sender->empty() || *incarnation == 0) return std::nullopt;
  return MessageHeader{*type,         static_cast<std::uint32_t>(*sequence), *sender, *incarnation, *target,
                       *probe_address};
}

std::optional<GossipUpdate> TakeUpdate(std::string_view& in) {
  const auto status = TakeNumber(in, 1);
  const auto name = TakeName(in);
  const auto address = TakeAddress(in);
  const auto incarnation = TakeNumber(in, 8);
  const auto suspector = TakeName(in);
  if (!status || !name || !address || !incarnation || !suspector) return std::nullopt;
  if (*status > static_cast<std::uint64_t>(MemberStatus::kLeft)) return std::nullopt;
  if (name->empty() || *incarnation == 0) return std::nullopt;
  return GossipUpdate{*name, *address, *incarnation, static_cast<MemberStatus>(*status), *suspector};
}

std::optional<std::vector<GossipUpdate>> TakeUpdates(std::string_view& in) {
  std::vector<GossipUpdate> updates;
  while (!in.empty()) {
    auto update = TakeUpdate(in);
    if (!update) return std::nullopt;
    updates.push_back(*std::move(update));
  }
  return updates;
}

}  // namespace

DatagramBuilder::DatagramBuilder(const MessageHeader& header) {
  bytes_.push_back(kVersion);
  PutNumber(bytes_, static_cast<std::uint64_t>(header.type), 1);
  PutNumber(bytes_, header.sequence, 4);
  PutName(bytes_, header.sender);
  PutNumber(bytes_, header.sender_incarnation, 8);
  PutName(bytes_, header.target);
  PutAddress(bytes_, header.probe_address);
}

bool DatagramBuilder::Add(const GossipUpdate& update) {
  std::string encoded;
  PutUpdate(encoded, update);
  if (bytes_.size() + encoded.size() > kMaxDatagramBytes) return false;
  bytes_ += encoded;
  return true;
}

std::string DatagramBuilder::Take() { return std::move(bytes_); }

std::optional<Message> DecodeMessage(std::string_view bytes) {
  auto header = TakeHeader(bytes);
  if (!header) return std::nullopt;
  auto updates = TakeUpdates(bytes);
  if (!updates) return std::nullopt;
  return Message{*std::move(header), *std::move(updates)};
}

std::string EncodeState(const std::vector<GossipUpdate>& updates) {
  std::string bytes(1, kVersion);
  for (const GossipUpdate& update : updates) PutUpdate(bytes, update);
  return bytes;
}

std::optional<std::vector<GossipUpdate>> DecodeState(std::string_view bytes) {
  if (!TakeVersion(bytes)) return std::nullopt;
  return TakeUpdates(bytes);
}

}  // namespace gateway::membership
