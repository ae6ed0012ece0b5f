#include "proxy/restart/hot_restart_message.hpp"

#include <optional>
#include <utility>

namespace gateway::proxy {
namespace {

constexpr const char* kHelloText = "forkwick 1";
constexpr const char* kListenerText = "listener";
constexpr const char* kReadyText = "ready";
constexpr const char* kLeavingText = "leaving";
constexpr const char* kClientText = "client";

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
};

}  // namespace

Packet EncodeMessage(HotRestartMessage message) { return std::visit(Encoder{}, message); }

HotRestartMessage DecodeMessage(Packet packet) {
  if (packet.text == kHelloText) return Hello{};
  if (packet.text == kReadyText) return SuccessorReady{};
  if (packet.text == kLeavingText) return PredecessorLeaving{};
  if (packet.text == kListenerText && packet.descriptor)
    return ListenerTransfer{std::move(packet.descriptor)};
  if (packet.text == kClientText && packet.descriptor) return ClientTransfer{std::move(packet.descriptor)};
  if (std::optional<TransferredState> state = ParseTransferredState(packet.text)) {
    return StateTransfer{*std::move(state)};
  }
  return UnknownMessage{};
}

}  // namespace gateway::proxy
