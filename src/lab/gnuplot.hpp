// Runs gnuplot and writes the files that it reads.
#ifndef GATEWAY_LAB_GNUPLOT_HPP_
#define GATEWAY_LAB_GNUPLOT_HPP_

#include <filesystem>
#include <string>

namespace gateway::lab {

// The text as a string of gnuplot, in single quotes.
std::string GnuplotQuoted(const std::string& text);

// Makes the folder and those above it. Throws std::runtime_error.
void MakeFolder(const std::filesystem::path& folder);

// Throws std::runtime_error where the file can't be written.
void WriteTextFile(const std::filesystem::path& path, const std::string& text);

// Runs the script FOLDER/NAME in that folder. Throws std::runtime_error where gnuplot is missing or fails.
void RunGnuplot(const std::filesystem::path& folder, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GNUPLOT_HPP_
