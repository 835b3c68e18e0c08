#pragma once

#include <cstdint>
#include <ridgeferry/declared/Catalog.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::config {

using Revision = std::uint64_t;

/** Keys of the rows of the configuration in the table. */
inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr std::string_view kChangePrefix = "config/change/";
inline constexpr std::string_view kSnapshotKey = "config/snapshot";

/**
 * One accepted change. The changes together are the history and the audit trail
 * of the configuration.
 */
struct Change
{
  Revision m_revision = 0;
  std::string m_id; ///< Chosen by the submitter and never used again.
  std::string m_author;
  std::string m_reason;
  /** Time of the submission in Unix milliseconds, for display only. */
  std::int64_t m_wallMs = 0;
  std::vector<declared::Edit> m_edits;
  bool operator==(const Change&) const = default;
};

/** Returns the key of the row of a revision. Keys sort by revision. */
std::string
ChangeKey(Revision aRevision);

/** Returns the value of the row of a change. */
std::string
EncodeChange(const Change& aChange);
/**
 * Parses the value of a change row. The error says what is wrong with the row.
 */
tl::expected<Change, std::string>
DecodeChange(std::string_view aValue);

/**
 * The head row. It holds the highest accepted revision and the id of its
 * change.
 */
struct Head
{
  Revision m_revision = 0;
  std::string m_changeId;
  bool operator==(const Head&) const = default;
};

std::string
EncodeHead(const Head& aHead);
tl::expected<Head, std::string>
DecodeHead(std::string_view aValue);

} // namespace ridgeferry::config
