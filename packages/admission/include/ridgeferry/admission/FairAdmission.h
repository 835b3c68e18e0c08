#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <ridgeferry/admission/ConcurrencyLimit.h>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>
#include <variant>

namespace ridgeferry::admission {

/** A call that wants to be placed at an upstream of a service. */
struct Ask
{
  std::string_view m_service;
  /** Empty if calls need no key: they all have one share then. */
  std::string_view m_organisation;
  /** The service has calls more urgent than this one. */
  bool m_yieldsToUrgent = false;
  /** A random number, at least 0 and below 1. */
  double m_draw = 0;
};

/** The call may be placed, and counts as under way until `NoteEnded`. */
struct Admitted
{};

/** The call cannot be answered in time, or only at the expense of other
 * organisations. */
struct Refused
{
  Duration m_roomIn{}; ///< When its caller should come back.
  /** The organisation used less than its share: there is no room for anyone. */
  bool m_isWithinShare = false;
  double m_limit = 0; ///< Calls that may be under way at this instance.
  std::size_t m_inFlight = 0;
};

using Verdict = std::variant<Admitted, Refused>;

/**
 * Decides which calls to a service are placed while it is short of room.
 *
 * As many calls may be under way as are answered in time; see
 * `ConcurrencyLimit`. Beyond that, only organisations are admitted that have
 * had less than their max-min fair share of late, so the one that asks for most
 * is refused first, and what the others leave is its own. Callers come to all
 * instances alike, so shares that hold at each hold for all together, without a
 * message.
 *
 * Pure, not thread-safe.
 */
class FairAdmission
{
public:
  /** Time in which what an organisation has had loses weight by the factor e.
   */
  static constexpr Duration kMemory{ 10'000 };
  /** Up to how far beyond the limit organisations below their share are
   * admitted, as a part of it, and at least how many calls. */
  static constexpr double kMostBeyond = 0.5;
  static constexpr double kCallsBeyond = 3;
  /** Part of the limit that less urgent calls may use. */
  static constexpr double kYieldingPart = 0.9;
  /** Bounds of the time after which callers are asked back. */
  static constexpr Duration kLeastReturn{ 200 };
  static constexpr Duration kMostReturn{ 3000 };
  /** Time without calls after which a service is forgotten. */
  static constexpr Duration kForgetAfter{ 60'000 };

  Verdict Decide(const Ask& aAsk, Instant aNow);
  /** Records the answer of an upstream to a call that was admitted. */
  LimitStep NoteAnswer(std::string_view aService,
                       const Answer& aAnswer,
                       Instant aNow);
  /** Records that a call that was admitted is no longer under way. Must be
   * called once for each. */
  void NoteEnded(std::string_view aService);
  /** Returns how many calls to the service may be under way; std::nullopt if
   * there is no limit. */
  std::optional<double> LimitOf(std::string_view aService) const;

private:
  struct Service
  {
    ConcurrencyLimit m_limit;
    std::size_t m_inFlight = 0;
    Instant m_usedAt;
    /** What the organisations have had, weighted by `WeightAt`. */
    std::map<std::string, double, std::less<>> m_had;
    Instant m_epoch;        ///< When a call has the weight 1.
    Instant m_nextReturnAt; ///< When the next one refused should come back.
  };

  Service& ServiceOf(std::string_view aName, Instant aNow);
  /** Returns the weight of a call admitted now: it grows with time, which is as
   * good as that of earlier ones falling. */
  static double WeightAt(Service& aService, Instant aNow);
  /** Returns whether the organisation has had less than its max-min fair share
   * of what there is room for if so many calls may be under way, and less than
   * the one that has had most. */
  static bool IsBelowShare(const Service& aService,
                           std::string_view aOrganisation,
                           double aLimit);
  static Duration RoomIn(Service& aService, double aDraw, Instant aNow);

  std::map<std::string, Service, std::less<>> m_services;
};

} // namespace ridgeferry::admission
