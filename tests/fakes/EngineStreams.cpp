#include "EngineStreams.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::fakes {

namespace {

constexpr std::size_t kPrefixBytes = 1024;
/** Each event of this number's multiples is never published. */
constexpr std::uint64_t kGapEvery = 7;

std::string
TokenEvent(const EngineStream& aStream, std::uint64_t aOffset)
{
  return "data: " +
         nlohmann::json{
           { "offset", aOffset }, { "text", TokenAt(aStream.m_source, aOffset) }
         }.dump() +
         "\n\n";
}

std::string
EndEvent(const EngineStream& aStream)
{
  return "event: end\ndata: " +
         nlohmann::json{
           { "tokens", aStream.m_total }, { "finish_reason", "stop" }
         }.dump() +
         "\n\n";
}

} // namespace

EngineStreams::EngineStreams(BatchLimits aLimits)
  : m_limits(aLimits)
{
}

bool
EngineStreams::TakeCached(const std::string& aPrompt)
{
  const std::uint64_t prefix = Hash64(aPrompt.substr(0, kPrefixBytes));
  const auto it = std::find(m_cached.begin(), m_cached.end(), prefix);
  const bool hit = it != m_cached.end();
  if (hit) {
    m_cached.erase(it);
  } else {
    NoteCache(prefix, true);
  }
  m_cached.push_front(prefix);
  if (m_cached.size() > m_limits.m_cachedPrefixes) {
    NoteCache(m_cached.back(), false);
    m_cached.pop_back();
  }
  return hit;
}

void
EngineStreams::NoteCache(std::uint64_t aPrefix, bool aAdded)
{
  m_cacheEvents.push_back({ m_cacheEvents.size() + 1, aPrefix, aAdded, m_now });
}

std::vector<CacheEvent>
EngineStreams::PublishedEvents(std::uint64_t aSince, Instant aBefore) const
{
  std::vector<CacheEvent> out;
  for (const CacheEvent& event : m_cacheEvents) {
    if (event.m_number > aSince && event.m_at < aBefore &&
        event.m_number % kGapEvery != 0) {
      out.push_back(event);
    }
  }
  return out;
}

EngineStream&
EngineStreams::Add(EngineStream aStream, std::int64_t aPromptTokens)
{
  aStream.m_promptLeft =
    TakeCached(aStream.m_source.m_prompt) ? 0 : aPromptTokens;
  const std::string id = aStream.m_id;
  const int priority = aStream.m_priority;
  EngineStream& stream =
    m_streams.insert_or_assign(id, std::move(aStream)).first->second;
  const auto place = std::find_if(
    m_active.begin(), m_active.end(), [&](const std::string& aOther) {
      return m_streams.at(aOther).m_priority > priority;
    });
  m_active.insert(place, id);
  return stream;
}

EngineStream*
EngineStreams::Find(const std::string& aId)
{
  const auto it = m_streams.find(aId);
  return it == m_streams.end() ? nullptr : &it->second;
}

void
EngineStreams::Cancel(const std::string& aId)
{
  std::erase(m_active, aId);
  m_streams.erase(aId);
}

std::size_t
EngineStreams::CutAll()
{
  for (const std::string& id : m_active) {
    EngineStream& stream = m_streams.at(id);
    stream.m_cut = true;
    for (const auto& reader : stream.m_readers) {
      reader->Abort();
    }
    m_streams.erase(id);
  }
  const std::size_t count = m_active.size();
  m_active.clear();
  return count;
}

void
EngineStreams::Attach(EngineStream& aStream,
                      const std::shared_ptr<net::HttpExchange>& aReader,
                      std::uint64_t aFrom)
{
  constexpr int kOk = 200;
  net::HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("X-Stream-Id", aStream.m_id);
  aReader->StartStream(kOk, headers);
  for (std::uint64_t i = std::max(aFrom, aStream.m_start); i < aStream.m_next;
       ++i) {
    aReader->SendChunk(TokenEvent(aStream, i));
  }
  if (aStream.m_done) {
    aReader->SendChunk(EndEvent(aStream));
    aReader->EndStream();
    return;
  }
  aStream.m_readers.push_back(aReader);
}

void
EngineStreams::Finish(EngineStream& aStream)
{
  aStream.m_done = true;
  for (const auto& reader : aStream.m_readers) {
    reader->SendChunk(EndEvent(aStream));
    reader->EndStream();
  }
  aStream.m_readers.clear();
}

void
EngineStreams::Step()
{
  std::int64_t prefill = m_limits.m_prefillPerStep;
  const std::size_t admitted = std::min(m_active.size(), m_limits.m_slots);
  std::vector<std::string> finished;
  for (std::size_t i = 0; i < admitted; ++i) {
    EngineStream& stream = m_streams.at(m_active[i]);
    if (stream.m_promptLeft > 0) {
      const std::int64_t part = std::min(prefill, stream.m_promptLeft);
      stream.m_promptLeft -= part;
      prefill -= part;
      continue;
    }
    if (stream.m_next < stream.m_total) {
      const std::string event = TokenEvent(stream, stream.m_next++);
      for (const auto& reader : stream.m_readers) {
        reader->SendChunk(event);
      }
    }
    if (stream.m_next >= stream.m_total) {
      Finish(stream);
      finished.push_back(stream.m_id);
    }
  }
  for (const std::string& id : finished) {
    std::erase(m_active, id);
  }
}

} // namespace ridgeferry::fakes
