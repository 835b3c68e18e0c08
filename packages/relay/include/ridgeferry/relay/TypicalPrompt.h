#pragma once

#include <cstdint>
#include <ridgeferry/relay/Prompt.h>

namespace ridgeferry::relay {

/**
 * The mean prompt of one kind of call, over about the last fifty prompts. Not
 * thread-safe.
 */
class TypicalPrompt
{
public:
  void Note(const Prompt& aPrompt);
  /**
   * Returns the mean prompt, without keys of shared segments. Must not be
   * called before `Note`.
   */
  Prompt Value() const;

private:
  std::int64_t m_count = 0;
  double m_shared = 0; ///< These are mean token counts, as in `Prompt`.
  double m_common = 0;
  double m_own = 0;
  double m_out = 0;
};

} // namespace ridgeferry::relay
