// Translates the lines that the simulator sends into policy events. The message words of the wire and the
// names of its values appear here and in action_codec alone.
//
// A caller finds the type of a line first, checks that it may come now, and then calls the decoder of that
// type. Decoders throw WireError for a value that is missing or malformed.
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
  kSelectInstance,      // DecodeInstance: the following events are for this instance
  kBeginEndpointList,   // DecodeEndpointListHeader; as many entries as it says follow at once
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

// kUnknown for a word that the wire does not have.
MessageType ToMessageType(std::string_view word);

// The wire's word for a message, for error texts. `type` is not kUnknown.
std::string_view WireWord(MessageType type);

struct EndpointListHeader {
  std::size_t list = 0;         // number of the list that the entries replace
  std::size_t entry_count = 0;  // entry lines that follow
};

struct InstanceConfig {
  std::uint64_t seed = 0;
  std::vector<std::string_view> settings;  // for ParseSettings; refers to the line
};

struct EndpointListUpdate {
  policy::EndpointListEvent::Kind kind = policy::EndpointListEvent::Kind::kSnapshot;
  std::size_t list = 0;  // number of the list with the endpoints; kFailure: none
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

// Messages that no decision uses are checked and dropped.
void CheckProbeResult(const LineFields& fields);
void CheckPeerMessage(const LineFields& fields);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_EVENT_CODEC_HPP_
