#include "ridgeferry/experiment/Scenario.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ridgeferry::experiment {

namespace {

using Json = nlohmann::json;

/** Far above any deployment: what is larger is a slip of the pen. */
constexpr std::int64_t kMostEngines = 10'000;
constexpr std::int64_t kMostInstances = 1000;
constexpr std::int64_t kMostTokens = 1'000'000'000;
constexpr std::int64_t kMostMs = 3'600'000;
constexpr double kMostRate = 1e6;

Duration
ReadMs(FieldReader& aReader, std::string_view aField, Duration aFallback)
{
  return Duration(aReader.OptionalInt(aField, aFallback.count(), 0, kMostMs));
}

EngineTerms
ReadEngine(FieldReader& aReader)
{
  EngineTerms out;
  const auto tokens = [&](std::string_view aField, std::int64_t aFallback) {
    return aReader.OptionalInt(aField, aFallback, 1, kMostTokens);
  };
  const auto ms = [&](std::string_view aField, double aFallback) {
    return aReader.OptionalNumber(
      aField, aFallback, 0, static_cast<double>(kMostMs));
  };
  out.m_slots = tokens("slots", out.m_slots);
  out.m_memoryTokens = tokens("memoryTokens", out.m_memoryTokens);
  out.m_pieceTokens = tokens("pieceTokens", out.m_pieceTokens);
  out.m_stepMs = ms("stepMs", out.m_stepMs);
  out.m_stepMsPerCall = ms("stepMsPerCall", out.m_stepMsPerCall);
  out.m_handOverMs = ms("handOverMs", out.m_handOverMs);
  out.m_readTokensPerMs = aReader.OptionalNumber(
    "readTokensPerMs", out.m_readTokensPerMs, 1, kMostRate);
  aReader.RejectUnknown();
  return out;
}

CallTerms
ReadCall(FieldReader& aReader)
{
  CallTerms out;
  const auto tokens =
    [&](std::string_view aField, std::int64_t aFallback, std::int64_t aLeast) {
      return aReader.OptionalInt(aField, aFallback, aLeast, kMostTokens);
    };
  out.m_name = aReader.RequiredString("name");
  out.m_perSecond =
    aReader.OptionalNumber("perSecond", out.m_perSecond, 0, kMostRate);
  out.m_commonTokens = tokens("commonTokens", out.m_commonTokens, 0);
  out.m_chainTokens = tokens("chainTokens", out.m_chainTokens, 0);
  out.m_ownTokens = tokens("ownTokens", out.m_ownTokens, 1);
  out.m_chains = tokens("chains", out.m_chains, 1);
  out.m_outTokens = tokens("outTokens", out.m_outTokens, 1);
  out.m_aim = ReadMs(aReader, "aimMs", out.m_aim);
  out.m_gapAim = ReadMs(aReader, "gapAimMs", out.m_gapAim);
  out.m_deadline = ReadMs(aReader, "deadlineMs", out.m_deadline);
  constexpr std::int64_t kMostTries = 100;
  out.m_comesBack = static_cast<int>(
    aReader.OptionalInt("comesBack", out.m_comesBack, 0, kMostTries));
  aReader.RejectUnknown();
  return out;
}

Peak
ReadPeak(FieldReader& aReader, const Scenario& aScenario)
{
  Peak out;
  out.m_call = aReader.RequiredString("call");
  out.m_at = ReadMs(aReader, "atMs", out.m_at);
  out.m_for = ReadMs(aReader, "forMs", out.m_for);
  out.m_times = aReader.OptionalNumber("times", out.m_times, 0, kMostRate);
  const bool known =
    std::any_of(aScenario.m_calls.begin(),
                aScenario.m_calls.end(),
                [&](const auto& aCall) { return aCall.m_name == out.m_call; });
  if (!known && !out.m_call.empty()) {
    aReader.Fail("call", "the name of one of the calls above");
  }
  aReader.RejectUnknown();
  return out;
}

Loss
ReadLoss(FieldReader& aReader)
{
  Loss out;
  out.m_at = ReadMs(aReader, "atMs", out.m_at);
  out.m_for = ReadMs(aReader, "forMs", out.m_for);
  out.m_engines =
    aReader.OptionalInt("engines", out.m_engines, 1, kMostEngines);
  out.m_listedAfter = ReadMs(aReader, "listedAfterMs", out.m_listedAfter);
  aReader.RejectUnknown();
  return out;
}

void
ReadLists(FieldReader& aReader,
          Scenario& aOut,
          std::vector<FieldError>& aFaults)
{
  const auto each = [&](std::string_view aField, auto aRead) {
    aReader.ForEachItem(aField,
                        [&](const Json& aItem, const std::string& aPointer) {
                          FieldReader item(aItem, aPointer, aFaults);
                          aRead(item);
                        });
  };
  each("calls",
       [&](FieldReader& aItem) { aOut.m_calls.push_back(ReadCall(aItem)); });
  each("peaks", [&](FieldReader& aItem) {
    aOut.m_peaks.push_back(ReadPeak(aItem, aOut));
  });
  each("losses",
       [&](FieldReader& aItem) { aOut.m_losses.push_back(ReadLoss(aItem)); });
  if (aOut.m_calls.empty()) {
    aReader.Fail("calls", "one kind of call or more");
  }
}

} // namespace

tl::expected<Scenario, SettingsError>
ParseScenario(std::string_view aText, const std::string& aFile)
{
  const Json document = Json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return tl::unexpected(SettingsError{ aFile, {}, "the file is not JSON" });
  }
  Scenario out;
  std::vector<FieldError> faults;
  FieldReader reader(document, "", faults);
  out.m_name = reader.RequiredString("name");
  out.m_instances =
    reader.OptionalInt("instances", out.m_instances, 1, kMostInstances);
  out.m_readers = reader.OptionalInt("readers", out.m_readers, 0, kMostEngines);
  out.m_generators =
    reader.OptionalInt("generators", out.m_generators, 1, kMostEngines);
  out.m_length = ReadMs(reader, "lengthMs", out.m_length);
  out.m_talkEvery = ReadMs(reader, "talkEveryMs", out.m_talkEvery);
  out.m_readsApart = reader.OptionalBool("readsApart", out.m_readsApart);
  reader.Object("engine", [&](FieldReader& aEngine) {
    out.m_engine = ReadEngine(aEngine);
  });
  ReadLists(reader, out, faults);
  reader.RejectUnknown();
  if (!faults.empty()) {
    return tl::unexpected(SettingsError{ aFile, std::move(faults), {} });
  }
  return out;
}

tl::expected<Scenario, SettingsError>
LoadScenario(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return tl::unexpected(
      SettingsError{ aFile, {}, "the file cannot be read" });
  }
  return ParseScenario(text.str(), aFile);
}

} // namespace ridgeferry::experiment
