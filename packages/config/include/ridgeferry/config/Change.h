#pragma once

#include <cstdint>
#include <ridgeferry/declared/Catalog.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::config {

using Revision = std::uint64_t;

/** Rows of the configuration in the table. */
inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr std::string_view kChangePrefix = "config/change/";
inline constexpr std::string_view kSnapshotKey = "config/snapshot";

/** One accepted change: the configuration's history and audit trail. */
struct Change
{
  Revision m_revision = 0;
  std::string m_id; ///< Chosen by the submitter, unique for ever.
  std::string m_author;
  std::string m_reason;
  std::int64_t m_wallMs = 0; ///< When it was submitted, for people only.
  std::vector<declared::Edit> m_edits;
  bool operator==(const Change&) const = default;
};

/** Key of the row of a revision, in an order that sorts by revision. */
std::string
ChangeKey(Revision aRevision);

/** Value of a change row. */
std::string
EncodeChange(const Change& aChange);
/** Error: a phrase that says what is wrong with the row. */
tl::expected<Change, std::string>
DecodeChange(std::string_view aValue);

/** The head row: the highest accepted revision and its change id. */
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
