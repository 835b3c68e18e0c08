#pragma once

#include <ridgeferry/base/FieldReader.h>
#include <string>
#include <vector>

namespace ridgeferry {

/** Why a settings file cannot be used: all its faults at once. */
struct SettingsError
{
  std::string m_file;
  std::vector<FieldError> m_faults; ///< Empty: the file itself.
  std::string m_cause;              ///< If the file itself is unusable.
};

/** One line a fault. Thread-safe. */
std::string
FormatSettingsError(const SettingsError& aError);

} // namespace ridgeferry
