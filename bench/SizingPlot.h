#pragma once

#include <filesystem>
#include <span>

namespace ridgeferry::bench {

/** One measured load of an instance. */
struct LoadPoint
{
  double m_tokensPerSecond = 0;
  double m_corePercent = 0;
};

/** Draws the processor time of one instance over the tokens that it streams,
 * as an SVG file. */
void
WriteSizingPlot(std::span<const LoadPoint> aPoints,
                const std::filesystem::path& aFile);

} // namespace ridgeferry::bench
