#include "registry/list_handler.hpp"

#include <utility>
#include <vector>

#include "registry/http_request.hpp"
#include "registry/registry_json.hpp"

namespace gateway::registry {
namespace {

constexpr std::size_t kMaxHistoryChanges = 10000;  // maximum number of changes in one response

}  // namespace

void ListHandler::HandleList(const std::shared_ptr<Session>& session, std::string_view target) {
  const auto query = ParseWatchQuery(target);
  if (!query) {
    return session->Respond(
        ErrorResponse({ErrorCode::kBadRequest, "", "'after' and 'wait_ms' must be non-negative integers"}));
  }
  const bool same_epoch = query->epoch.empty() || query->epoch == catalog_.epoch();
  if (!query->after || !same_epoch || !catalog_.HasHistorySince(*query->after)) return SendFullList(session);
  if (*query->after < catalog_.revision() || query->wait <= 0) {
    return session->Respond(BodyResponse(lists_.DeltaSince(*query->after)));
  }
  watches_.Add(session, *query->after, query->wait);
}

void ListHandler::SendFullList(const std::shared_ptr<Session>& session) {
  if (!admission_.AdmitFullList()) {
    Response response = ErrorResponse({ErrorCode::kOverloaded, "", "too many requests for the full list"});
    response.retry_after_s = admission_.RejectWithRetryAfter();
    return session->Respond(std::move(response));
  }
  ++full_lists_;
  session->Respond(BodyResponse(lists_.FullList()));
}

void ListHandler::HandleMembers(const std::shared_ptr<Session>& session) {
  session->Respond(BodyResponse(lists_.FullList()));
}

void ListHandler::HandleHistory(const std::shared_ptr<Session>& session, std::string_view target) const {
  const auto query = ParseWatchQuery(target);
  if (!query) {
    return session->Respond(
        ErrorResponse({ErrorCode::kBadRequest, "", "'after' must be a non-negative integer"}));
  }
  const Revision after = query->after.value_or(catalog_.oldest_revision());
  std::vector<const Member*> changes;
  for (const Member& change : catalog_.history()) {
    if (change.revision > after && changes.size() < kMaxHistoryChanges) changes.push_back(&change);
  }
  session->Respond(TextResponse(EncodeList(catalog_, /*complete=*/false, changes)));
}

void ListHandler::OnNewRevision() {
  lists_.Clear();
  watches_.NotifyAll();
}

}  // namespace gateway::registry
