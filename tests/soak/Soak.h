#pragma once

#include "SoakHistory.h"
#include "SoakPlan.h"

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace ridgeferry::soak {

/** Where a run finds the program under test, and puts its settings and logs. */
struct SoakPlace
{
  std::filesystem::path m_program;
  std::filesystem::path m_files;
};

struct SoakSize
{
  std::size_t m_instances = 3;
  std::size_t m_services = 3;
  std::size_t m_readers = 2;
  std::size_t m_generators = 3;
  int m_callsPerSecond = 100;
  Duration m_length{ 12'000 }; ///< Of the faults; the end comes after them.
};

struct SoakResult
{
  std::vector<std::string> m_wrong; ///< Empty: every promise was kept.
  std::size_t m_calls = 0;
  std::size_t m_served = 0;
  std::size_t m_runs = 0;
  std::size_t m_faults = 0;
};

/** Plays one seed with real processes, on this thread. `aTell` hears of each
 * fault as it begins. */
SoakResult
PlaySoak(const SoakPlace& aPlace,
         const SoakSize& aSize,
         std::uint64_t aSeed,
         const std::function<void(const std::string&)>& aTell);

} // namespace ridgeferry::soak
