#include "ridgeferry/usage/UsageReporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ridgeferry::usage {

namespace {

/** Time after the end of a window after which its counts are collected. Calls
 * that began in the window are known by then. */
constexpr Duration kSettle{ 300 };

} // namespace

std::string
EncodeReport(const Report& aReport)
{
  return nlohmann::json{
    { "window", aReport.m_window }, { "counts", EncodeCounts(aReport.m_counts) }
  }.dump();
}

tl::expected<Report, std::string>
DecodeReport(std::string_view aText)
{
  try {
    const nlohmann::json value = nlohmann::json::parse(aText);
    const auto counts = DecodeCounts(value.at("counts").get<std::string>());
    if (!counts) {
      return tl::unexpected(std::string("the counts are not numbers by name"));
    }
    return Report{ value.at("window").get<WindowIndex>(), *counts };
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string("cannot decode the report row: ") +
                          error.what());
  }
}

UsageReporter::UsageReporter(ReportTimes aTimes)
  : m_times(aTimes)
{
}

std::vector<ReportAction>
UsageReporter::Handle(const ReportEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, actions); }, aEvent);
  return actions;
}

std::optional<WindowIndex>
UsageReporter::NextWindow(const ReportTick& aTick) const
{
  if (!m_rowVersion) {
    return std::nullopt;
  }
  const WindowIndex now = WindowAt(aTick.m_trueTime, m_times.m_window);
  // Counts of earlier windows are not kept.
  WindowIndex next = now - static_cast<WindowIndex>(kKeptWindows) + 1;
  if (m_rowReport) {
    next = std::max(next, m_rowReport->m_window + 1);
  } else {
    next = std::max(next, aTick.m_firstCounted.value_or(now));
  }
  return std::max(next, m_earliest.value_or(next));
}

bool
UsageReporter::IsDue(const ReportTick& aTick, WindowIndex aWindow) const
{
  const WallTime end = EndOf(aWindow, m_times.m_window);
  if (aTick.m_trueTime < end + kSettle) {
    return false;
  }
  // Half of the time is left for the writing and for tries that fail.
  return aTick.m_isComplete ||
         aTick.m_trueTime >= end + m_times.m_lateAfter / 2;
}

void
UsageReporter::On(const ReportTick& aTick, Instant aNow, Actions& aActions)
{
  m_trueTime = aTick.m_trueTime;
  if (aTick.m_hasAuthority && !m_hadAuthority) {
    m_rowVersion.reset(); // Another process may have written it.
  }
  m_hadAuthority = aTick.m_hasAuthority;
  if (!aTick.m_hasAuthority || m_isBusy || aNow < m_retryAt) {
    return;
  }
  if (!m_rowVersion) {
    m_isBusy = true;
    aActions.emplace_back(ReadReportRow{});
    return;
  }
  if (m_rowReport && m_rowReport->m_window > m_accepted.value_or(-1)) {
    m_isBusy = true;
    aActions.emplace_back(SendReport{ *m_rowReport });
    return;
  }
  const WindowIndex next = *NextWindow(aTick);
  const bool isFirst = !m_rowReport && !aTick.m_firstCounted;
  if (!isFirst && IsDue(aTick, next)) {
    Write({ next, aTick.m_counts }, aActions);
  }
}

void
UsageReporter::Write(const Report& aReport, Actions& aActions)
{
  table::Transaction write;
  write.m_conditions.push_back({ kReportKey, *m_rowVersion });
  write.m_puts.push_back({ kReportKey, EncodeReport(aReport) });
  m_isBusy = true;
  aActions.emplace_back(WriteReportRow{ std::move(write) });
}

void
UsageReporter::On(const ReportRowRead& aRead, Instant aNow, Actions& aActions)
{
  m_isBusy = false;
  On(ReportGeneration{ aRead.m_generation }, aNow, aActions);
  if (aRead.m_row.m_status != table::ReadStatus::Ok ||
      aRead.m_generation < m_generation) {
    m_retryAt = aNow + m_times.m_retryEvery;
    return;
  }
  m_rowVersion = aRead.m_row.m_row.m_version;
  m_rowReport.reset();
  if (const auto report = DecodeReport(aRead.m_row.m_row.m_value)) {
    m_rowReport = *report;
  }
  if (m_rowReport && m_rowReport->m_window < m_earliest.value_or(0)) {
    // A report of the copy may have been followed by others that are lost, and
    // was itself sent before these were written.
    m_accepted = std::max(m_accepted.value_or(-1), m_rowReport->m_window);
  }
}

void
UsageReporter::On(const ReportRowWritten&, Instant, Actions&)
{
  // Only the row shows what was written and at which version.
  m_isBusy = false;
  m_rowVersion.reset();
}

void
UsageReporter::On(const ReportAnswered& aAnswered, Instant aNow, Actions&)
{
  m_isBusy = false;
  if (aAnswered.m_accepted) {
    m_accepted = std::max(m_accepted.value_or(-1), aAnswered.m_window);
  } else {
    m_retryAt = aNow + m_times.m_retryEvery;
  }
}

void
UsageReporter::On(const ReportGeneration& aSeen, Instant, Actions&)
{
  if (aSeen.m_generation <= m_generation) {
    return;
  }
  m_generation = aSeen.m_generation;
  m_rowVersion.reset();
  m_earliest = WindowAt(m_trueTime, m_times.m_window) + 1;
}

} // namespace ridgeferry::usage
