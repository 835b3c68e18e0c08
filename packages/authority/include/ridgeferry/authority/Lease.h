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
 * Number of one acquisition of a data centre's lease. Each acquisition has a
 * higher number than all earlier ones: within one generation of the store the
 * number rises by one, and the generation fills the bits above. The number
 * therefore also rises when the store was restored from an older copy that
 * lacks the latest acquisitions.
 */
using FencingNumber = std::uint64_t;

/**
 * Number of bits of a fencing number that lie below the generation. They can
 * count more acquisitions than one generation of the store can have, and leave
 * the whole number small enough to be exact in readers that represent it with
 * only 53 bits.
 */
constexpr int kFencingBits = 32;

/**
 * Returns the fencing number for the next acquisition of the lease. `aSeen` is
 * the number of the last acquisition that the store has recorded, and
 * `aGeneration` is the current generation of the store.
 */
constexpr FencingNumber
NextFencing(FencingNumber aSeen, StoreGeneration aGeneration)
{
  return std::max(aSeen, aGeneration << kFencingBits) + 1;
}

/** The lease row of a data centre. Every renewal changes this row. */
struct LeaseRow
{
  std::string m_holder; ///< Id of the holding process; never reused.
  FencingNumber m_fencing = 0;
  /**
   * Number of the write, different for each write of the holder. A row that is
   * read back can therefore be matched to exactly one write, and not to an
   * earlier write with otherwise equal content.
   */
  std::uint64_t m_beat = 0;
  bool m_released = false; ///< The holder resigned, so that a contender
                           ///< may acquire the lease without waiting.
  bool operator==(const LeaseRow&) const = default;
};

std::string
LeaseKey(std::string_view aDataCentre);
/**
 * Returns the key of a data centre's fence row. The fence row changes only when
 * the lease is acquired, so a transaction can be made conditional on "the
 * holder is still the same" without conflicting with the holder's own renewals.
 */
std::string
FenceKey(std::string_view aDataCentre);

std::string
EncodeLease(const LeaseRow& aRow);
tl::expected<LeaseRow, std::string>
DecodeLease(std::string_view aValue);

struct LeaseTick
{
  /** Whether this process should acquire the lease when the lease is free. */
  bool m_contends = true;
};
/** Result of a `ReadLease` action. */
struct LeaseRead
{
  table::ReadResult m_lease;
  table::ReadResult m_fence;
  StoreGeneration m_generation = 0; ///< Generation of the answering store.
};
/** Result of a `WriteLease` action. */
struct LeaseWritten
{
  std::uint64_t m_attempt = 0;
  table::CommitResult m_result = table::CommitResult::Unknown;
};
/** The process has learned that the store is in this generation. */
struct LeaseGeneration
{
  StoreGeneration m_generation = 0;
};
/** The process is about to stop as planned and gives the lease back. */
struct LeaseResign
{};
using LeaseEvent = std::
  variant<LeaseTick, LeaseRead, LeaseWritten, LeaseGeneration, LeaseResign>;

/**
 * Asks the driver to read the lease row first and the fence row second, and to
 * answer with `LeaseRead`.
 */
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
  /** Version of the fence row; 0: the fence row must be read first. */
  table::Version m_fenceVersion = 0;
};
struct AuthorityLost
{};
using LeaseAction =
  std::variant<ReadLease, WriteLease, AuthorityGained, AuthorityLost>;

struct LeaseTimes
{
  Duration m_term{ 6000 };
  /**
   * The holder gives up its authority earlier by this time, and a contender
   * waits longer by this time. The margin covers how far two clocks can drift
   * apart within one term because they run at different rates.
   */
  Duration m_margin{ 600 };
  Duration m_renewEvery{ 2000 };
  Duration m_pollEvery{ 1000 };
  /**
   * Factor by which the poll interval of a process that does not contend is
   * longer than `m_pollEvery`. With 45 instances in a data centre, these reads
   * would otherwise be most of the store's load. 0: such a process reads once,
   * at its start, and not again until it contends.
   */
  int m_idlePollFactor = 10;
};

/**
 * State machine with which one process acquires, renews and gives up its data
 * centre's planner lease. Only the process that holds the lease may send orders
 * to engines.
 *
 * Clocks of two processes are never compared. The holder counts its term from
 * the moment before it sent the write that committed. A contender acquires the
 * lease only after the row has stayed unchanged for a whole term and margin on
 * the contender's own clock. The old holder's authority therefore ends before
 * the new holder's begins, as long as the rates of both clocks differ by less
 * than margin/term.
 *
 * A store that was restored from an older copy may lack the last acquisition,
 * while the process that made this acquisition believes in its authority for
 * the rest of its term. When a process first sees a later generation of the
 * store, it therefore gives up its authority, and does not acquire the lease
 * for a whole term and margin, whatever the restored rows contain. Rows that it
 * read and wrote before no longer count, because versions of two generations
 * cannot be compared.
 *
 * The class does no input or output: `Handle` returns the actions that its
 * caller must execute. Not thread-safe.
 */
class Lease
{
public:
  Lease(std::string aDataCentre, std::string aProcess, LeaseTimes aTimes = {});

  /** Processes one event and returns the actions to execute, in order. */
  std::vector<LeaseAction> Handle(const LeaseEvent& aEvent, Instant aNow);

  /**
   * Returns whether this process may send an order at the time `aNow`. Must be
   * called right before each order is sent, as the authority may expire at any
   * time.
   */
  bool HasAuthority(Instant aNow) const;
  FencingNumber Fencing() const { return m_fencing; }
  table::Version FenceVersion() const { return m_fenceVersion; }
  /**
   * Returns the holder that the last lease row read names; empty before the
   * first read.
   */
  const std::string& SeenHolder() const { return m_seen.m_holder; }

private:
  using Actions = std::vector<LeaseAction>;

  /** A write that no read has confirmed or refuted yet. */
  struct OpenWrite
  {
    std::uint64_t m_attempt = 0;
    Instant m_sentAt;
    LeaseRow m_row;
    /** The write was answered; a read must still show whether it is in force.
     */
    bool m_answered = false;
  };

  void OnTick(const LeaseTick& aTick, Instant aNow, Actions& aActions);
  void OnRead(const LeaseRead& aRead, Instant aNow, Actions& aActions);
  void OnWritten(const LeaseWritten& aWritten, Instant aNow, Actions& aActions);
  void OnGeneration(StoreGeneration aGeneration,
                    Instant aNow,
                    Actions& aActions);
  void OnResign(Instant aNow, Actions& aActions);
  /**
   * Records the lease row that was read: `aLease` is the row as stored, with
   * its version, and `aRow` is its decoded content.
   */
  void NoteRow(const table::Row& aLease, const LeaseRow& aRow, Instant aNow);
  void Confirm(const OpenWrite& aWrite, Instant aNow, Actions& aActions);
  void Drop(Actions& aActions);
  bool MayAcquire(Instant aNow) const;
  void Write(LeaseRow aRow, bool aAcquires, Instant aNow, Actions& aActions);

  std::string m_dataCentre;
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
  /** When this process first saw the current row; empty if it never read. */
  std::optional<Instant> m_unchangedSince;
  bool m_hasRead = false;

  /** Highest generation of the store seen; std::nullopt if none was seen. */
  std::optional<StoreGeneration> m_generation;
  /**
   * Until then a holder whose acquisition was lost when the store was restored
   * may still believe in its authority, so no process may acquire the lease.
   */
  std::optional<Instant> m_noAcquisitionUntil;

  std::optional<OpenWrite> m_open;
  std::uint64_t m_lastAttempt = 0;
  std::optional<Instant> m_nextRead;
  std::optional<Instant> m_nextRenew;
};

} // namespace ridgeferry::authority
