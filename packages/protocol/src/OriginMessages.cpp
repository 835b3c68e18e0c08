#include "Codec.h"
#include "ridgeferry_types.h"

#include <algorithm>

namespace ridgeferry::protocol {

namespace {

constexpr std::int64_t kSeveralVersions = -1;

std::int64_t
NumberOf(const streams::StreamKey& aKey)
{
  return static_cast<std::int64_t>(aKey.m_hash);
}

streams::StreamKey
KeyOf(std::int64_t aNumber)
{
  return { static_cast<std::uint64_t>(aNumber) };
}

/** Returns the index of the origin in the message, which is added if it is new.
 */
std::int32_t
IndexOf(const streams::StreamOrigin& aOrigin, wire::StreamOrigins& aOut)
{
  for (std::size_t i = 0; i < aOut.services.size(); ++i) {
    if (aOut.services[i] == aOrigin.m_service &&
        aOut.softwareVersions[i] == aOrigin.m_softwareVersion) {
      return static_cast<std::int32_t>(i);
    }
  }
  aOut.services.push_back(aOrigin.m_service);
  aOut.softwareVersions.push_back(aOrigin.m_softwareVersion);
  return static_cast<std::int32_t>(aOut.services.size() - 1);
}

void
SetQuestions(wire::StreamOrigins& aOut,
             const std::vector<streams::OriginQuestion>& aQuestions)
{
  std::vector<std::int64_t> asked;
  std::vector<std::string> services;
  for (const streams::OriginQuestion& question : aQuestions) {
    asked.push_back(NumberOf(question.m_key));
    services.push_back(question.m_service);
  }
  aOut.__set_askedStreams(asked);
  aOut.__set_askedServices(services);
}

void
SetNoRecords(wire::StreamOrigins& aOut,
             const std::vector<streams::NoRecord>& aNoRecords)
{
  std::vector<std::int64_t> unknown;
  std::vector<std::string> versions;
  std::vector<std::int64_t> soleForMs;
  for (const streams::NoRecord& item : aNoRecords) {
    unknown.push_back(NumberOf(item.m_key));
    versions.push_back(item.m_sole ? item.m_sole->m_softwareVersion : "");
    soleForMs.push_back(item.m_sole ? item.m_sole->m_for.count()
                                    : kSeveralVersions);
  }
  aOut.__set_unknownStreams(unknown);
  aOut.__set_soleVersions(versions);
  aOut.__set_soleForMs(soleForMs);
}

/** Whether all lists have the lengths that belong together. */
bool
HasEvenLists(const wire::StreamOrigins& aIn)
{
  return aIn.origins.size() == aIn.streams.size() &&
         aIn.keepForMs.size() == aIn.streams.size() &&
         aIn.softwareVersions.size() == aIn.services.size() &&
         aIn.askedServices.size() == aIn.askedStreams.size() &&
         aIn.soleVersions.size() == aIn.unknownStreams.size() &&
         aIn.soleForMs.size() == aIn.unknownStreams.size();
}

/** Returns false if an origin is none of the message's. */
bool
TakeRecords(const wire::StreamOrigins& aIn, streams::OriginMessage& aOut)
{
  for (std::size_t i = 0; i < aIn.streams.size(); ++i) {
    const std::int32_t origin = aIn.origins[i];
    if (origin < 0 || static_cast<std::size_t>(origin) >= aIn.services.size()) {
      return false;
    }
    aOut.m_records.push_back(
      { KeyOf(aIn.streams[i]),
        { aIn.services[static_cast<std::size_t>(origin)],
          aIn.softwareVersions[static_cast<std::size_t>(origin)] },
        Duration{ std::max(0, aIn.keepForMs[i]) } });
  }
  return true;
}

} // namespace

std::string
Encode(const streams::OriginMessage& aMessage)
{
  wire::StreamOrigins out;
  out.answersTo = aMessage.m_from;
  for (const streams::OriginRecord& record : aMessage.m_records) {
    out.streams.push_back(NumberOf(record.m_key));
    out.origins.push_back(IndexOf(record.m_origin, out));
    out.keepForMs.push_back(
      static_cast<std::int32_t>(record.m_keepFor.count()));
  }
  if (!aMessage.m_questions.empty()) {
    SetQuestions(out, aMessage.m_questions);
  }
  if (!aMessage.m_noRecords.empty()) {
    SetNoRecords(out, aMessage.m_noRecords);
  }
  return Write(out);
}

tl::expected<streams::OriginMessage, DecodeError>
DecodeOriginMessage(std::string_view aBytes)
{
  const auto in = Read<wire::StreamOrigins>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  if (!HasEvenLists(*in)) {
    return tl::unexpected(DecodeError{ "lists of different lengths" });
  }
  streams::OriginMessage out;
  out.m_from = in->answersTo;
  if (!TakeRecords(*in, out)) {
    return tl::unexpected(DecodeError{ "no origin of this message" });
  }
  for (std::size_t i = 0; i < in->askedStreams.size(); ++i) {
    out.m_questions.push_back(
      { KeyOf(in->askedStreams[i]), in->askedServices[i] });
  }
  for (std::size_t i = 0; i < in->unknownStreams.size(); ++i) {
    streams::NoRecord item{ KeyOf(in->unknownStreams[i]), {} };
    if (in->soleForMs[i] >= 0) {
      item.m_sole = { in->soleVersions[i], Duration{ in->soleForMs[i] } };
    }
    out.m_noRecords.push_back(std::move(item));
  }
  return out;
}

} // namespace ridgeferry::protocol
