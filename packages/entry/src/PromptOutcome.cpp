#include "PromptOutcome.h"

#include <array>

namespace ridgeferry::entry {

namespace {

/** A range of prompt sizes that metrics count together. */
struct SizeBand
{
  std::int64_t m_below; ///< Exclusive upper bound, in tokens.
  std::string_view m_name;
};

constexpr std::array kBands{
  SizeBand{ 512, "0-512" },      SizeBand{ 1024, "512-1k" },
  SizeBand{ 2048, "1k-2k" },     SizeBand{ 4096, "2k-4k" },
  SizeBand{ 8192, "4k-8k" },     SizeBand{ 16'384, "8k-16k" },
  SizeBand{ 32'768, "16k-32k" }, SizeBand{ 65'536, "32k-64k" },
};
constexpr std::string_view kLargest = "64k-";

} // namespace

std::string_view
NameOf(PromptOutcome aOutcome)
{
  switch (aOutcome) {
    case PromptOutcome::InAim:
      return "in-aim";
    case PromptOutcome::Late:
      return "late";
    case PromptOutcome::Refused:
      return "refused";
    case PromptOutcome::Failed:
      break;
  }
  return "failed";
}

std::string_view
SizeBandOf(std::int64_t aTokens)
{
  for (const SizeBand& band : kBands) {
    if (aTokens < band.m_below) {
      return band.m_name;
    }
  }
  return kLargest;
}

} // namespace ridgeferry::entry
