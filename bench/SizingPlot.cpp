#include "SizingPlot.h"

#include <algorithm>
#include <cmath>
#include <fstream>

namespace ridgeferry::bench {

namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 360;
constexpr double kMargin = 60;

/** Maps measured values to places in the picture. */
struct Scale
{
  double m_mostTokens = 1;
  double m_mostPercent = 1;

  double X(double aTokens) const
  {
    return kMargin + aTokens / m_mostTokens * (kWidth - 2 * kMargin);
  }
  double Y(double aPercent) const
  {
    return kHeight - kMargin -
           aPercent / m_mostPercent * (kHeight - 2 * kMargin);
  }
};

} // namespace

void
WriteSizingPlot(std::span<const LoadPoint> aPoints,
                const std::filesystem::path& aFile)
{
  Scale scale;
  for (const LoadPoint& point : aPoints) {
    scale.m_mostTokens = std::max(scale.m_mostTokens, point.m_tokensPerSecond);
    scale.m_mostPercent = std::max(scale.m_mostPercent, point.m_corePercent);
  }
  std::ofstream out(aFile);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<path fill=\"none\" stroke=\"black\" d=\"M" << scale.X(0) << ' '
      << scale.Y(scale.m_mostPercent) << " V" << scale.Y(0) << " H"
      << scale.X(scale.m_mostTokens) << "\"/>\n"
      << "<text x=\"" << kWidth / 2 - 70 << "\" y=\"" << kHeight - 15
      << "\">tokens a second</text>\n"
      << "<text x=\"10\" y=\"30\">% of a core, one instance</text>\n";
  out << "<polyline fill=\"none\" stroke=\"steelblue\" points=\"" << scale.X(0)
      << ',' << scale.Y(0);
  for (const LoadPoint& point : aPoints) {
    out << ' ' << scale.X(point.m_tokensPerSecond) << ','
        << scale.Y(point.m_corePercent);
  }
  out << "\"/>\n";
  for (const LoadPoint& point : aPoints) {
    const double x = scale.X(point.m_tokensPerSecond);
    const double y = scale.Y(point.m_corePercent);
    out << "<circle cx=\"" << x << "\" cy=\"" << y
        << "\" r=\"3\" fill=\"steelblue\"/>\n<text x=\"" << x - 60 << "\" y=\""
        << y - 8 << "\">" << std::lround(point.m_tokensPerSecond) << "/s, "
        << std::lround(point.m_corePercent) << "%</text>\n";
  }
  out << "</svg>\n";
}

} // namespace ridgeferry::bench
