// The reason why a call to a list service failed, or why the gateway rejected the list that it returned.
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
    kHttpStatus,     // the status is not 200
    kMalformed,      // the body is not a valid endpoint list
    kOlderRevision,  // the list comes from a replica that has not received the newer revisions yet
    kOtherEpoch,     // the list is a delta to a list of another epoch, which the gateway does not have
    kRejected,       // DiscoveryClient::Observer::RejectionReason has rejected the list
  };
  Kind kind = Kind::kTransport;
  std::string message;  // the text for the log
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_DISCOVERY_LIST_ERROR_HPP_
