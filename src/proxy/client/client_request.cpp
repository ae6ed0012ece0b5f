#include "proxy/client/client_request.hpp"

#include <utility>

#include "proxy/client/client_connection.hpp"

namespace gateway::proxy {

void ClientResponder::Respond(HttpResponse response, std::shared_ptr<BodySource> remaining_body) const {
  if (const auto connection = connection_.lock()) {
    connection->Respond(request_number_, std::move(response), std::move(remaining_body));
  } else if (remaining_body) {
    remaining_body->Cancel();
  }
}

bool ClientResponder::ClientDisconnected() const {
  const auto connection = connection_.lock();
  return !connection || connection->DetectDisconnect(request_number_);
}

Millis ClientResponder::EarliestCompletion() const {
  const auto connection = connection_.lock();
  return connection ? connection->EarliestCompletion(request_number_) : Now();
}

}  // namespace gateway::proxy
