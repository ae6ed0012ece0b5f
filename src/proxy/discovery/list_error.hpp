// Why a call to a list service brought no list that was accepted.
#ifndef GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_
#define GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_

#include <string>

namespace gateway::proxy {

struct ListError {
  enum class Kind {
    kConnectTimeout,
    kResponseTimeout,
    kTransport,      // the connection could not be opened, or broke
    kTooLong,        // the announced body exceeds the limit
    kHttpStatus,     // any other than 200
    kMalformed,      // the body is no endpoint list
    kOlderRevision,  // a replica that lags behind
    kOtherEpoch,     // a delta to a list that this gateway does not have
    kRejected,       // by DiscoveryClient::Observer::RejectionReason
  };
  Kind kind = Kind::kTransport;
  std::string message;  // for the log
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_
