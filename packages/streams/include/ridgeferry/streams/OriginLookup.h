#pragma once

#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/streams/StreamKey.h>
#include <ridgeferry/streams/StreamOrigin.h>
#include <ridgeferry/streams/VersionHistory.h>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ridgeferry::streams {

/** What an instance answers that has no record of a stream. */
struct NoRecord
{
  StreamKey m_key;
  /** What it knows of the service that was asked about, if anything. */
  std::optional<SoleVersion> m_sole;

  bool operator==(const NoRecord&) const = default;
};

// ---- actions ----

struct AskHolders
{
  StreamKey m_key;
  std::string m_service;
  std::vector<std::string> m_addresses;
};
/** The lookup has ended; it is forgotten. */
struct LookupEnded
{
  StreamKey m_key;
  /** std::nullopt if no instance has a record. */
  std::optional<StreamOrigin> m_origin;
  /** Some instance did not answer, and may have a record. */
  bool m_isUnanswered = false;
  /** The longest statement about the service that an instance made. */
  std::optional<SoleVersion> m_sole;
  /** Some instances were asked, all of them answered, and all have seen one
   * version alone, the same one. */
  bool m_isVouched = false;
};
using LookupAction = std::variant<AskHolders, LookupEnded>;

/**
 * Asks other instances for the origins of streams that are not known here. The
 * first record ends a lookup; without one it ends when all have answered, or
 * after `kLongest`.
 *
 * The class performs no input or output. Pure, not thread-safe.
 */
class OriginLookups
{
public:
  /** How long an answer is awaited before the question is sent again: some
   * round trips between two data centres. */
  static constexpr Duration kAskAgain{ 40 };
  /** Longest time that the caller of a stream waits for its origin: an instance
   * that does not answer by then is lost or suspended. */
  static constexpr Duration kLongest{ 150 };

  /**
   * Begins a lookup, or joins the one that is under way for the same stream.
   * Precondition: `aHolders` are addresses of other instances.
   */
  std::vector<LookupAction> Begin(const StreamKey& aKey,
                                  std::string_view aService,
                                  std::vector<std::string> aHolders,
                                  Instant aNow);
  /** Another instance has a record of the stream. */
  std::vector<LookupAction> TakeRecord(const StreamKey& aKey,
                                       const StreamOrigin& aOrigin);
  /** The instance at `aFrom` has no record. */
  std::vector<LookupAction> TakeNoRecord(const NoRecord& aAnswer,
                                         std::string_view aFrom);
  std::vector<LookupAction> Tick(Instant aNow);
  bool IsIdle() const { return m_lookups.empty(); }

private:
  struct Lookup
  {
    std::string m_service;
    Instant m_since;
    Instant m_asked;
    std::set<std::string, std::less<>> m_unanswered;
    std::optional<SoleVersion> m_sole;
    int m_answers = 0;
    /** An answer named no version, or another one than an earlier answer. */
    bool m_isDisputed = false;
  };
  using Lookups = std::map<StreamKey, Lookup>;

  /** Ends the lookup without a record. Returns the one behind it. */
  Lookups::iterator End(Lookups::iterator aLookup,
                        std::vector<LookupAction>& aActions);

  Lookups m_lookups;
};

} // namespace ridgeferry::streams
