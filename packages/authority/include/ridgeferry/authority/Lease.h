#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/table/Table.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::authority {

/**
 * Rises with each taking of a hall's lease: by one within one generation of the
 * store, whose number is the high part. So it rises also where the store has
 * come back from a copy that lacks the last takings.
 */
using FencingNumber = std::uint64_t;

/** Bits of a fencing number below the generation: more takings than there can
 * be in one, while the whole number stays exact where only 53 bits are. */
constexpr int kFencingBits = 32;

/** Number of the next taking; `aSeen`: that of the last one as the store has
 * it.
 */
constexpr FencingNumber
NextFencing(FencingNumber aSeen, StoreGeneration aGeneration)
{
  return std::max(aSeen, aGeneration << kFencingBits) + 1;
}

/** The lease row of a hall. It changes with every renewal. */
struct LeaseRow
{
  std::string m_holder; ///< Process id of the holder, unique for ever.
  FencingNumber m_fencing = 0;
  /** Of the holder's writes, each its own: a row that is read is that of one
   * write, not of an earlier one that said the same. */
  std::uint64_t m_beat = 0;
  bool m_released = false; ///< The holder resigned: no need to wait.
  bool operator==(const LeaseRow&) const = default;
};

std::string
LeaseKey(std::string_view aHall);
/**
 * The fence row of a hall changes only when the lease is taken, so that a
 * transaction may be made conditional on "still the same holder" without
 * colliding with the holder's own renewals.
 */
std::string
FenceKey(std::string_view aHall);

std::string
EncodeLease(const LeaseRow& aRow);
tl::expected<LeaseRow, std::string>
DecodeLease(std::string_view aValue);

struct LeaseTick
{
  /** Whether this process should take a lease that is free. */
  bool m_contends = true;
};
/** Answer to `ReadLease`. */
struct LeaseRead
{
  table::ReadResult m_lease;
  table::ReadResult m_fence;
  StoreGeneration m_generation = 0; ///< Of the store that answered.
};
/** Answer to `WriteLease`. */
struct LeaseWritten
{
  std::uint64_t m_attempt = 0;
  table::CommitResult m_result = table::CommitResult::Unknown;
};
/** The store was seen to be in that generation. */
struct LeaseGeneration
{
  StoreGeneration m_generation = 0;
};
/** Planned stop: give the lease back. */
struct LeaseResign
{};
using LeaseEvent = std::
  variant<LeaseTick, LeaseRead, LeaseWritten, LeaseGeneration, LeaseResign>;

/** Read the lease row, then the fence row, in that order. */
struct ReadLease
{};
struct WriteLease
{
  std::uint64_t m_attempt = 0;
  table::Transaction m_transaction;
};
struct AuthorityGained
{
  FencingNumber m_fencing = 0;
  table::Version m_fenceVersion = 0; ///< 0: read the fence row first.
};
struct AuthorityLost
{};
using LeaseAction =
  std::variant<ReadLease, WriteLease, AuthorityGained, AuthorityLost>;

struct LeaseTimes
{
  Duration m_term{ 6000 };
  /** What the holder stops early, and a taker waits longer: it covers the
   * difference of two clocks' rates over one term. */
  Duration m_margin{ 600 };
  Duration m_renewEvery{ 2000 };
  Duration m_pollEvery{ 1000 };
  /** How many times more seldom a process reads that does not contend: with
   * 45 instances a hall the reads would be most of the table's. 0: it reads
   * once, at its start, and then not until it contends. */
  int m_seldom = 10;
};

/**
 * One process's part in the lease of its hall's planner.
 *
 * No clocks are compared. The holder counts its term from the moment before it
 * sent the write that committed; a taker waits until it has seen the same row
 * for a whole term on its own clock. So a holder's authority ends before a
 * taker's begins, if both clocks run at the same rate within margin/term.
 *
 * A store that came back from an older copy may lack the last taking: whoever
 * holds by the history that is lost believes so for the rest of its term. So at
 * the first sight of a later generation a holder's authority ends, and nobody
 * takes the lease for a whole term and margin from then on, whatever the copy
 * says. What was read and written before counts no more: the versions of two
 * generations say nothing of each other.
 * A pure state machine; not thread-safe.
 */
class Lease
{
public:
  Lease(std::string aHall, std::string aProcess, LeaseTimes aTimes = {});

  std::vector<LeaseAction> Handle(const LeaseEvent& aEvent, Instant aNow);

  /** Whether an order may be sent now. Ask right before each use. */
  bool HasAuthority(Instant aNow) const;
  FencingNumber Fencing() const { return m_fencing; }
  table::Version FenceVersion() const { return m_fenceVersion; }
  /** Holder named by the row last read; empty before the first read. */
  const std::string& SeenHolder() const { return m_seen.m_holder; }

private:
  using Actions = std::vector<LeaseAction>;

  /** A write whose answer is still open. */
  struct OpenWrite
  {
    std::uint64_t m_attempt = 0;
    Instant m_sentAt;
    LeaseRow m_row;
    bool m_answered = false; ///< Only a read is still missing.
  };

  void OnTick(const LeaseTick& aTick, Instant aNow, Actions& aActions);
  void OnRead(const LeaseRead& aRead, Instant aNow, Actions& aActions);
  void OnWritten(const LeaseWritten& aWritten, Instant aNow, Actions& aActions);
  void OnGeneration(StoreGeneration aGeneration,
                    Instant aNow,
                    Actions& aActions);
  void OnResign(Instant aNow, Actions& aActions);
  void NoteRow(const table::Row& aLease, const LeaseRow& aRow, Instant aNow);
  void Confirm(const OpenWrite& aWrite, Instant aNow, Actions& aActions);
  void Drop(Actions& aActions);
  bool MayTake(Instant aNow) const;
  void Write(LeaseRow aRow, bool aTakes, Instant aNow, Actions& aActions);

  std::string m_hall;
  std::string m_process;
  LeaseTimes m_times;

  bool m_holds = false;
  Instant m_validUntil;
  FencingNumber m_fencing = 0;
  table::Version m_fenceVersion = 0;
  bool m_resigned = false;

  LeaseRow m_seen;
  table::Version m_seenVersion = 0;
  table::Version m_seenFenceVersion = 0;
  std::optional<Instant> m_unchangedSince; ///< Empty: never read.
  bool m_hasRead = false;

  /** Of the store, as far as seen; nothing: never. */
  std::optional<StoreGeneration> m_generation;
  /** A holder by a lost history may believe in its authority until then. */
  std::optional<Instant> m_nobodyTakesUntil;

  std::optional<OpenWrite> m_open;
  std::uint64_t m_lastAttempt = 0;
  std::optional<Instant> m_nextRead;
  std::optional<Instant> m_nextRenew;
};

} // namespace ridgeferry::authority
