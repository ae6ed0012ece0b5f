#include "lab/gnuplot.hpp"

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace gateway::lab {
namespace {

// Returns the text as one single-quoted shell word. Each quote in it is written as '\'': it closes the quoted
// text, adds an escaped quote and opens the quoted text again.
std::string ShellQuoted(const std::string& text) {
  std::string quoted = "'";
  for (const char c : text) quoted += c == '\'' ? "'\\''" : std::string(1, c);
  return quoted + "'";
}

}  // namespace

std::string GnuplotQuoted(const std::string& text) {
  std::string quoted = "'";
  for (const char c : text) quoted += c == '\'' ? "''" : std::string(1, c);
  return quoted + "'";
}

void MakeFolder(const std::filesystem::path& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    throw std::runtime_error("can't create the folder '" + folder.string() + "': " + error.message());
  }
}

void WriteTextFile(const std::filesystem::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("can't write '" + path.string() + "'");
}

void RunGnuplot(const std::filesystem::path& folder, const std::string& name) {
  const std::string quoted_folder = ShellQuoted(std::filesystem::absolute(folder).string());
  if (std::system(("cd " + quoted_folder + " && gnuplot " + ShellQuoted(name)).c_str()) == 0) return;
  throw std::runtime_error("gnuplot failed on '" + (folder / name).string() +
                           "', or is not installed (Debian package gnuplot-nox)");
}

}  // namespace gateway::lab
