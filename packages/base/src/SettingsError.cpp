#include "ridgeferry/base/SettingsError.h"

namespace ridgeferry {

std::string
FormatSettingsError(const SettingsError& aError)
{
  if (aError.m_faults.empty()) {
    return aError.m_file + ": " + aError.m_cause + "\n";
  }
  std::string out;
  for (const FieldError& fault : aError.m_faults) {
    out += aError.m_file + ": " + FormatFieldError(fault) + "\n";
  }
  return out;
}

} // namespace ridgeferry
