#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <ridgeferry/base/Time.h>
#include <string_view>
#include <unordered_set>

namespace ridgeferry::relay {

/** The calls of which callers were told lately that they have not run and never
 * will, so that what an upstream says later can be held against it. Bounded in
 * time and number. Not thread-safe. */
class NotRunPromises
{
public:
  /** How long a promise is kept: longer than callers of present services wait
   * for an answer. */
  static constexpr Duration kKeptFor{ 20'000 };
  static constexpr std::size_t kMost = 4096;

  /** Precondition: `aNow` does not go back. */
  void Note(std::string_view aCall, Instant aNow);
  /** Returns whether `aCall` was promised not to run, and that is kept still.
   */
  bool Has(std::string_view aCall, Instant aNow);

private:
  struct Promise
  {
    Instant m_at;
    std::uint64_t m_call = 0; ///< Hash of the call's id.
  };

  void Forget(Instant aNow);

  std::deque<Promise> m_promises; ///< By time.
  std::unordered_multiset<std::uint64_t> m_calls;
};

} // namespace ridgeferry::relay
