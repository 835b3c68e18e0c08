#include "ridgeferry/claims/Claim.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::claims {

namespace {

std::string_view
StateName(ClaimState aState)
{
  switch (aState) {
    case ClaimState::Open:
      return "open";
    case ClaimState::NotRun:
      return "not-run";
    case ClaimState::Ran:
      return "ran";
  }
  return "open";
}

ClaimState
StateFromName(std::string_view aName)
{
  if (aName == "not-run") {
    return ClaimState::NotRun;
  }
  return aName == "ran" ? ClaimState::Ran : ClaimState::Open;
}

/**
 * Escapes '/' and '%'. Callers choose the keys, and a '/' in one of them must
 * not make two different pairs of organisation and key give the same row key.
 */
std::string
EscapeKeyPart(std::string_view aPart)
{
  std::string out;
  for (char c : aPart) {
    if (c == '%') {
      out += "%25";
    } else if (c == '/') {
      out += "%2F";
    } else {
      out += c;
    }
  }
  return out;
}

} // namespace

std::string
ClaimKey(std::string_view aOrganisation, std::string_view aKey)
{
  return "claim/" + EscapeKeyPart(aOrganisation) + "/" + EscapeKeyPart(aKey);
}

std::string
EncodeClaim(const ClaimRow& aRow)
{
  nlohmann::json out{ { "claim", aRow.m_claim },
                      { "fingerprint", aRow.m_fingerprint },
                      { "state", StateName(aRow.m_state) } };
  if (aRow.m_state == ClaimState::Ran) {
    // The body may contain any bytes, but JSON strings must be UTF-8, so the
    // body is written as an array of bytes.
    out["status"] = aRow.m_answer.m_status;
    out["type"] = aRow.m_answer.m_contentType;
    out["truncated"] = aRow.m_answer.m_truncated;
    out["body"] = nlohmann::json::binary_t(std::vector<std::uint8_t>(
      aRow.m_answer.m_body.begin(), aRow.m_answer.m_body.end()));
  }
  return out.dump();
}

tl::expected<ClaimRow, std::string>
DecodeClaim(std::string_view aValue)
{
  try {
    const nlohmann::json value = nlohmann::json::parse(aValue);
    ClaimRow row;
    row.m_claim = value.at("claim").get<std::string>();
    row.m_fingerprint = value.at("fingerprint").get<std::uint64_t>();
    row.m_state = StateFromName(value.at("state").get<std::string>());
    if (row.m_state == ClaimState::Ran) {
      row.m_answer.m_status = value.at("status").get<int>();
      row.m_answer.m_contentType = value.at("type").get<std::string>();
      row.m_answer.m_truncated = value.at("truncated").get<bool>();
      for (const auto& byte : value.at("body").at("bytes")) {
        row.m_answer.m_body += static_cast<char>(byte.get<std::uint8_t>());
      }
    }
    return row;
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string("cannot decode the claim row: ") +
                          error.what());
  }
}

Claim::Claim(std::string_view aOrganisation,
             std::string_view aKey,
             std::string aId,
             std::uint64_t aFingerprint)
  : m_key(ClaimKey(aOrganisation, aKey))
{
  m_row.m_claim = std::move(aId);
  m_row.m_fingerprint = aFingerprint;
}

ClaimAction
Claim::Start()
{
  return Write();
}

ClaimAction
Claim::Handle(const ClaimEvent& aEvent)
{
  if (m_step == Step::Done) {
    return NoClaimAction{};
  }
  return std::visit(
    Overloaded{
      [&](const ClaimRead& aRead) { return OnRead(aRead); },
      [&](const ClaimWritten& aWritten) { return OnWritten(aWritten); },
      [&](const CallEnded& aEnded) { return OnEnded(aEnded); },
      [&](const RecordDue&) { return OnRecordDue(); } },
    aEvent);
}

ClaimAction
Claim::Write()
{
  table::Transaction write;
  write.m_conditions.push_back({ m_key, m_version });
  write.m_puts.push_back({ m_key, EncodeClaim(m_row) });
  return WriteClaim{ std::move(write) };
}

ClaimAction
Claim::Read()
{
  if (++m_tries > kMaxTries) {
    return GiveUp();
  }
  return ReadClaim{ m_key };
}

ClaimAction
Claim::GiveUp()
{
  if (m_step == Step::Claiming) {
    m_step = Step::Done;
    return StoreUnavailable{};
  }
  return RecordAgain();
}

Outcome
Claim::KnownOutcome() const
{
  // Until the row records the outcome, `NotRun` cannot be promised to the
  // caller. `Ran` can, because the upstream's answer has arrived.
  return m_row.m_state == ClaimState::Ran ? Outcome::Ran : Outcome::MayHaveRun;
}

ClaimAction
Claim::RecordAgain()
{
  if (++m_recordRounds > kMaxRecordRounds) {
    return Finish(KnownOutcome());
  }
  m_step = Step::Waiting;
  const Duration wait = m_recordWait;
  m_recordWait = std::min(m_recordWait * 2, kLongestRecordWait);
  return RecordLater{ wait, KnownOutcome() };
}

ClaimAction
Claim::OnRecordDue()
{
  if (m_step != Step::Waiting) {
    return NoClaimAction{};
  }
  m_step = Step::Recording;
  m_tries = 0;
  // The row is read first, because an earlier write may have taken effect
  // although its answer was lost.
  return Read();
}

ClaimAction
Claim::Run()
{
  m_step = Step::Running;
  m_tries = 0;
  return RunCall{};
}

ClaimAction
Claim::Finish(Outcome aOutcome)
{
  m_step = Step::Done;
  return ClaimSettled{ aOutcome };
}

ClaimAction
Claim::OnWritten(const ClaimWritten& aWritten)
{
  if (m_step == Step::Running || m_step == Step::Waiting) {
    return NoClaimAction{}; // This is a late second answer to a write.
  }
  switch (aWritten.m_result) {
    case table::CommitResult::Committed:
      ++m_version;
      if (m_step == Step::Claiming) {
        return Run();
      }
      return Finish(m_row.m_state == ClaimState::Ran ? Outcome::Ran
                                                     : Outcome::NotRun);
    case table::CommitResult::Conflict:
    case table::CommitResult::Unknown:
      return Read();
    case table::CommitResult::NotWritten:
      // While claiming, the attempt can be refused at once because the call has
      // not been sent. While recording, the write is tried again, because an
      // open row would answer every retry with "may have run".
      return m_step == Step::Claiming ? GiveUp() : Read();
  }
  return GiveUp();
}

ClaimAction
Claim::OnRead(const ClaimRead& aRead)
{
  if (m_step == Step::Running || m_step == Step::Waiting) {
    return NoClaimAction{};
  }
  if (aRead.m_result.m_status != table::ReadStatus::Ok) {
    return Read();
  }
  m_version = aRead.m_result.m_row.m_version;
  if (m_version == 0) {
    // The row does not exist yet. It is written again with the same attempt
    // id; if both writes arrive, only one can commit.
    return Write();
  }
  const auto row = DecodeClaim(aRead.m_result.m_row.m_value);
  if (!row) {
    return GiveUp();
  }
  return m_step == Step::Claiming ? OnReadWhileClaiming(*row)
                                  : OnReadWhileRecording(*row);
}

ClaimAction
Claim::OnReadWhileClaiming(const ClaimRow& aRow)
{
  if (aRow.m_claim == m_row.m_claim) {
    return Run();
  }
  if (aRow.m_fingerprint != m_row.m_fingerprint) {
    m_step = Step::Done;
    return KeyReused{};
  }
  switch (aRow.m_state) {
    case ClaimState::Ran:
      m_step = Step::Done;
      return ReplayAnswer{ aRow.m_answer };
    case ClaimState::Open:
      m_step = Step::Done;
      return OpenElsewhere{};
    case ClaimState::NotRun:
      return Write();
  }
  return GiveUp();
}

ClaimAction
Claim::OnReadWhileRecording(const ClaimRow& aRow)
{
  if (aRow.m_claim != m_row.m_claim) {
    // An earlier write of this attempt recorded "not run", and another attempt
    // has claimed the key since.
    return Finish(m_row.m_state == ClaimState::Ran ? Outcome::Ran
                                                   : Outcome::NotRun);
  }
  if (aRow.m_state == m_row.m_state) {
    return Finish(m_row.m_state == ClaimState::Ran ? Outcome::Ran
                                                   : Outcome::NotRun);
  }
  return Write();
}

ClaimAction
Claim::OnEnded(const CallEnded& aEnded)
{
  if (m_step != Step::Running) {
    return NoClaimAction{};
  }
  if (aEnded.m_outcome == Outcome::MayHaveRun) {
    // The call may have run, so the row stays open and no retry may run it.
    return Finish(Outcome::MayHaveRun);
  }
  m_step = Step::Recording;
  m_tries = 0;
  m_row.m_state =
    aEnded.m_outcome == Outcome::Ran ? ClaimState::Ran : ClaimState::NotRun;
  m_row.m_answer = aEnded.m_answer;
  if (m_row.m_answer.m_body.size() > kMaxRecordedBody) {
    m_row.m_answer.m_body.clear();
    m_row.m_answer.m_truncated = true;
  }
  return Write();
}

} // namespace ridgeferry::claims
