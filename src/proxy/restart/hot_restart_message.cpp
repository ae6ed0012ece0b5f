#include "proxy/restart/hot_restart_message.hpp"

#include <optional>
#include <utility>

namespace gateway::proxy {
namespace {

constexpr const char* kHelloWord = "forkwick 1";
constexpr const char* kListenerWord = "listener";
constexpr const char* kReadyWord = "ready";
constexpr const char* kLeavingWord = "leaving";
constexpr const char* kClientWord = "client";

struct Encoder {
  Packet operator()(const UnknownMessage&) const { return {}; }
  Packet operator()(const Hello&) const { return {kHelloWord, {}}; }
  Packet operator()(ListenerTransfer& message) const { return {kListenerWord, std::move(message.listener)}; }
  Packet operator()(const StateTransfer& message) const {
    return {SerializeTransferredState(message.state), {}};
  }
  Packet operator()(const SuccessorReady&) const { return {kReadyWord, {}}; }
  Packet operator()(const PredecessorLeaving&) const { return {kLeavingWord, {}}; }
  Packet operator()(ClientTransfer& message) const { return {kClientWord, std::move(message.connection)}; }
};

}  // namespace

Packet EncodeMessage(HotRestartMessage message) { return std::visit(Encoder{}, message); }

HotRestartMessage DecodeMessage(Packet packet) {
  if (packet.text == kHelloWord) return Hello{};
  if (packet.text == kReadyWord) return SuccessorReady{};
  if (packet.text == kLeavingWord) return PredecessorLeaving{};
  if (packet.text == kListenerWord && packet.descriptor)
    return ListenerTransfer{std::move(packet.descriptor)};
  if (packet.text == kClientWord && packet.descriptor) return ClientTransfer{std::move(packet.descriptor)};
  if (std::optional<TransferredState> state = ParseTransferredState(packet.text)) {
    return StateTransfer{*std::move(state)};
  }
  return UnknownMessage{};
}

}  // namespace gateway::proxy
