#include "ridgeferry/authority/Lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::authority {

std::string
LeaseKey(std::string_view aDataCentre)
{
  return "lease/" + std::string(aDataCentre);
}

std::string
FenceKey(std::string_view aDataCentre)
{
  return "fence/" + std::string(aDataCentre);
}

std::string
EncodeLease(const LeaseRow& aRow)
{
  return nlohmann::json{
    { "holder", aRow.m_holder },
    { "fencing", aRow.m_fencing },
    { "beat", aRow.m_beat },
    { "released", aRow.m_released }
  }.dump();
}

tl::expected<LeaseRow, std::string>
DecodeLease(std::string_view aValue)
{
  if (aValue.empty()) {
    return LeaseRow{};
  }
  try {
    const nlohmann::json value = nlohmann::json::parse(aValue);
    return LeaseRow{ value.at("holder").get<std::string>(),
                     value.at("fencing").get<FencingNumber>(),
                     value.at("beat").get<std::uint64_t>(),
                     value.at("released").get<bool>() };
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string("cannot decode the lease row: ") +
                          error.what());
  }
}

Lease::Lease(std::string aDataCentre, std::string aProcess, LeaseTimes aTimes)
  : m_dataCentre(std::move(aDataCentre))
  , m_process(std::move(aProcess))
  , m_times(aTimes)
{
}

bool
Lease::HasAuthority(Instant aNow) const
{
  return m_holds && aNow < m_validUntil;
}

std::vector<LeaseAction>
Lease::Handle(const LeaseEvent& aEvent, Instant aNow)
{
  Actions actions;
  if (m_holds && aNow >= m_validUntil) {
    // The term may also have ended while this process was paused.
    Drop(actions);
  }
  std::visit(
    Overloaded{
      [&](const LeaseTick& aTick) { OnTick(aTick, aNow, actions); },
      [&](const LeaseRead& aRead) { OnRead(aRead, aNow, actions); },
      [&](const LeaseWritten& aWritten) { OnWritten(aWritten, aNow, actions); },
      [&](const LeaseGeneration& aSeen) {
        OnGeneration(aSeen.m_generation, aNow, actions);
      },
      [&](const LeaseResign&) { OnResign(aNow, actions); } },
    aEvent);
  return actions;
}

void
Lease::OnTick(const LeaseTick& aTick, Instant aNow, Actions& aActions)
{
  if (m_open) {
    if (m_open->m_answered && aNow >= m_nextRead.value_or(aNow)) {
      // The read that should show whether the write is in force has failed, so
      // the rows are read again.
      m_nextRead = aNow + m_times.m_pollEvery;
      aActions.emplace_back(ReadLease{});
    }
    return;
  }
  if (m_holds && aNow >= m_nextRenew.value_or(aNow)) {
    Write(m_seen, false, aNow, aActions);
    return;
  }
  if (m_holds || m_resigned) {
    return;
  }
  if (aTick.m_contends && MayAcquire(aNow)) {
    const FencingNumber next =
      NextFencing(m_seen.m_fencing, m_generation.value_or(0));
    Write({ m_process, next, 0, false }, true, aNow, aActions);
    return;
  }
  if (!aTick.m_contends && m_times.m_idlePollFactor == 0 && m_hasRead) {
    // By the time this process contends, the row that it has seen may be long
    // out of date, so the process must read the row again first.
    m_unchangedSince.reset();
    m_nextRead.reset();
    return;
  }
  if (aNow >= m_nextRead.value_or(aNow)) {
    m_nextRead =
      aNow + m_times.m_pollEvery *
               (aTick.m_contends ? 1 : std::max(1, m_times.m_idlePollFactor));
    aActions.emplace_back(ReadLease{});
  }
}

bool
Lease::MayAcquire(Instant aNow) const
{
  if (!m_unchangedSince || aNow < m_noAcquisitionUntil.value_or(aNow)) {
    return false;
  }
  const bool free = m_seen.m_holder.empty() || m_seen.m_released;
  return free || aNow - *m_unchangedSince >= m_times.m_term + m_times.m_margin;
}

void
Lease::OnGeneration(StoreGeneration aGeneration,
                    Instant aNow,
                    Actions& aActions)
{
  if (m_generation && aGeneration <= *m_generation) {
    return;
  }
  m_generation = aGeneration;
  if (aGeneration == 0) {
    return; // The store was never restored from an older copy.
  }
  m_noAcquisitionUntil = aNow + m_times.m_term + m_times.m_margin;
  m_open.reset();
  m_unchangedSince.reset();
  m_nextRead.reset();
  m_hasRead = false;
  Drop(aActions);
}

void
Lease::OnRead(const LeaseRead& aRead, Instant aNow, Actions& aActions)
{
  if (aRead.m_lease.m_status != table::ReadStatus::Ok ||
      aRead.m_fence.m_status != table::ReadStatus::Ok) {
    return;
  }
  OnGeneration(aRead.m_generation, aNow, aActions);
  if (aRead.m_generation < m_generation.value_or(0)) {
    return; // The answer is from before the store was restored.
  }
  const auto row = DecodeLease(aRead.m_lease.m_row.m_value);
  if (!row) {
    return;
  }
  m_hasRead = true;
  m_seenFenceVersion = aRead.m_fence.m_row.m_version;
  NoteRow(aRead.m_lease.m_row, *row, aNow);
  if (m_open && m_open->m_row == *row) {
    const OpenWrite confirmed = *m_open;
    m_open.reset();
    Confirm(confirmed, aNow, aActions);
    return;
  }
  m_open.reset();
  if (m_holds && row->m_holder != m_process) {
    Drop(aActions);
  }
}

void
Lease::NoteRow(const table::Row& aLease, const LeaseRow& aRow, Instant aNow)
{
  if (!m_unchangedSince || aLease.m_version != m_seenVersion) {
    m_unchangedSince = aNow;
  }
  m_seenVersion = aLease.m_version;
  m_seen = aRow;
}

void
Lease::OnWritten(const LeaseWritten& aWritten, Instant aNow, Actions& aActions)
{
  if (!m_open || m_open->m_attempt != aWritten.m_attempt) {
    return; // A read has already settled this earlier write.
  }
  switch (aWritten.m_result) {
    case table::CommitResult::Committed:
    case table::CommitResult::Conflict:
    case table::CommitResult::Unknown:
      // Even if the answer was lost, reading the row shows who holds the lease
      // and what the row's new version is. `m_open` stays until this read.
      m_open->m_answered = true;
      m_nextRead = aNow + m_times.m_pollEvery;
      aActions.emplace_back(ReadLease{});
      return;
    case table::CommitResult::NotWritten:
      m_open.reset();
      return;
  }
}

void
Lease::Confirm(const OpenWrite& aWrite, Instant aNow, Actions& aActions)
{
  const Instant validUntil =
    aWrite.m_sentAt + m_times.m_term - m_times.m_margin;
  // A write that is confirmed after its term has ended gives no authority.
  if (aWrite.m_row.m_released || aNow >= validUntil) {
    Drop(aActions);
    return;
  }
  const bool taken = !m_holds || m_fencing != aWrite.m_row.m_fencing;
  m_holds = true;
  m_fencing = aWrite.m_row.m_fencing;
  m_fenceVersion = m_seenFenceVersion;
  m_validUntil = validUntil;
  m_nextRenew = aWrite.m_sentAt + m_times.m_renewEvery;
  if (taken) {
    aActions.emplace_back(AuthorityGained{ m_fencing, m_fenceVersion });
  }
}

void
Lease::Drop(Actions& aActions)
{
  if (!m_holds) {
    return;
  }
  m_holds = false;
  m_nextRenew.reset();
  aActions.emplace_back(AuthorityLost{});
}

void
Lease::OnResign(Instant aNow, Actions& aActions)
{
  m_resigned = true;
  if (!m_holds) {
    return;
  }
  LeaseRow row = m_seen;
  row.m_released = true;
  // The authority must end before the released row is written. Other processes
  // may acquire the lease before the answer to this write arrives.
  Drop(aActions);
  Write(std::move(row), false, aNow, aActions);
}

void
Lease::Write(LeaseRow aRow, bool aAcquires, Instant aNow, Actions& aActions)
{
  aRow.m_beat = ++m_lastAttempt;
  table::Transaction write;
  write.m_conditions.push_back({ LeaseKey(m_dataCentre), m_seenVersion });
  write.m_puts.push_back({ LeaseKey(m_dataCentre), EncodeLease(aRow) });
  if (aAcquires) {
    write.m_conditions.push_back(
      { FenceKey(m_dataCentre), m_seenFenceVersion });
    write.m_puts.push_back({ FenceKey(m_dataCentre), EncodeLease(aRow) });
  }
  m_open = OpenWrite{ m_lastAttempt, aNow, std::move(aRow), false };
  aActions.emplace_back(WriteLease{ m_lastAttempt, std::move(write) });
}

} // namespace ridgeferry::authority
