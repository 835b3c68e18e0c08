#pragma once

#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/table/Table.h>
#include <ridgeferry/usage/UsageCounts.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::usage {

/**
 * A report as it stands in the store. It is written there before it is sent,
 * and only what stands there is sent, so that a window has one report for ever.
 */
struct Report
{
  WindowIndex m_window = 0;
  Counts m_counts;
  bool operator==(const Report&) const = default;
};

/** Key of the row that holds the latest report. */
constexpr const char* kReportKey = "report";

std::string
EncodeReport(const Report& aReport);
/** The error says what is wrong with the text. */
tl::expected<Report, std::string>
DecodeReport(std::string_view aText);

// ---- events ----

struct ReportTick
{
  bool m_hasAuthority = false;
  WallTime m_trueTime;
  /**
   * Earliest window with counts; std::nullopt if nothing was counted yet.
   */
  std::optional<WindowIndex> m_firstCounted;
  /**
   * Counts of the window that `NextWindow` returns, and whether they contain
   * what all live instances counted.
   */
  Counts m_counts;
  bool m_isComplete = false;
};
/** Result of `ReadReportRow`. */
struct ReportRowRead
{
  table::ReadResult m_row;
  StoreGeneration m_generation = 0;
};
/** Result of `WriteReportRow`, whatever it was. */
struct ReportRowWritten
{};
/** Result of `SendReport`. */
struct ReportAnswered
{
  WindowIndex m_window = 0;
  bool m_accepted = false;
};
/** The store is known to be in this generation. */
struct ReportGeneration
{
  StoreGeneration m_generation = 0;
};

using ReportEvent = std::variant<ReportTick,
                                 ReportRowRead,
                                 ReportRowWritten,
                                 ReportAnswered,
                                 ReportGeneration>;

// ---- actions ----

struct ReadReportRow
{};
struct WriteReportRow
{
  table::Transaction m_transaction;
};
/** The driver must check the authority again right before it sends. */
struct SendReport
{
  Report m_report;
};

using ReportAction = std::variant<ReadReportRow, WriteReportRow, SendReport>;

/** Lengths of time of the reports; operators set the first two. */
struct ReportTimes
{
  Duration m_window{ 5000 };
  /** Time after the end of a window at which its report is late. */
  Duration m_lateAfter{ 10'000 };
  /** Time between two tries of a step that failed. */
  Duration m_retryEvery{ 500 };
};

/**
 * Decides when the report of each window is written to the store and when it is
 * sent. Only the process that holds the lease sends.
 *
 * All reports pass through one row. Each write is conditional on the row that
 * the process has read, and names a later window than that row. A process that
 * succeeds another one therefore finds the report that may have been sent,
 * sends that very report again, and goes on with the window after it.
 *
 * A store that was restored from an older copy may have lost the latest report
 * that was sent. Therefore only windows are reported from then on that began
 * after the restored generation was first seen.
 *
 * Pure, not thread-safe.
 */
class UsageReporter
{
public:
  explicit UsageReporter(ReportTimes aTimes);

  std::vector<ReportAction> Handle(const ReportEvent& aEvent, Instant aNow);

  /**
   * Returns the window whose counts the next `ReportTick` should have;
   * std::nullopt if the row has not been read yet.
   */
  std::optional<WindowIndex> NextWindow(const ReportTick& aTick) const;

private:
  using Actions = std::vector<ReportAction>;

  void On(const ReportTick& aTick, Instant aNow, Actions& aActions);
  void On(const ReportRowRead& aRead, Instant aNow, Actions& aActions);
  void On(const ReportRowWritten& aWritten, Instant aNow, Actions& aActions);
  void On(const ReportAnswered& aAnswered, Instant aNow, Actions& aActions);
  void On(const ReportGeneration& aSeen, Instant aNow, Actions& aActions);

  bool IsDue(const ReportTick& aTick, WindowIndex aWindow) const;
  void Write(const Report& aReport, Actions& aActions);

  ReportTimes m_times;
  bool m_hadAuthority = false;
  /** The row as last read; std::nullopt if it must be read (again). */
  std::optional<table::Version> m_rowVersion;
  std::optional<Report> m_rowReport; ///< Empty if the row has none.
  /** Latest window whose report the platform has accepted from this process. */
  std::optional<WindowIndex> m_accepted;
  bool m_isBusy = false; ///< A call of an action is under way.
  Instant m_retryAt;
  StoreGeneration m_generation = 0;
  /** No earlier window may be written any more. */
  std::optional<WindowIndex> m_earliest;
  WallTime m_trueTime; ///< Of the last tick.
};

} // namespace ridgeferry::usage
