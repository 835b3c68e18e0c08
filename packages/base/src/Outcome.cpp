#include "ridgeferry/base/Outcome.h"

namespace ridgeferry {

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return "not-run";
    case Outcome::MayHaveRun:
      return "may-have-run";
    case Outcome::Ran:
      return "ran";
  }
  return "may-have-run";
}

} // namespace ridgeferry
