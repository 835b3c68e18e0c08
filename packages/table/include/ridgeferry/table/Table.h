#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ridgeferry::table {

/** Version of a row; 0 means that the row does not exist. */
using Version = std::uint64_t;

struct Row
{
  std::string m_key;
  Version m_version = 0;
  std::string m_value;
  bool operator==(const Row&) const = default;
};

/** The transaction commits only if the row has this version. */
struct Condition
{
  std::string m_key;
  Version m_version = 0;
};

struct Put
{
  std::string m_key;
  std::string m_value;
};

/**
 * All puts take effect together if all conditions hold, else none does. Each
 * put raises its row's version by exactly one.
 */
struct Transaction
{
  std::vector<Condition> m_conditions;
  std::vector<Put> m_puts;
};

/** What is known of a transaction after its answer, or the lack of one. */
enum class CommitResult
{
  Committed,
  Conflict,   ///< A condition did not hold; nothing was written.
  NotWritten, ///< The service refused it, or it was never sent.
  Unknown,    ///< The answer was lost: it may have been written.
};

enum class ReadStatus
{
  Ok,
  Unavailable,
};

/** Answer to a read of one row. A missing row has version 0. */
struct ReadResult
{
  ReadStatus m_status = ReadStatus::Unavailable;
  Row m_row;
};

/** Rows whose keys start with a prefix, in key order. */
struct ScanResult
{
  ReadStatus m_status = ReadStatus::Unavailable;
  std::vector<Row> m_rows;
};

} // namespace ridgeferry::table
