// Plots of a scale sweep: the measured points of each figure and the fitted curve up to the full size.
#ifndef GATEWAY_LAB_SCALE_SCALE_PLOT_HPP_
#define GATEWAY_LAB_SCALE_SCALE_PLOT_HPP_

#include <filesystem>
#include <vector>

#include "lab/scale/scale_result.hpp"

namespace gateway::lab {

// Draws one file FOLDER/NAME-GROUP.svg with gnuplot for each group of figures (processor, traffic, memory
// ...) in the result. Returns the paths of the files. Blocking. Throws std::runtime_error if the folder can't
// be written or gnuplot fails.
std::vector<std::filesystem::path> WriteScalePlots(const ScaleResult& result,
                                                   const std::filesystem::path& folder);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_SCALE_PLOT_HPP_
