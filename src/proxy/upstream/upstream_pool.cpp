#include "proxy/upstream/upstream_pool.hpp"

#include <utility>

#include "gateway/policy.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using policy::AttemptResult;
using tcp = asio::ip::tcp;

// The pool closes an idle connection after this fraction of the endpoints' idle timeout. A request is
// therefore rarely sent while the endpoint closes the connection.
constexpr double kIdleTimeoutFraction = 1.0 / 3;

void CloseAll(std::vector<std::shared_ptr<UpstreamConnection>> connections) {
  for (const auto& connection : connections) connection->Close();
}

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& io, const UpstreamPoolOptions& options)
    : context_{.io = io,
               .owner = *this,
               .connect_timeout_ms = options.connect_timeout_ms,
               .idle_timeout_ms = options.endpoint_idle_timeout_ms * kIdleTimeoutFraction,
               .buffer_budget = options.buffer_budget},
      connection_limit_(options.connection_limit) {}

// --- Endpoints

void UpstreamPool::ApplyEndpointList(const EndpointList& list) {
  if (list.complete) {
    for (auto& [id, endpoint] : endpoints_) endpoint.up = false;
  }
  for (const ListedEndpoint& entry : list.endpoints) ApplyEntry(entry);
  if (!list.complete) return;
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.up) CloseAll(std::exchange(endpoint.idle, {}));
  }
  std::erase_if(endpoints_, [](const auto& entry) { return !entry.second.up; });
}

void UpstreamPool::ApplyEntry(const ListedEndpoint& entry) {
  const auto found = endpoints_.try_emplace(entry.info.id).first;
  PooledEndpoint& endpoint = found->second;
  endpoint.up = entry.info.state == policy::EndpointState::kUp;
  if (!endpoint.up || endpoint.address != entry.address) CloseAll(std::exchange(endpoint.idle, {}));
  endpoint.address = entry.address;
  if (!endpoint.up) endpoints_.erase(found);
}

bool UpstreamPool::MayUse(const std::string& endpoint, const tcp::endpoint& address) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.address == address;
}

// --- Attempts

AttemptId UpstreamPool::Start(const std::string& endpoint, UpstreamRequest request) {
  const AttemptId attempt = next_attempt_++;
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end() && Now() < request.deadline) {
    if (const auto idle = TakeIdle(found->second)) {
      ++context_.counts.reuses;
      idle->Send(attempt, std::move(request));
      return attempt;
    }
    if (const auto connection = OpenConnection(endpoint, found->second)) {
      ++context_.counts.connects;
      connection->Connect(attempt, std::move(request));
      return attempt;
    }
  }
  ++context_.counts.not_started;
  request.on_end(AttemptResult::kNotSent, {});
  return attempt;
}

// Removes and returns the most recently used idle connection that is still open. Returns null if there is
// none. Closes the unusable connections that it finds.
std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdle(PooledEndpoint& endpoint) {
  while (!endpoint.idle.empty()) {
    auto connection = std::move(endpoint.idle.back());
    endpoint.idle.pop_back();
    if (connection->IsUsable()) return connection;
    ++context_.counts.stale;
    connection->Close();
  }
  return nullptr;
}

// Opens the socket of a new connection. Returns null if the connection limit is reached and no connection is
// idle, or if no file descriptor is available.
std::shared_ptr<UpstreamConnection> UpstreamPool::OpenConnection(const std::string& id,
                                                                 const PooledEndpoint& endpoint) {
  if (context_.open_connections >= connection_limit_ && !EvictIdle()) return nullptr;
  auto connection = std::make_shared<UpstreamConnection>(context_, id, endpoint.address);
  return connection->Open() ? connection : nullptr;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::FindConnection(AttemptId attempt) const {
  const auto found = connection_by_attempt_.find(attempt);
  return found == connection_by_attempt_.end() ? nullptr : found->second;
}

void UpstreamPool::SetDeadline(AttemptId attempt, Millis deadline) {
  if (const auto connection = FindConnection(attempt)) connection->SetDeadline(deadline);
}

void UpstreamPool::CancelUnsent(AttemptId attempt) {
  const auto connection = FindConnection(attempt);
  if (connection && connection->connecting()) connection->EndAttempt(AttemptResult::kNotSent);
}

void UpstreamPool::TimeOut(AttemptId attempt) {
  if (const auto connection = FindConnection(attempt)) connection->TimeOut();
}

void UpstreamPool::Cancel(AttemptId attempt) {
  if (const auto connection = FindConnection(attempt)) connection->CancelAttempt();
}

void UpstreamPool::OnAttemptStarted(AttemptId attempt,
                                    const std::shared_ptr<UpstreamConnection>& connection) {
  connection_by_attempt_[attempt] = connection;
}

// --- Idle connections

void UpstreamPool::OnIdle(const std::shared_ptr<UpstreamConnection>& connection) {
  endpoints_[connection->endpoint()].idle.push_back(connection);
}

void UpstreamPool::OnIdleClosed(const UpstreamConnection& connection) {
  const auto found = endpoints_.find(connection.endpoint());
  if (found == endpoints_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == &connection; });
}

// Closes the least recently used idle connection of the first endpoint that has idle connections. Returns
// false if no connection is idle.
bool UpstreamPool::EvictIdle() {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.idle.empty()) continue;
    endpoint.idle.front()->Close();
    endpoint.idle.erase(endpoint.idle.begin());
    return true;
  }
  return false;
}

void UpstreamPool::SetConnectionLimit(std::size_t limit) {
  connection_limit_ = limit;
  while (context_.open_connections > limit) {
    if (!EvictIdle()) return;
  }
}

}  // namespace gateway::proxy
