#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace ridgeferry {

/** How what is told of an upstream stands to what is held of it. */
enum class LifeOrder : std::uint8_t
{
  Same,    ///< Or it cannot be told, as one of them does not say.
  Earlier, ///< It is of a life that has ended.
  Later,   ///< The life that is held has ended.
};

/**
 * One life of an upstream: a process that starts again under its id has none of
 * what the one before it had, neither its connections nor what it kept or was
 * ordered, nor its leaving. A plain value.
 */
struct UpstreamLife
{
  std::string m_id;
  /** Start of the process, in Unix milliseconds by its own clock; nothing: it
   * does not say. */
  std::optional<std::int64_t> m_born = {};

  bool operator==(const UpstreamLife&) const = default;
};

/** How a life that is told stands to the one that is held, of one id. */
constexpr LifeOrder
Compare(std::optional<std::int64_t> aHeldBorn,
        std::optional<std::int64_t> aToldBorn)
{
  if (!aHeldBorn || !aToldBorn || *aHeldBorn == *aToldBorn) {
    return LifeOrder::Same;
  }
  return *aToldBorn < *aHeldBorn ? LifeOrder::Earlier : LifeOrder::Later;
}

} // namespace ridgeferry
