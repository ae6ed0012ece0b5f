#include "simulator/event_codec.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <string>

namespace gateway::simulator {
namespace {

struct MessageWord {
  std::string_view word;
  MessageType type;
};

constexpr MessageWord kMessageWords[] = {
    {"KNOCK", MessageType::kRequest},
    {"COMPLETED", MessageType::kAttemptOutcome},
    {"FIRED", MessageType::kTimerFired},
    {"EXPIRED", MessageType::kClientDisconnected},
    {"FLOWING", MessageType::kResponseStarted},
    {"INSTANCE", MessageType::kSelectInstance},
    {"TURN", MessageType::kBeginBatch},
    {"EOF_BATCH", MessageType::kEndBatch},
    {"ENTRY", MessageType::kEndpointListEntry},
    {"SNAPSHOT_ROWS", MessageType::kBeginEndpointList},
    {"REGISTRY", MessageType::kEndpointListUpdate},
    {"CREATE", MessageType::kCreateInstance},
    {"CRASH_NOW", MessageType::kDestroyInstance},
    {"ECHO", MessageType::kProbeResult},
    {"MESSAGE", MessageType::kPeerMessage},
};

policy::AttemptResult ToAttemptResult(std::string_view code) {
  switch (ParseNumber<int>(code, "rc")) {
    case 10: return policy::AttemptResult::kServed;
    case 20: return policy::AttemptResult::kError;
    case 30: return policy::AttemptResult::kRejected;
    case 40: return policy::AttemptResult::kTimedOut;
    case 50: return policy::AttemptResult::kConnectFailed;
    case 60: return policy::AttemptResult::kReset;
    case 70: return policy::AttemptResult::kCancelled;
    case 80: return policy::AttemptResult::kNotSent;
    default: throw WireError("rc: unknown attempt result " + std::string(code));
  }
}

policy::EndpointState ToEndpointState(std::string_view health) {
  if (health == "up") return policy::EndpointState::kUp;
  if (health == "draining") return policy::EndpointState::kDraining;
  if (health == "removed") return policy::EndpointState::kRemoved;
  throw WireError("health: expected 'up', 'draining' or 'removed', got '" + std::string(health) + "'");
}

policy::EndpointListEvent::Kind ToEndpointListKind(std::string_view kind) {
  using Kind = policy::EndpointListEvent::Kind;
  if (kind == "X") return Kind::kFailure;
  if (kind == "D") return Kind::kDelta;
  if (kind == "F" || kind == "C") return Kind::kSnapshot;
  throw WireError("kind: expected 'X', 'D', 'F' or 'C', got '" + std::string(kind) + "'");
}

// Returns the values of a load report, with NaN for each value that the endpoint did not report.
std::vector<double> ToLoadReport(std::string_view text) {
  std::vector<double> load;
  if (text.empty()) return load;
  std::vector<std::string_view> values;
  Split(text, ',', values);
  for (const std::string_view value : values) {
    load.push_back(value == "-" ? std::numeric_limits<double>::quiet_NaN()
                                : ParseNumber<double>(value, "load report"));
  }
  return load;
}

}  // namespace

MessageType ToMessageType(std::string_view word) {
  const auto found = std::find_if(std::begin(kMessageWords), std::end(kMessageWords),
                                  [&](const MessageWord& entry) { return entry.word == word; });
  return found == std::end(kMessageWords) ? MessageType::kUnknown : found->type;
}

std::string_view WireWord(MessageType type) {
  const auto found = std::find_if(std::begin(kMessageWords), std::end(kMessageWords),
                                  [&](const MessageWord& entry) { return entry.type == type; });
  return found == std::end(kMessageWords) ? std::string_view() : found->word;
}

policy::Millis DecodeTime(const LineFields& fields) { return fields.Number<double>(1, "clock"); }

std::int64_t DecodeInstance(const LineFields& fields) {
  return ParseNumber<std::int64_t>(fields.Required(1, "number"), "instance");
}

EndpointListHeader DecodeEndpointListHeader(const LineFields& fields) {
  EndpointListHeader header;
  header.list = fields.Number<std::size_t>(1, "list");
  header.entry_count = fields.Number<std::size_t>(2, "lines");
  return header;
}

policy::EndpointInfo DecodeEndpoint(const LineFields& fields) {
  policy::EndpointInfo endpoint;
  endpoint.id = fields.Required(1, "host");
  endpoint.zone = fields.Optional(2);
  endpoint.machine_type = fields.Optional(3);
  endpoint.cell = fields.Optional(4);
  endpoint.state = ToEndpointState(fields.Required(5, "health"));
  endpoint.weight = fields.NumberOr(6, "weight", 1.0);
  endpoint.started_at = fields.NumberOr(7, "sinceMs", 0.0);
  return endpoint;
}

InstanceConfig DecodeInstanceConfig(const LineFields& fields) {
  InstanceConfig config;
  config.seed = fields.Number<std::uint64_t>(1, "nonce64");
  config.settings = fields.From(2);
  return config;
}

policy::Request DecodeRequest(const LineFields& fields) {
  policy::Request request;
  request.id = fields.Required(1, "ticket");
  request.class_name = fields.Required(2, "qos");
  request.tenant = fields.Optional(3);
  request.key = fields.Optional(4);
  request.time_left = fields.Number<double>(5, "graceMs");
  fields.NumberOr<unsigned>(7, "opts", 0);  // validated only; the policy does not use the value
  return request;
}

policy::AttemptOutcome DecodeAttemptOutcome(const LineFields& fields) {
  policy::AttemptOutcome outcome;
  outcome.request = fields.Required(1, "ticket");
  outcome.attempt = fields.Number<int>(2, "trial");
  outcome.endpoint = fields.Required(3, "host");
  outcome.result = ToAttemptResult(fields.Required(4, "rc"));
  outcome.request_finished = fields.Flag(5, "ended");
  outcome.latency = fields.NumberOr(6, "costTimeMs", 0.0);
  outcome.load = ToLoadReport(fields.Optional(7));
  return outcome;
}

policy::TimerFired DecodeTimerFired(const LineFields& fields) {
  return {std::string(fields.Required(1, "keyBack"))};
}

policy::ClientDisconnected DecodeClientDisconnected(const LineFields& fields) {
  return {std::string(fields.Required(1, "ticket"))};
}

EndpointListUpdate DecodeEndpointListUpdate(const LineFields& fields) {
  EndpointListUpdate update;
  update.kind = ToEndpointListKind(fields.Required(3, "kind"));
  if (update.kind != policy::EndpointListEvent::Kind::kFailure) {
    update.list = fields.Number<std::size_t>(1, "list");
  }
  return update;
}

policy::ResponseStarted DecodeResponseStarted(const LineFields& fields) {
  policy::ResponseStarted started;
  started.request = fields.Required(1, "ticket");
  started.attempt = fields.Number<int>(3, "trial");
  return started;
}

void CheckProbeResult(const LineFields& fields) {
  ToAttemptResult(fields.Required(2, "rc"));
  fields.NumberOr(3, "costTimeMs", 0.0);
  ToLoadReport(fields.Optional(4));
}

void CheckPeerMessage(const LineFields& fields) { fields.Number<std::int64_t>(1, "by"); }

}  // namespace gateway::simulator
