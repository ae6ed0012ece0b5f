// Runs gnuplot and writes the files that it reads.
#ifndef GATEWAY_LAB_GNUPLOT_HPP_
#define GATEWAY_LAB_GNUPLOT_HPP_

#include <filesystem>
#include <string>

namespace gateway::lab {

// Returns the text as a single-quoted gnuplot string.
std::string GnuplotQuoted(const std::string& text);

// Creates the folder and its parents. Throws std::runtime_error if a folder can't be created.
void MakeFolder(const std::filesystem::path& folder);

// Throws std::runtime_error if the file can't be written.
void WriteTextFile(const std::filesystem::path& path, const std::string& text);

// Runs the script `name` in the folder. Throws std::runtime_error if gnuplot is missing or fails.
void RunGnuplot(const std::filesystem::path& folder, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GNUPLOT_HPP_
