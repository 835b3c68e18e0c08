#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/streams/StreamOrigin.h>
#include <ridgeferry/streams/VersionHistory.h>
#include <string>
#include <string_view>
#include <variant>

namespace ridgeferry::streams {

/** All that is known of a stream that a caller takes up. */
struct OriginEvidence
{
  /** Service to which the call would go if nothing else were known. */
  std::string_view m_service;
  /** From a record, here or at another instance. */
  std::optional<StreamOrigin> m_origin;
  bool m_isAmbiguous = false; ///< Different origins were told.
  /** An instance that may have a record did not answer. */
  bool m_isUnanswered = false;
  /** The software versions that this instance has seen. */
  const VersionHistory& m_history;
  /** What another instance has seen of the service. */
  std::optional<SoleVersion> m_peersSole;
  /** This instance follows the list of upstreams at present. */
  bool m_hasList = false;
  /** Longest time from the beginning of a stream to a try that takes it up. */
  Duration m_memory{};
  /** The origins in the store could not be read. */
  bool m_isStoreUnread = false;
  /** The list of upstreams here is known to hold all that were listed when the
   * caller came. What has been seen for however long proves nothing about an
   * upstream that joined while this instance was cut off or suspended. */
  bool m_isListProven = false;
};

/** Why a stream may go on. */
enum class OriginProof : std::uint8_t
{
  Record,
  /** No other version has served for as long as a stream can last. */
  SoleVersion,
};

struct GoOn
{
  StreamOrigin m_origin;
  OriginProof m_proof = OriginProof::Record;
};

/** The call must not run. */
struct RefuseTakeUp
{
  enum class Cause : std::uint8_t
  {
    Ambiguous, ///< Several origins were told.
    Unknown,   ///< Nobody knows which of several versions began it.
    /** The same, but an instance that may know, or the store, has not answered
     * yet. */
    Unanswered,
  };
  Cause m_cause = Cause::Unknown;
  /** When to come back: when an instance may have answered, or when one version
   * alone may be proven to have served for long enough. */
  Duration m_retryAfter{};
};

using OriginDecision = std::variant<GoOn, RefuseTakeUp>;

/** When callers of a stream come back whose origin was not told in time: an
 * instance that was only slow answers by then. */
inline constexpr Duration kOriginRetryAfter{ 250 };
/** The same if the store did not answer, which is asked once a second. */
inline constexpr Duration kOriginStoreRetryAfter{ 1000 };

/** Decides whether a stream that a caller takes up may go on, and where.
 * Thread-safe. */
OriginDecision
DecideOrigin(const OriginEvidence& aEvidence, Instant aNow);

} // namespace ridgeferry::streams
