#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/FieldReader.h>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/Http.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/quarantine/Suspect.h>
#include <ridgeferry/relay/Fleet.h>
#include <ridgeferry/relay/RoleChangeController.h>
#include <ridgeferry/relay/Routes.h>
#include <ridgeferry/relay/TableFollower.h>
#include <ridgeferry/relay/UpstreamStatement.h>
#include <ridgeferry/scaling/ScalePlanner.h>
#include <ridgeferry/table/Table.h>
#include <ridgeferry/usage/UsageReporter.h>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::entry {

/** A stream that a caller takes up again after it broke. */
struct TakenUpStream
{
  /** The caller's id of the attempt that brought the stream's first event;
   * empty if the caller does not say. */
  std::string m_beganAs;
  std::string m_afterEvent; ///< Id of the last event that the caller has.
};

/** By what an answer says that its upstream has not run the call. */
enum class NotRunWord : std::uint8_t
{
  None,        ///< It does not say so.
  Mark,        ///< A header field, with a status that does not contradict it.
  Misdirected, ///< Its status: another upstream answers at the address.
  /** It says so, and something else in it says that the call has run, or that
   * the upstream is the one that was asked: it proves nothing. */
  Contradicted,
};

/** The fields of a caller's request head that routing uses. */
struct CallHead
{
  /** The caller's id of this attempt; empty if it sent none. */
  std::string m_id;
  std::string m_host;
  std::string m_path; ///< The path without the query.
  /** How long the caller waits for the answer; std::nullopt if it names no
   * deadline. */
  std::optional<Duration> m_deadline;
  std::optional<relay::Prompt> m_prompt;
  /** The segments of the prompt that other prompts may share, in order. */
  std::vector<quarantine::PromptSegment> m_segments;
  std::string m_caller; ///< The caller's credentials; empty if it sent none.
  /** The API key in the credentials; empty if they hold none. */
  std::string m_key;
  /** The head names more than one caller. */
  bool m_hasSeveralCredentials = false;
  std::optional<TakenUpStream> m_takenUp;
  /** Another instance passed the call on. A dialect leaves it false. */
  bool m_isForwarded = false;
};

/** What one request to an upstream carries in addition to the caller's request.
 */
struct SendTerms
{
  std::string m_address; ///< IP:PORT of the upstream.
  std::string m_upstream;
  Duration m_left{}; ///< Time left until the caller's deadline.
  /** See `relay::RouteTable::UrgencyOf`. */
  int m_urgency = 0;
  /** Organisation on whose behalf the call runs; empty if there is none. */
  std::string m_organisation;
  /** The caller's credentials are not passed on. */
  bool m_hidesCredentials = false;
  /** If true, the engine prefills the prompt and caches the result, but does
   * not decode. */
  bool m_readOnly = false;
  /** Address of an engine that has a prefix of the prompt cached, from which
   * the upstream can fetch it; empty if there is none. */
  std::string m_transferSourceAddress;
  /** Address of the prefill engine that holds the KV cache of the prompt; empty
   * if there is none. */
  std::string m_prefillAddress;
  std::string m_handle; ///< Handle of the KV cache on the prefill engine.
  /** Id of the event after which the answer's stream resumes; empty to send
   * what the caller asked for. */
  std::string m_resumeAfter;
};

/** A read of one table of the store: either of all rows, page by page, or of
 * the changes after a position. */
struct StoreRead
{
  std::string m_table;
  std::string m_fromKey; ///< First key of the page, in a read of all rows.
  /** If set, reads the changes after this position; otherwise reads all rows.
   */
  std::optional<StorePosition> m_after;
  /** How long the store may wait for changes before it answers. */
  Duration m_wait{};
};

/** One page of rows in the answer to a store read. */
struct StorePage
{
  std::vector<relay::FollowedRow> m_rows;
  /** Version of the table within the generation that the answer names. */
  std::uint64_t m_version = 0;
  bool m_hasMore = false;
  /** Reading of the store's steady clock when it made the answer. */
  std::optional<Duration> m_clock = {};
};

/** A transaction on one table of the store: it changes all its rows or none. */
struct StoreCommit
{
  std::string m_table;
  table::Transaction m_transaction;
};

/** An order to an engine to change its role. */
struct EngineRoleOrder
{
  std::string m_address; ///< IP:PORT of the engine.
  std::string m_engine;
  relay::UpstreamRole m_to = relay::UpstreamRole::Prefill;
  /** Number of orders that the engine must have accepted before; otherwise the
   * order is void. */
  std::int64_t m_expectedOrders = 0;
  /** The instance that holds the lease which permits orders. */
  std::string m_holder;
  std::uint64_t m_fencing = 0;
};

/** Calls of each organisation that upstreams began to run in one window, as
 * they are reported to the platform. */
struct UsageReportCall
{
  std::string m_address; ///< IP:PORT of the platform.
  /** The instance that holds the lease which permits reports. */
  std::string m_holder;
  std::uint64_t m_fencing = 0;
  usage::Report m_report;
};

/** An order of upstreams, as it is sent to the platform. */
struct ScaleCall
{
  std::string m_address; ///< IP:PORT of the platform.
  /** The instance that holds the lease which permits orders. */
  std::string m_holder;
  std::uint64_t m_fencing = 0;
  std::string m_service;
  scaling::ScaleOrder m_order;
};

/** The store no longer has the history that was asked for, so that the table
 * must be read whole. */
struct StoreHistoryLost
{};

/** Result of a store read: a page of rows, a lost history, or a failure. */
using StoreAnswer =
  std::variant<StorePage, StoreHistoryLost, relay::ReadFailed>;

/** The generation that an answer of the store names: std::nullopt if it names
 * none. The error is the text that the answer has in place of a number. */
using AnnouncedGeneration =
  tl::expected<std::optional<StoreGeneration>, std::string>;

/** Translates between this package and the wire format of a platform. The slots
 * only translate: they do not decide, wait, retry or keep state. All must be
 * set. */
struct Dialect
{
  sigc::slot<CallHead(const net::ReceivedRequest&)> m_readCall;
  sigc::slot<net::HttpRequest(const net::ReceivedRequest&, const SendTerms&)>
    m_writeSend;
  /** Reads whether an upstream's answer holds what only a run of the call
   * makes.
   */
  sigc::slot<bool(const net::HttpHead&)> m_tellsOfARun;
  /** Reads whether the answer of the upstream with that id says that it has not
   * run the call. */
  sigc::slot<NotRunWord(const net::HttpHead&, std::string_view)>
    m_readNotRunWord;
  /** Reads what the head of any answer of an upstream says about that upstream.
   */
  sigc::slot<relay::UpstreamStatement(const net::HttpHead&)> m_readStatement;
  /** Returns the KV cache handle in the body of a prefill engine's answer;
   * empty if it has none. */
  sigc::slot<std::string(std::string_view)> m_readHandle;
  sigc::slot<net::HttpRequest(const std::string& aAddress,
                              const std::string& aHandle)>
    m_writeFreeHandle;
  sigc::slot<net::HttpRequest(const StoreRead&)> m_writeStoreRead;
  sigc::slot<StoreAnswer(const net::HttpResponse&)> m_readStoreAnswer;
  /** Reads the generation from the head of any answer of the store. */
  sigc::slot<AnnouncedGeneration(const net::HttpHead&)> m_readGeneration;
  sigc::slot<net::HttpRequest(const StoreCommit&)> m_writeStoreCommit;
  /** Returns what the answer to a commit, or the lack of an answer, shows about
   * its outcome. */
  sigc::slot<table::CommitResult(const net::HttpResponse&)> m_readStoreCommit;
  /** Writes a request for the report of the engine at `aAddress`. */
  sigc::slot<net::HttpRequest(const std::string& aAddress)> m_writeReportAsk;
  /** Returns the engine's report; std::nullopt if the response has no complete
   * one. */
  sigc::slot<std::optional<relay::EngineReport>(const net::HttpResponse&)>
    m_readReport;
  sigc::slot<net::HttpRequest(const EngineRoleOrder&)> m_writeRoleOrder;
  sigc::slot<relay::OrderAnswer(const net::HttpResponse&)> m_readOrderAnswer;
  sigc::slot<net::HttpRequest(const UsageReportCall&)> m_writeUsageReport;
  sigc::slot<net::HttpRequest(const ScaleCall&)> m_writeScaleOrder;
  /** Returns what the answer to an order of upstreams, or the lack of an
   * answer, shows about it. */
  sigc::slot<scaling::ScaleAnswer(const net::HttpResponse&)> m_readScaleAnswer;
  sigc::slot<tl::expected<relay::RouteConfig, std::vector<FieldError>>(
    std::string_view)>
    m_readConfig;
  sigc::slot<tl::expected<relay::Member, std::vector<FieldError>>(
    const std::string& aId,
    std::string_view aValue)>
    m_readMember;
  std::string m_configTable;
  std::string m_configKey;
  std::string m_memberTable;
  /** Table of ridgeferry itself: one row for each instance, with its address.
   */
  std::string m_instanceTable;
  /** Table of ridgeferry itself: the lease that permits orders to engines. */
  std::string m_leaseTable;
  /** Table of ridgeferry itself: the latest usage report. */
  std::string m_usageTable;
  /** Table of ridgeferry itself: calls during which upstreams crashed. */
  std::string m_quarantineTable;
  /** Table of ridgeferry itself: one row for each instance, with the origins of
   * the streams that began there. */
  std::string m_streamOriginTable;
};

} // namespace ridgeferry::entry
