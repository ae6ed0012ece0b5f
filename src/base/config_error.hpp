// The exception that all configuration readers throw.
#ifndef GATEWAY_BASE_CONFIG_ERROR_HPP_
#define GATEWAY_BASE_CONFIG_ERROR_HPP_

#include <stdexcept>

namespace gateway::base {

// Reports a configuration that can't be read or is invalid. what() is one line. It begins with the location
// of the error ("FILE:LINE:COLUMN") or with the name of the variable or field, and then describes the error.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_CONFIG_ERROR_HPP_
