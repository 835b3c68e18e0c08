#pragma once

#include <optional>
#include <ridgeferry/base/FieldReader.h>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/Http.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/Fleet.h>
#include <ridgeferry/relay/PartDesk.h>
#include <ridgeferry/relay/Routes.h>
#include <ridgeferry/relay/TableFollower.h>
#include <ridgeferry/table/Table.h>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::entry {

/** What the head of a caller's request says. */
struct CallHead
{
  std::string m_id; ///< The caller's id of this attempt; empty: none.
  std::string m_host;
  std::string m_path;                 ///< Without the query.
  std::optional<Duration> m_deadline; ///< How long the caller will wait.
  std::optional<relay::Prompt> m_prompt;
  std::string m_caller; ///< Its credentials; empty: it shows none.
};

/** What one send to an upstream is to say besides the caller's own words. */
struct SendTerms
{
  std::string m_address; ///< IP:PORT of the upstream.
  std::string m_upstream;
  Duration m_left{}; ///< How long the caller will still wait.
  int m_priority = 0;
  bool m_readOnly = false;     ///< Read the prompt and keep it; do not run.
  std::string m_fetchAddress;  ///< Keeps part of the prompt; empty: nobody.
  std::string m_readerAddress; ///< Holds the prompt's memory; empty: nobody.
  std::string m_handle;        ///< Of that memory.
  std::string m_resumeAfter;   ///< Event id to go on after; empty: as asked.
};

/** A read of the store: a table whole, or what changed in it. */
struct StoreRead
{
  std::string m_table;
  std::string m_fromKey; ///< Of a whole read: the first key of the page.
  std::optional<StorePosition> m_after; ///< Changes after this position.
  Duration m_wait{};                    ///< How long changes may be awaited.
};

/** A page of rows. */
struct StorePage
{
  std::vector<relay::FollowedRow> m_rows;
  std::uint64_t m_version = 0; ///< In the generation that the answer tells.
  bool m_hasMore = false;
};

/** Changes rows of one table, all or none of them. */
struct StoreCommit
{
  std::string m_table;
  table::Transaction m_transaction;
};

/** An order to an engine to do something else. */
struct PartOrder
{
  std::string m_address; ///< IP:PORT of the engine.
  std::string m_engine;
  relay::Part m_to = relay::Part::Prefill;
  std::int64_t m_expectedOrders = 0; ///< Void unless it has taken so many.
  std::string m_holder;              ///< Of the right to order.
  std::uint64_t m_fencing = 0;
};

/** The store does not know the changes that were asked for. */
struct StoreForgot
{};

/** What the answer to a store read means. */
using StoreAnswer = std::variant<StorePage, StoreForgot, relay::ReadFailed>;

/** What an answer of the store says of its generation: one, nothing, or what is
 * no number. */
using ToldGeneration =
  tl::expected<std::optional<StoreGeneration>, std::string>;

/**
 * How a platform spells what this package decides. Each member only
 * translates: none decides, waits, repeats or remembers. All must be set.
 */
struct Dialect
{
  sigc::slot<CallHead(const net::ReceivedRequest&)> m_readCall;
  sigc::slot<net::HttpRequest(const net::ReceivedRequest&, const SendTerms&)>
    m_writeSend;
  /** Whether the upstream says that it has not run the call. */
  sigc::slot<bool(const net::HttpHead&)> m_saysNotRun;
  /** The handle that a reader's answer names; empty: none. */
  sigc::slot<std::string(std::string_view)> m_readHandle;
  sigc::slot<net::HttpRequest(const std::string& aAddress,
                              const std::string& aHandle)>
    m_writeFreeHandle;
  sigc::slot<net::HttpRequest(const StoreRead&)> m_writeStoreRead;
  sigc::slot<StoreAnswer(const net::HttpResponse&)> m_readStoreAnswer;
  /** Of any answer of the store. */
  sigc::slot<ToldGeneration(const net::HttpHead&)> m_readGeneration;
  sigc::slot<net::HttpRequest(const StoreCommit&)> m_writeStoreCommit;
  /** What is known of a commit by its answer, or by the lack of one. */
  sigc::slot<table::CommitResult(const net::HttpResponse&)> m_readStoreCommit;
  /** Asks the engine at an address what it does. */
  sigc::slot<net::HttpRequest(const std::string& aAddress)> m_writeReportAsk;
  /** Nothing: no whole report. */
  sigc::slot<std::optional<relay::EngineReport>(const net::HttpResponse&)>
    m_readReport;
  sigc::slot<net::HttpRequest(const PartOrder&)> m_writePartOrder;
  sigc::slot<relay::OrderAnswer(const net::HttpResponse&)> m_readOrderAnswer;
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
  std::string m_instanceTable; ///< Ours: a row an instance, its address.
  std::string m_leaseTable;    ///< Ours: who may order engines.
  /** Ours: calls that end their upstreams. */
  std::string m_quarantineTable;
};

} // namespace ridgeferry::entry
