#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/config/Change.h>
#include <ridgeferry/freshness/StoreClock.h>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/relay/CallLease.h>
#include <ridgeferry/relay/FollowedTable.h>
#include <ridgeferry/streams/OriginMessage.h>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::protocol {

/** The bytes are no message of this kind; `m_cause` says why. */
struct DecodeError
{
  std::string m_cause;
};

struct ChangesRequest
{
  config::Revision m_after = 0;
  bool operator==(const ChangesRequest&) const = default;
};

struct ChangesReply
{
  config::Revision m_revision = 0; ///< In force at the peer.
  std::vector<config::Change> m_changes;
  /** Set instead of changes, where the peer holds no such old ones. */
  std::optional<std::map<std::string, std::string, std::less<>>> m_snapshot;
  bool operator==(const ChangesReply&) const = default;
};

/** Asks for what a peer has read of a table of the store. */
struct RowsRequest
{
  std::string m_table;
  StorePosition m_after; ///< Changes after this position; version 0: all.
  bool operator==(const RowsRequest&) const = default;
};

/** Answers a `RowsRequest`. */
struct RowsReply
{
  relay::TableSlice m_slice;
  /**
   * Latest reading that the store's steady clock can have shown when the reply
   * was made; std::nullopt if the peer does not know.
   */
  std::optional<freshness::StoreMoment> m_latestClock;
  bool operator==(const RowsReply&) const = default;
};

/** All thread-safe. Encoding: Thrift's compact protocol. */
std::string
Encode(const membership::Heartbeat& aMessage);
std::string
Encode(const streams::OriginMessage& aMessage);
/** The calls of a `relay::LeaseRenewal`. */
std::string
EncodeRenewal(std::span<const relay::PassedOnCallId> aCalls);
std::string
Encode(const ChangesRequest& aMessage);
std::string
Encode(const ChangesReply& aMessage);

std::string
Encode(const RowsRequest& aMessage);
std::string
Encode(const RowsReply& aMessage);

tl::expected<membership::Heartbeat, DecodeError>
DecodeHeartbeat(std::string_view aBytes);
tl::expected<streams::OriginMessage, DecodeError>
DecodeOriginMessage(std::string_view aBytes);
tl::expected<std::vector<relay::PassedOnCallId>, DecodeError>
DecodeRenewal(std::string_view aBytes);
tl::expected<ChangesRequest, DecodeError>
DecodeChangesRequest(std::string_view aBytes);
tl::expected<ChangesReply, DecodeError>
DecodeChangesReply(std::string_view aBytes);

tl::expected<RowsRequest, DecodeError>
DecodeRowsRequest(std::string_view aBytes);
tl::expected<RowsReply, DecodeError>
DecodeRowsReply(std::string_view aBytes);

} // namespace ridgeferry::protocol
