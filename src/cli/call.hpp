// One call to a gateway's operators' address.
#ifndef GATEWAY_CLI_CALL_HPP_
#define GATEWAY_CLI_CALL_HPP_

#include <stdexcept>
#include <string>

namespace gateway::cli {

struct CallAnswer {
  bool success = false;  // SUCCESS, or figures to their last line
  std::string text;
};

// No connection, or no answer in time.
class CallFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Waits 5 s at most. Throws CallFailure, and std::invalid_argument for what is no address.
CallAnswer Call(const std::string& address, const std::string& call);

}  // namespace gateway::cli

#endif  // GATEWAY_CLI_CALL_HPP_
