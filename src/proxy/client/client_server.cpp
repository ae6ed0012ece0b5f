#include "proxy/client/client_server.hpp"

#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <utility>

#include "proxy/clock.hpp"
#include "proxy/retry_after.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// The interval at which the timeouts of all connections are checked.
constexpr Millis kTimeoutCheckIntervalMs = 500;
// The shortest time between two searches for incomplete requests to refuse, and the memory to free each time.
constexpr Millis kReliefIntervalMs = 20;
constexpr std::size_t kReliefBytes = 2 << 20;

}  // namespace

ClientServer::ClientServer(asio::io_context& io, const ClientServerOptions& options,
                           base::FileDescriptor inherited_listener, const policy::Settings& settings,
                           ClientCallbacks callbacks)
    : io_(io),
      context_{.io = io,
               .owner = *this,
               .callbacks = std::move(callbacks),
               .validator = RequestValidator(settings),
               .shed_retry_after_ms = settings.send_retry_after ? RefusalRetryAfterMs(settings) : 0,
               .buffer_budget = options.buffer_budget},
      table_(options.connection_limit),
      timeout_timer_(io),
      listener_(io, options.address, options.shared, std::move(inherited_listener), *this) {
  listener_.Resume();
  CheckTimeouts();
}

bool ClientServer::MayAccept() {
  return table_.MakeRoom() || (table_.ShedsNewClients() && table_.HasRoomToShed());
}

// Checks again whether there is room for a connection. The last check was made when the accept began, which
// may be a long time ago.
void ClientServer::OnAccepted(tcp::socket socket) {
  if (!table_.MakeRoom() && table_.ShedsNewClients()) {
    AddConnection(std::move(socket), /*transferred=*/false)->Shed();
  } else {
    AddConnection(std::move(socket), /*transferred=*/false)->Start(listener_.LongestWait());
  }
}

std::shared_ptr<ClientConnection> ClientServer::AddConnection(tcp::socket socket, bool transferred) {
  auto connection = std::make_shared<ClientConnection>(context_, std::move(socket), transferred);
  table_.Add(connection);
  return connection;
}

void ClientServer::OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) {
  table_.Remove(connection);
  ReportStopIfEmpty();
  if (!table_.AtLimit()) listener_.Resume();
}

// Posts the relief, because it may end the request that is being read.
void ClientServer::OnMemoryExhausted() {
  if (Now() - relieved_at_ < kReliefIntervalMs || std::exchange(relief_pending_, true)) return;
  asio::post(io_, [this] { RelieveMemory(); });
}

void ClientServer::RelieveMemory() {
  relief_pending_ = false;
  relieved_at_ = Now();
  if (context_.buffer_budget->Exhausted()) table_.RefuseUnsent(kReliefBytes);
}

void ClientServer::ReportStopIfEmpty() {
  if (on_stopped_ && table_.empty()) asio::post(io_, std::exchange(on_stopped_, nullptr));
}

void ClientServer::CheckTimeouts() {
  CheckTimeoutsAt(Now() + kTimeoutCheckIntervalMs);
  for (const auto& connection : table_.Snapshot()) connection->CheckTimeouts(Now());
  if (context_.buffer_budget->Exhausted()) OnMemoryExhausted();
}

void ClientServer::CheckTimeoutsAt(Millis time) {
  next_check_at_ = time;
  timeout_timer_.expires_after(TimerDuration(time - Now()));
  timeout_timer_.async_wait([this](error_code error) {
    if (!error) CheckTimeouts();
  });
}

void ClientServer::CheckTimeoutsBy(Millis time) {
  if (time < next_check_at_) CheckTimeoutsAt(time);
}

void ClientServer::SetDraining(bool draining) {
  draining ? context_.drain.Begin(Now()) : context_.drain.End();
}

void ClientServer::SetConnectionLimit(std::size_t limit) {
  table_.SetLimit(limit);
  if (!table_.AtLimit()) listener_.Resume();
}

void ClientServer::AcceptTransferredConnection(base::FileDescriptor client) {
  tcp::socket socket(io_);
  error_code error;
  socket.assign(listener_.protocol(), client.get(), error);
  if (error) return;
  client.Release();
  AddConnection(std::move(socket), /*transferred=*/true)->Start(/*accept_wait_ms=*/0);
}

void ClientServer::TransferConnections(ConnectionTransfer transfer, std::function<void()> done) {
  context_.transfer = std::move(transfer);
  on_stopped_ = std::move(done);
  listener_.Close();
  for (const auto& connection : table_.Snapshot()) connection->Transfer();
  ReportStopIfEmpty();
}

void ClientServer::StopListening(std::function<void()> done) {
  SetDraining(true);
  on_stopped_ = std::move(done);
  // Clients in the accept queue are connected and may have sent requests. Closing the listener would lose
  // these requests.
  while (!table_.AtLimit()) {
    auto socket = listener_.AcceptPending();
    if (!socket) break;
    AddConnection(std::move(*socket), /*transferred=*/false)->Start(listener_.LongestWait());
  }
  listener_.Close();
  for (const auto& connection : table_.Snapshot()) {
    if (connection->IsSettled(Now())) connection->Close();  // CheckTimeouts closes the remaining ones later
  }
  ReportStopIfEmpty();
}

void ClientServer::RefuseIncompleteRequests() {
  for (const auto& connection : table_.Snapshot()) connection->RefuseIncomplete();
}

}  // namespace gateway::proxy
