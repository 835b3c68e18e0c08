#pragma once

#include <cstdint>
#include <iostream>
#include <rapidcheck.h>

namespace ridgeferry {

/** A seed that once failed, with the number of cases that it was drawn for. */
struct KeptSeed
{
  std::uint64_t m_seed = 0;
  int m_cases = 100;
};

/** Checks a property with that seed, whatever the settings of the run say. */
template<typename Property>
bool
CheckSeed(const KeptSeed& aSeed, Property aProperty)
{
  rc::detail::TestParams params;
  params.seed = aSeed.m_seed;
  params.maxSuccess = aSeed.m_cases;
  const auto result =
    rc::detail::checkTestable(aProperty, rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  return result.template is<rc::detail::SuccessResult>();
}

} // namespace ridgeferry
