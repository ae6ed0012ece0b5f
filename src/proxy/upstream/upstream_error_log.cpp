#include "proxy/upstream/upstream_error_log.hpp"

#include <algorithm>
#include <cstdio>

#include "base/log.hpp"

namespace gateway::proxy {
namespace {

constexpr Millis kLineIntervalMs = 500;
constexpr std::size_t kMaxClassNameBytes = 40;
constexpr std::size_t kMaxRequestIdBytes = 40;
constexpr std::size_t kMaxDetailBytes = 160;

std::string DescribeReset(const ConnectionReset& reset) {
  const auto name_bytes = static_cast<int>(std::min(reset.class_name.size(), kMaxClassNameBytes));
  char text[kMaxDetailBytes];
  std::snprintf(text, sizeof text,
                ", class %.*s, %zu body bytes, request %d on connection, idle %.1f ms, reset after %.1f ms",
                name_bytes, reset.class_name.data(), reset.request_body_bytes, reset.request_number,
                reset.idle_ms, reset.attempt_ms);
  return text;
}

}  // namespace

bool UpstreamErrorLog::BeginLine() {
  const Millis now = Now();
  if (now < suppressed_until_) return false;
  suppressed_until_ = now + kLineIntervalMs;
  return true;
}

void UpstreamErrorLog::LogReset(const ConnectionReset& reset) {
  if (!BeginLine()) return;
  base::Log(base::Level::kWarning, "hosts", "reset",
            "connection reset by " + reset.endpoint + ": " + reset.error.message() + DescribeReset(reset),
            {{"host", reset.endpoint},
             {"class", reset.class_name},
             {"use", reset.request_number},
             {"rested_ms", reset.idle_ms},
             {"after_ms", reset.attempt_ms}});
}

void UpstreamErrorLog::LogErrorResponse(const std::string& endpoint, unsigned status) {
  if (!BeginLine()) return;
  base::Log(base::Level::kWarning, "hosts", "error_answer",
            "error response " + std::to_string(status) + " from " + endpoint,
            {{"host", endpoint}, {"status", status}});
}

void UpstreamErrorLog::LogAbandonedResponse(const AbandonedResponse& response) {
  if (!BeginLine()) return;
  base::Log(base::Level::kWarning, "hosts", "abandoned",
            "response of " + response.endpoint + " abandoned: " + response.reason + ", request " +
                std::string(response.request_id.substr(0, kMaxRequestIdBytes)) + ", " +
                std::to_string(response.body_bytes) + " body bytes",
            {{"host", response.endpoint},
             {"id", response.request_id},
             {"class", response.class_name},
             {"bytes", response.body_bytes},
             {"after_ms", response.attempt_ms}});
}

}  // namespace gateway::proxy
