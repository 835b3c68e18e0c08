#pragma once

#include <ridgeferry/experiment/Experiment.h>
#include <span>
#include <string>

namespace ridgeferry::experiment {

/** One run as one line of JSON. */
std::string
JsonLine(const Scenario& aScenario, const Outcome& aOutcome);

/**
 * A table of all runs: a row a policy and kind, means over the seeds, and each
 * policy's difference to the first with its interval. Precondition: runs of one
 * policy stand together, each with the same seeds in the same order.
 */
std::string
TableOf(const Scenario& aScenario, std::span<const Outcome> aOutcomes);

/** The in-aim share of each second as an SVG picture, a line a policy, means
 * over the seeds, with the offered calls behind them. */
std::string
PlotOf(const Scenario& aScenario, std::span<const Outcome> aOutcomes);

} // namespace ridgeferry::experiment
