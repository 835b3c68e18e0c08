#include "UsageService.h"

#include <charconv>

namespace ridgeferry::entry {

namespace {

/** Name under which peers ask for the counts of an instance. */
constexpr const char* kRows = "usage";
constexpr Duration kTick{ 100 };
/** Time after the end of a window at which peers are asked for its counts. */
constexpr Duration kAskAfter{ 300 };
/** Most peers that are asked in one tick, so that their answers do not arrive
 * all at once. */
constexpr int kMostAsked = 8;
/** Shorter than the time for which the lease outlasts the authority. */
constexpr Duration kPlatformTimeout{ 600 };
constexpr int kOk = 200;

std::optional<usage::WindowIndex>
ParseWindow(const std::string& aText)
{
  usage::WindowIndex out = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, out);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return out;
}

} // namespace

UsageService::UsageService(EntryNode& aNode,
                           StoreGenerations& aGenerations,
                           const Peers& aPeers,
                           PeerRows& aRows,
                           const TrueTime& aTime,
                           OrderLease& aLease)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_calls(aNode, aGenerations, "a call for the usage report")
  , m_peers(aPeers)
  , m_rows(aRows)
  , m_time(aTime)
  , m_lease(aLease)
  , m_reporter({ Window(), aNode.m_settings.m_duties.m_reportLate })
{
}

bool
UsageService::IsEnabled() const
{
  return !m_node.m_settings.m_duties.m_address.empty() &&
         m_node.m_settings.m_duties.m_reportWindow.count() > 0;
}

Duration
UsageService::Window() const
{
  // A window length of 0 means that no reports are due.
  return std::max(Duration{ 1 }, m_node.m_settings.m_duties.m_reportWindow);
}

void
UsageService::Start()
{
  if (!IsEnabled()) {
    return;
  }
  m_rows.Serve(kRows, [this](StorePosition) { return OwnRows(); });
  m_generations.SignalNewGeneration().connect(
    [this](StoreGeneration aGeneration) {
      Handle(usage::ReportGeneration{ aGeneration });
    });
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

void
UsageService::NoteBegan(const std::string& aOrganisation, Duration aAgo)
{
  if (!IsEnabled() || aOrganisation.empty()) {
    return;
  }
  ++m_own[usage::WindowAt(m_time.Now() - aAgo, Window())][aOrganisation];
  usage::DropOldWindows(m_own);
}

relay::TableSlice
UsageService::OwnRows() const
{
  relay::TableSlice out;
  out.m_whole = true;
  for (const auto& [window, counts] : m_own) {
    out.m_rows.push_back(
      { std::to_string(window), usage::EncodeCounts(counts) });
  }
  return out;
}

void
UsageService::Tick()
{
  if (!m_lease.Contends() && !m_lease.HasAuthority()) {
    return;
  }
  const WallTime now = m_time.Now();
  m_collector.Take({ m_node.m_settings.m_instance, 0 }, m_own, now);
  Collect(now);
  usage::ReportTick tick;
  tick.m_hasAuthority = m_lease.HasAuthority();
  tick.m_trueTime = now;
  tick.m_firstCounted = m_collector.FirstWindow();
  if (const auto next = m_reporter.NextWindow(tick)) {
    tick.m_counts = m_collector.SumOf(*next);
    tick.m_isComplete = HasAll(*next);
  }
  Handle(tick);
}

void
UsageService::Collect(WallTime aNow)
{
  // Peers are asked once for each window, shortly after its end.
  const usage::WindowIndex ended = usage::WindowAt(aNow, Window()) - 1;
  const WallTime since = usage::EndOf(ended, Window()) + kAskAfter;
  if (aNow < since) {
    return;
  }
  int asked = 0;
  for (const auto& [name, peer] : m_peers.Known()) {
    const usage::ProcessId process{ name, peer.m_last.m_incarnation };
    if (!peer.m_alive || m_asked.contains(process) ||
        m_collector.HasReportedSince(process, since)) {
      continue;
    }
    AskPeer(process, peer.m_last.m_peerAddress);
    if (++asked == kMostAsked) {
      return;
    }
  }
}

void
UsageService::AskPeer(const usage::ProcessId& aProcess,
                      const std::string& aAddress)
{
  m_asked.insert(aProcess);
  m_rows.AskPeer(aAddress,
                 kRows,
                 {},
                 [this, aProcess, asOf = m_time.Now()](
                   std::optional<relay::TableSlice> aSlice) {
                   m_asked.erase(aProcess);
                   if (!aSlice) {
                     return;
                   }
                   usage::CountsByWindow windows;
                   for (const relay::FollowedRow& row : aSlice->m_rows) {
                     const auto window = ParseWindow(row.m_key);
                     auto counts = usage::DecodeCounts(row.m_value);
                     if (window && counts) {
                       windows[*window] = std::move(*counts);
                     }
                   }
                   m_collector.Take(aProcess, windows, asOf);
                 });
}

bool
UsageService::HasAll(usage::WindowIndex aWindow) const
{
  const WallTime end = usage::EndOf(aWindow, Window());
  for (const auto& [name, peer] : m_peers.Known()) {
    if (peer.m_alive && !m_collector.HasReportedSince(
                          { name, peer.m_last.m_incarnation }, end)) {
      return false;
    }
  }
  return true;
}

void
UsageService::Handle(const usage::ReportEvent& aEvent)
{
  for (const usage::ReportAction& action :
       m_reporter.Handle(aEvent, m_node.Now())) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
}

void
UsageService::Do(const usage::ReadReportRow&)
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_usageTable;
  m_calls.Read(
    read, [this](const StoreAnswer& aAnswer, StoreGeneration aGeneration) {
      usage::ReportRowRead event;
      event.m_generation = aGeneration;
      if (const auto* page = std::get_if<StorePage>(&aAnswer)) {
        event.m_row = { table::ReadStatus::Ok, { usage::kReportKey, 0, {} } };
        for (const relay::FollowedRow& row : page->m_rows) {
          if (row.m_key == usage::kReportKey) {
            event.m_row.m_row = { row.m_key, row.m_version, row.m_value };
          }
        }
      }
      Handle(event);
    });
}

void
UsageService::Do(const usage::WriteReportRow& aAction)
{
  m_calls.Commit(
    { m_node.m_dialect.m_usageTable, aAction.m_transaction },
    [this](table::CommitResult) { Handle(usage::ReportRowWritten{}); });
}

void
UsageService::Do(const usage::SendReport& aAction)
{
  const usage::WindowIndex window = aAction.m_report.m_window;
  if (!m_lease.HasAuthority()) {
    m_node.m_loop->Defer([this, window] {
      Handle(usage::ReportAnswered{ window, false });
    });
    return;
  }
  net::HttpRequest request =
    m_node.m_dialect.m_writeUsageReport({ m_node.m_settings.m_duties.m_address,
                                          m_node.m_settings.m_instance,
                                          m_lease.Fencing(),
                                          aAction.m_report });
  // A fresh connection avoids a report that waits on an unresponsive connection
  // and goes out later.
  request.m_fresh = true;
  request.m_timeout = kPlatformTimeout;
  request.m_connectTimeout = kPlatformTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this, window](const net::HttpResponse& aResponse) {
    const bool accepted =
      net::HasAnswer(aResponse) && aResponse.m_head.m_status == kOk;
    m_node.m_metrics.Count(accepted ? "usage_reports_total"
                                    : "usage_reports_failed_total");
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "usage-report-answered",
      { { "window", window },
        { "status", std::int64_t{ aResponse.m_head.m_status } } });
    Handle(usage::ReportAnswered{ window, accepted });
  };
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "usage-report-sent",
    { { "window", window },
      { "organisations",
        static_cast<std::int64_t>(aAction.m_report.m_counts.size()) },
      { "fencing", static_cast<std::int64_t>(m_lease.Fencing()) } });
  m_node.m_http->Send(request, std::move(callbacks));
}

} // namespace ridgeferry::entry
