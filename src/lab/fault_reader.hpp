// Reads the [[faults]] tables of an experiment's file.
#ifndef GATEWAY_LAB_FAULT_READER_HPP_
#define GATEWAY_LAB_FAULT_READER_HPP_

#include "base/toml_reader.hpp"
#include "lab/experiment.hpp"

namespace gateway::lab {

// Reads one fault. Fleet, hosts and traffic of `experiment` must already be set. Throws base::ConfigError.
Fault ReadFault(base::TomlTable& table, const Experiment& experiment);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FAULT_READER_HPP_
