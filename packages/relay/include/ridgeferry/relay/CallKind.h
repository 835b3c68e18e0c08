#pragma once

#include <ridgeferry/relay/SizeAllowance.h>
#include <ridgeferry/relay/TypicalPrompt.h>

namespace ridgeferry::relay {

/** What an instance has learned of one kind of call with prompts. */
struct CallKind
{
  TypicalPrompt m_typical;
  SizeAllowance m_allowance;
};

} // namespace ridgeferry::relay
