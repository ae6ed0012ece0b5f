#include "proxy/discovery/call_log.hpp"

#include <cmath>

namespace gateway::proxy {
namespace {

constexpr Millis kMinLineIntervalMs = 500;

}  // namespace

void CallLog::LogList(const EndpointList& list, Millis duration) {
  const char* const scope = list.complete ? " hosts, complete list" : " hosts changed";
  Write(base::Level::kInfo, "told",
        "revision " + std::to_string(list.revision) + ", " + std::to_string(list.endpoints.size()) + scope,
        duration);
}

void CallLog::LogFailure(const ListError& error, Millis duration) {
  Write(base::Level::kWarning, "call_failed", "call failed: " + error.message, duration);
}

void CallLog::Write(base::Level level, const char* event, const std::string& text, Millis duration) {
  const Millis now = Now();
  if (now < next_line_allowed_at_) return;
  next_line_allowed_at_ = now + kMinLineIntervalMs;
  const Millis rounded = std::round(duration);
  base::Log(level, "discovery", event,
            "discovery: " + text + ", after " + std::to_string(static_cast<int>(rounded)) + " ms",
            {{"ms", rounded}});
}

}  // namespace gateway::proxy
