#include "proxy/upstream/response_classification.hpp"

#include <boost/beast/http/status.hpp>

namespace gateway::proxy {

policy::AttemptResult ClassifyResponse(const HttpResponse::header_type& head) {
  using boost::beast::http::status;
  if (head.result() == status::ok) return policy::AttemptResult::kServed;
  const bool may_be_rejection =
      head.result() == status::service_unavailable || head.result() == status::gateway_timeout;
  const bool rejected = may_be_rejection && head[kDeclinedField] == "1";
  return rejected ? policy::AttemptResult::kRejected : policy::AttemptResult::kError;
}

}  // namespace gateway::proxy
