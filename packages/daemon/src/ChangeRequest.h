#pragma once

#include <ridgeferry/base/FieldReader.h>
#include <ridgeferry/config/Change.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::daemon {

/** An operator's change, as sent to the administration API. */
struct ChangeRequest
{
  std::string m_reason;
  config::Revision m_expected = 0; ///< 0: any.
  std::vector<declared::Edit> m_edits;
};

/**
 * Reads `{"reason", "expectedRevision", "put": [...], "delete": [...]}`.
 * Error: every fault, with pointers into the text. Thread-safe.
 */
tl::expected<ChangeRequest, std::vector<FieldError>>
ReadChangeRequest(std::string_view aText);

} // namespace ridgeferry::daemon
