#include "cli/subcommand.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace gateway::cli {

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw std::runtime_error("can't read '" + path + "'");
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace gateway::cli
