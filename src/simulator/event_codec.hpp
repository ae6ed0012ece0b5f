// Decodes the lines that the simulator sends into policy events. Only this file and action_codec know the
// message words of the wire and the names of the values in a line.
//
// A caller first determines the message type of a line, then checks that this type is allowed in the current
// state, and then calls the decoder for this type. Decoders throw WireError if a value is missing or
// malformed.
#ifndef GATEWAY_SIMULATOR_EVENT_CODEC_HPP_
#define GATEWAY_SIMULATOR_EVENT_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "gateway/events.hpp"
#include "simulator/line_codec.hpp"

namespace gateway::simulator {

enum class MessageType {
  kBeginBatch,          // DecodeTime: the time of all events in the batch
  kEndBatch,            // no values
  kSelectInstance,      // DecodeInstance: selects the instance that receives the following events
  kBeginEndpointList,   // DecodeEndpointListHeader: announces the entries that follow directly
  kEndpointListEntry,   // DecodeEndpoint
  kCreateInstance,      // DecodeInstanceConfig: replaces the selected instance
  kDestroyInstance,     // no values
  kRequest,             // DecodeRequest
  kAttemptOutcome,      // DecodeAttemptOutcome
  kTimerFired,          // DecodeTimerFired
  kClientDisconnected,  // DecodeClientDisconnected
  kEndpointListUpdate,  // DecodeEndpointListUpdate
  kResponseStarted,     // DecodeResponseStarted
  kProbeResult,         // CheckProbeResult: the policy sends no probes
  kPeerMessage,         // CheckPeerMessage: gateways share no state
  kUnknown,
};

// Returns the message type that `word` denotes on the wire, or kUnknown if `word` denotes no message type.
MessageType ToMessageType(std::string_view word);

// Returns the wire's word for a message type, for error texts. `type` must not be kUnknown.
std::string_view WireWord(MessageType type);

struct EndpointListHeader {
  std::size_t list = 0;         // number of the list that the entries replace
  std::size_t entry_count = 0;  // number of entry lines that follow
};

struct InstanceConfig {
  std::uint64_t seed = 0;
  std::vector<std::string_view> settings;  // arguments of ParseSettings(); views into the line
};

struct EndpointListUpdate {
  policy::EndpointListEvent::Kind kind = policy::EndpointListEvent::Kind::kSnapshot;
  std::size_t list = 0;  // number of the list with the endpoints; not set for kFailure
};

policy::Millis DecodeTime(const LineFields& fields);
std::int64_t DecodeInstance(const LineFields& fields);
EndpointListHeader DecodeEndpointListHeader(const LineFields& fields);
policy::EndpointInfo DecodeEndpoint(const LineFields& fields);
InstanceConfig DecodeInstanceConfig(const LineFields& fields);
policy::Request DecodeRequest(const LineFields& fields);
policy::AttemptOutcome DecodeAttemptOutcome(const LineFields& fields);
policy::TimerFired DecodeTimerFired(const LineFields& fields);
policy::ClientDisconnected DecodeClientDisconnected(const LineFields& fields);
EndpointListUpdate DecodeEndpointListUpdate(const LineFields& fields);
policy::ResponseStarted DecodeResponseStarted(const LineFields& fields);

// These functions validate messages that the policy does not use, and discard their content.
void CheckProbeResult(const LineFields& fields);
void CheckPeerMessage(const LineFields& fields);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_EVENT_CODEC_HPP_
