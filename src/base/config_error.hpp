// The error of every reader of configurations.
#ifndef GATEWAY_BASE_CONFIG_ERROR_HPP_
#define GATEWAY_BASE_CONFIG_ERROR_HPP_

#include <stdexcept>

namespace gateway::base {

// A configuration that can't be read or that is wrong. what() is one line, which begins with the place of the
// fault ("FILE:LINE:COLUMN") or the name of the variable or field, and says what is wrong there.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_CONFIG_ERROR_HPP_
