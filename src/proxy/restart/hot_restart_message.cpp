#include "proxy/restart/hot_restart_message.hpp"

#include <charconv>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace gateway::proxy {
namespace {

constexpr const char* kHelloText = "forkwick 1";
constexpr const char* kListenerText = "listener";
constexpr const char* kReadyText = "ready";
constexpr const char* kLeavingText = "leaving";
constexpr const char* kClientText = "client";
constexpr std::string_view kClaimText = "claim";
constexpr std::string_view kReleaseText = "release";
constexpr const char* kReloadText = "reload";
constexpr std::size_t kHexDigitsPerWord = 16;

std::string EncodeIds(std::string_view text, const std::vector<policy::RequestDigest>& ids) {
  std::string encoded(text);
  for (const policy::RequestDigest& id : ids) {
    char digits[2 * kHexDigitsPerWord + 2];
    std::snprintf(digits, sizeof digits, " %016" PRIx64 "%016" PRIx64, id.high, id.low);
    encoded += digits;
  }
  return encoded;
}

bool DecodeWord(std::string_view digits, std::uint64_t& word) {
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), word, 16);
  return error == std::errc() && end == digits.data() + digits.size();
}

// Returns the IDs after `name` in a message, or nothing if the message has another name or is malformed.
std::optional<std::vector<policy::RequestDigest>> DecodeIds(std::string_view text, std::string_view name) {
  if (!text.starts_with(name)) return std::nullopt;
  std::vector<policy::RequestDigest> ids;
  for (text.remove_prefix(name.size()); !text.empty(); text.remove_prefix(2 * kHexDigitsPerWord + 1)) {
    if (text.size() < 2 * kHexDigitsPerWord + 1 || text.front() != ' ') return std::nullopt;
    policy::RequestDigest id;
    const bool valid = DecodeWord(text.substr(1, kHexDigitsPerWord), id.high) &&
                       DecodeWord(text.substr(1 + kHexDigitsPerWord, kHexDigitsPerWord), id.low);
    if (!valid) return std::nullopt;
    ids.push_back(id);
  }
  return ids;
}

struct Encoder {
  Packet operator()(const UnknownMessage&) const { return {}; }
  Packet operator()(const Hello&) const { return {kHelloText, {}}; }
  Packet operator()(ListenerTransfer& message) const { return {kListenerText, std::move(message.listener)}; }
  Packet operator()(const StateTransfer& message) const {
    return {SerializeTransferredState(message.state), {}};
  }
  Packet operator()(const SuccessorReady&) const { return {kReadyText, {}}; }
  Packet operator()(const PredecessorLeaving&) const { return {kLeavingText, {}}; }
  Packet operator()(ClientTransfer& message) const { return {kClientText, std::move(message.connection)}; }
  Packet operator()(const RequestsClaimed& message) const { return {EncodeIds(kClaimText, message.ids), {}}; }
  Packet operator()(const RequestsReleased& message) const {
    return {EncodeIds(kReleaseText, message.ids), {}};
  }
  Packet operator()(const ConfigReplaced&) const { return {kReloadText, {}}; }
};

}  // namespace

Packet EncodeMessage(HotRestartMessage message) { return std::visit(Encoder{}, message); }

HotRestartMessage DecodeMessage(Packet packet) {
  if (packet.text == kHelloText) return Hello{};
  if (packet.text == kReadyText) return SuccessorReady{};
  if (packet.text == kLeavingText) return PredecessorLeaving{};
  if (packet.text == kReloadText) return ConfigReplaced{};
  if (packet.text == kListenerText && packet.descriptor)
    return ListenerTransfer{std::move(packet.descriptor)};
  if (packet.text == kClientText && packet.descriptor) return ClientTransfer{std::move(packet.descriptor)};
  if (auto ids = DecodeIds(packet.text, kClaimText)) return RequestsClaimed{*std::move(ids)};
  if (auto ids = DecodeIds(packet.text, kReleaseText)) return RequestsReleased{*std::move(ids)};
  if (std::optional<TransferredState> state = ParseTransferredState(packet.text)) {
    return StateTransfer{*std::move(state)};
  }
  return UnknownMessage{};
}

}  // namespace gateway::proxy
