// The reason why a call to a list service did not deliver an acceptable list.
#ifndef GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_
#define GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_

#include <string>

namespace gateway::proxy {

struct ListError {
  enum class Kind {
    kConnectTimeout,
    kResponseTimeout,
    kTransport,      // the connection could not be opened, or failed
    kTooLong,        // Content-Length exceeds the limit
    kHttpStatus,     // any status but 200
    kMalformed,      // the body is not a valid endpoint list
    kOlderRevision,  // from a replica that lags behind
    kOtherEpoch,     // a delta to a list of another epoch, which this gateway does not have
    kRejected,       // by DiscoveryClient::Observer::RejectionReason
  };
  Kind kind = Kind::kTransport;
  std::string message;  // for the log
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_
