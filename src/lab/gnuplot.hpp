// Running gnuplot, and writing what it reads. Used by every plot of the lab.
#ifndef GATEWAY_LAB_GNUPLOT_HPP_
#define GATEWAY_LAB_GNUPLOT_HPP_

#include <filesystem>
#include <string>

namespace gateway::lab {

// The text as gnuplot reads it within single quotes, with these.
std::string GnuplotQuoted(const std::string& text);

// Makes the folder and those above it. Throws std::runtime_error.
void MakeFolder(const std::filesystem::path& folder);

// Throws std::runtime_error where the file can't be written.
void WriteTextFile(const std::filesystem::path& path, const std::string& text);

// Runs the script FOLDER/NAME in that folder. Throws std::runtime_error where gnuplot is missing or fails.
void RunGnuplot(const std::filesystem::path& folder, const std::string& name);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GNUPLOT_HPP_
