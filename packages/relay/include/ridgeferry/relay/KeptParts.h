#pragma once

#include <cstdint>
#include <ridgeferry/base/Time.h>
#include <unordered_map>

namespace ridgeferry::relay {

/** An engine was given a shared part to read, or to use. */
struct KeptPart
{
  std::uint32_t m_part = 0;   ///< `SharedPart::m_key`.
  std::uint32_t m_member = 0; ///< `Fleet::ShortHash` of the engine's id.
  bool operator==(const KeptPart&) const = default;
};

/**
 * Which engines keep which shared parts, by what all instances had read there.
 *
 * It answers loads with few large shared parts at engines that read slowly:
 * there a prompt that goes where its part is not kept takes several times the
 * reading of one that does, and in a peak there is no such reading to spare.
 * Homes by hash alone send it elsewhere as soon as the home is busy, and forget
 * it there.
 *
 * Engines give up what was unused longest, so what was used lately is kept.
 * Decisions only; not thread-safe.
 */
class KeptParts
{
public:
  /**
   * For how long a part counts as kept after its last use. Engines of today
   * keep 470,000 tokens and read up to 60,000 a second; with a third of that
   * read for the first time, they turn over in some 20 s.
   */
  static constexpr Duration kLife{ 20'000 };

  /** The same at engines that generate: each call brings its whole prompt
   * there, and they turn over in some 4 s. */
  static constexpr Duration kLifeBesideOutput{ 4000 };

  void Note(const KeptPart& aPart, Instant aNow);
  /** `aLife`: one of the two above. */
  bool IsKept(const KeptPart& aPart, Duration aLife, Instant aNow) const;

  /** The engine has started again, and keeps nothing. */
  void ForgetMember(std::uint32_t aMember);

private:
  void Forget(Instant aNow);

  std::unordered_map<std::uint64_t, Instant> m_usedAt;
  Instant m_forgotten;
};

} // namespace ridgeferry::relay
