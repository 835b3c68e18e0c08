#include "ridgeferry/protocol/Messages.h"

#include "Codec.h"
#include "LimitDigests.h"
#include "PaceDigests.h"
#include "ridgeferry_types.h"

#include <algorithm>

namespace ridgeferry::protocol {

namespace {

/** A negative number is none that a store counts: the position of no answer. */
StorePosition
PositionOf(std::int64_t aGeneration, std::int64_t aVersion)
{
  if (aGeneration < 0 || aVersion < 0) {
    return {};
  }
  return { static_cast<StoreGeneration>(aGeneration),
           static_cast<std::uint64_t>(aVersion) };
}

std::optional<membership::EngineRole>
PartFrom(std::int32_t aValue)
{
  const auto highest =
    static_cast<std::int32_t>(membership::EngineRole::Decoding);
  if (aValue < 0 || aValue > highest) {
    return std::nullopt;
  }
  return static_cast<membership::EngineRole>(aValue);
}

constexpr std::int64_t kBornNotSaid = -1;
/** Depth of what is no segment of a prompt. */
constexpr std::int32_t kNoDepth = -1;

void
SetEndings(wire::Heartbeat& aOut,
           const std::vector<membership::CrashDigest>& aEndings)
{
  std::vector<std::int64_t> high;
  std::vector<std::int64_t> low;
  std::vector<std::int64_t> incarnations;
  std::vector<bool> cleared;
  std::vector<std::int32_t> depths;
  std::vector<std::int32_t> ages;
  for (const membership::CrashDigest& ending : aEndings) {
    high.push_back(static_cast<std::int64_t>(ending.m_callHigh));
    low.push_back(static_cast<std::int64_t>(ending.m_callLow));
    incarnations.push_back(static_cast<std::int64_t>(ending.m_incarnationHash));
    cleared.push_back(ending.m_cleared);
    depths.push_back(ending.m_segmentDepth
                       ? static_cast<std::int32_t>(*ending.m_segmentDepth)
                       : kNoDepth);
    ages.push_back(ending.m_ageMs);
  }
  aOut.__set_endedCallsHigh(high);
  aOut.__set_endedCallsLow(low);
  aOut.__set_endedLives(incarnations);
  aOut.__set_endingsCleared(cleared);
  aOut.__set_endedDepths(depths);
  aOut.__set_endedAges(ages);
}

/** Nothing: the lists differ in length. */
std::optional<std::vector<membership::CrashDigest>>
EndingsFrom(const wire::Heartbeat& aIn)
{
  const std::size_t count = aIn.endedLives.size();
  if (aIn.endedCallsHigh.size() != count || aIn.endedCallsLow.size() != count ||
      aIn.endingsCleared.size() != count ||
      (aIn.__isset.endedDepths && aIn.endedDepths.size() != count) ||
      (aIn.__isset.endedAges && aIn.endedAges.size() != count)) {
    return std::nullopt;
  }
  std::vector<membership::CrashDigest> out;
  for (std::size_t i = 0; i < count; ++i) {
    membership::CrashDigest digest{
      static_cast<std::uint64_t>(aIn.endedCallsHigh[i]),
      static_cast<std::uint64_t>(aIn.endedCallsLow[i]),
      static_cast<std::uint64_t>(aIn.endedLives[i]),
      aIn.endingsCleared[i],
      std::nullopt
    };
    if (aIn.__isset.endedDepths && aIn.endedDepths[i] >= 0) {
      digest.m_segmentDepth = static_cast<std::uint32_t>(aIn.endedDepths[i]);
    }
    if (aIn.__isset.endedAges) {
      digest.m_ageMs = std::max(0, aIn.endedAges[i]);
    }
    out.push_back(digest);
  }
  return out;
}

} // namespace

std::string
Encode(const membership::Heartbeat& aMessage)
{
  wire::Heartbeat out;
  out.instance = aMessage.m_instance;
  out.incarnation = static_cast<std::int64_t>(aMessage.m_incarnation);
  out.hall = aMessage.m_dataCentre;
  out.peerAddress = aMessage.m_peerAddress;
  out.ready = aMessage.m_ready;
  out.leaving = aMessage.m_leaving;
  out.revision = static_cast<std::int64_t>(aMessage.m_revision);
  if (!aMessage.m_leavingUpstreams.empty()) {
    std::vector<std::string> ids;
    std::vector<std::int64_t> born;
    for (const UpstreamIncarnation& upstream : aMessage.m_leavingUpstreams) {
      ids.push_back(upstream.m_id);
      born.push_back(upstream.m_born.value_or(kBornNotSaid));
    }
    out.__set_leavingUpstreams(ids);
    out.__set_leavingBorn(born);
  }
  if (!aMessage.m_engines.empty()) {
    std::vector<std::int32_t> engines;
    std::vector<std::int32_t> states;
    std::vector<std::int32_t> loads;
    std::vector<std::int32_t> work;
    for (const membership::EngineDigest& digest : aMessage.m_engines) {
      engines.push_back(static_cast<std::int32_t>(digest.m_engine));
      states.push_back(static_cast<std::int32_t>(digest.m_state));
      loads.push_back(digest.m_running);
      work.push_back(digest.m_tokensToPrefill);
    }
    out.__set_engines(engines);
    out.__set_states(states);
    out.__set_loads(loads);
    const bool any = std::any_of(
      work.begin(), work.end(), [](std::int32_t aWork) { return aWork != 0; });
    if (any) {
      out.__set_work(work);
    }
  }
  if (aMessage.m_tellsDataCentre) {
    out.__set_tellsHall(true);
  }
  if (!aMessage.m_roles.empty()) {
    std::vector<std::int32_t> engines;
    std::vector<std::int32_t> parts;
    for (const membership::RoleDigest& digest : aMessage.m_roles) {
      engines.push_back(static_cast<std::int32_t>(digest.m_engine));
      parts.push_back(static_cast<std::int32_t>(digest.m_part));
    }
    out.__set_changedEngines(engines);
    out.__set_changedParts(parts);
  }
  if (!aMessage.m_prefills.empty()) {
    std::vector<std::int32_t> parts;
    std::vector<std::int32_t> engines;
    for (const membership::PrefillDigest& digest : aMessage.m_prefills) {
      parts.push_back(static_cast<std::int32_t>(digest.m_part));
      engines.push_back(static_cast<std::int32_t>(digest.m_engine));
    }
    out.__set_readParts(parts);
    out.__set_readEngines(engines);
  }
  if (!aMessage.m_disaggregatedServices.empty()) {
    out.__set_servicesApart({ aMessage.m_disaggregatedServices.begin(),
                              aMessage.m_disaggregatedServices.end() });
  }
  if (aMessage.m_store) {
    const membership::StoreView& store = *aMessage.m_store;
    const auto number = [](std::uint64_t aNumber) {
      return static_cast<std::int64_t>(aNumber);
    };
    out.__set_configVersion(number(store.m_config.m_version));
    out.__set_configGeneration(number(store.m_config.m_generation));
    out.__set_membersVersion(number(store.m_members.m_version));
    out.__set_membersGeneration(number(store.m_members.m_generation));
    out.__set_storeLost(store.m_lost);
    out.__set_storeSteady(store.m_steady);
    if (store.m_readsFor) {
      out.__set_storeReadsForMs(store.m_readsFor->count());
    }
    if (store.m_configProof) {
      out.__set_configProvenMs(store.m_configProof->m_until.m_clock.count());
    }
    if (store.m_wallOffset) {
      out.__set_wallOffsetMs(store.m_wallOffset->m_offset.count());
      out.__set_wallOffsetGeneration(number(store.m_wallOffset->m_generation));
    }
  }
  if (!aMessage.m_unreachableServices.empty()) {
    out.__set_unreachableServices({ aMessage.m_unreachableServices.begin(),
                                    aMessage.m_unreachableServices.end() });
  }
  if (aMessage.m_runningCalls > 0) {
    out.__set_runningCalls(aMessage.m_runningCalls);
  }
  SetLimits(out, aMessage);
  SetPaces(out, aMessage);
  if (!aMessage.m_crashes.empty()) {
    SetEndings(out, aMessage.m_crashes);
  }
  if (aMessage.m_quarantineFingerprint) {
    out.__set_heldCalls(
      static_cast<std::int64_t>(*aMessage.m_quarantineFingerprint));
  }
  return Write(out);
}

std::string
Encode(const ChangesRequest& aMessage)
{
  wire::ChangesRequest out;
  out.after = static_cast<std::int64_t>(aMessage.m_after);
  return Write(out);
}

std::string
Encode(const ChangesReply& aMessage)
{
  wire::ChangesReply out;
  out.revision = static_cast<std::int64_t>(aMessage.m_revision);
  for (const config::Change& change : aMessage.m_changes) {
    out.changes.push_back(config::EncodeChange(change));
  }
  if (aMessage.m_snapshot) {
    std::vector<wire::ConfigObject> objects;
    for (const auto& [key, json] : *aMessage.m_snapshot) {
      wire::ConfigObject object;
      object.key = key;
      object.json = json;
      objects.push_back(std::move(object));
    }
    out.__set_snapshot(objects);
  }
  return Write(out);
}

std::string
Encode(const RowsRequest& aMessage)
{
  wire::RowsRequest out;
  out.table = aMessage.m_table;
  out.after = static_cast<std::int64_t>(aMessage.m_after.m_version);
  out.__set_generation(
    static_cast<std::int64_t>(aMessage.m_after.m_generation));
  return Write(out);
}

std::string
Encode(const RowsReply& aMessage)
{
  const relay::TableSlice& slice = aMessage.m_slice;
  wire::RowsReply out;
  out.version = static_cast<std::int64_t>(slice.m_position.m_version);
  out.__set_generation(
    static_cast<std::int64_t>(slice.m_position.m_generation));
  out.whole = slice.m_whole;
  if (const auto& clock = aMessage.m_latestClock) {
    out.__set_latestClockMs(clock->m_clock.count());
    out.__set_clockGeneration(static_cast<std::int64_t>(clock->m_generation));
  }
  for (const relay::FollowedRow& row : slice.m_rows) {
    wire::Row item;
    item.key = row.m_key;
    item.value = row.m_value;
    item.removed = row.m_removed;
    item.version = static_cast<std::int64_t>(row.m_version);
    out.rows.push_back(std::move(item));
  }
  return Write(out);
}

tl::expected<membership::Heartbeat, DecodeError>
DecodeHeartbeat(std::string_view aBytes)
{
  auto in = Read<wire::Heartbeat>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  membership::Heartbeat out;
  out.m_instance = in->instance;
  out.m_incarnation = static_cast<std::uint64_t>(in->incarnation);
  out.m_dataCentre = in->hall;
  out.m_peerAddress = in->peerAddress;
  out.m_ready = in->ready;
  out.m_leaving = in->leaving;
  out.m_revision = static_cast<std::uint64_t>(in->revision);
  if (!in->leavingBorn.empty() &&
      in->leavingBorn.size() != in->leavingUpstreams.size()) {
    return tl::unexpected(DecodeError{ "births of a different length" });
  }
  for (std::size_t i = 0; i < in->leavingUpstreams.size(); ++i) {
    UpstreamIncarnation upstream{ in->leavingUpstreams[i] };
    if (!in->leavingBorn.empty() && in->leavingBorn[i] >= 0) {
      upstream.m_born = in->leavingBorn[i];
    }
    out.m_leavingUpstreams.push_back(std::move(upstream));
  }
  if (in->states.size() != in->engines.size() ||
      in->loads.size() != in->engines.size() ||
      (!in->work.empty() && in->work.size() != in->engines.size())) {
    return tl::unexpected(DecodeError{ "digests of different lengths" });
  }
  for (std::size_t i = 0; i < in->engines.size(); ++i) {
    out.m_engines.push_back({ static_cast<std::uint32_t>(in->engines[i]),
                              static_cast<std::uint32_t>(in->states[i]),
                              in->loads[i],
                              in->work.empty() ? 0 : in->work[i] });
  }
  out.m_tellsDataCentre = in->tellsHall;
  if (in->changedParts.size() != in->changedEngines.size()) {
    return tl::unexpected(DecodeError{ "parts of different lengths" });
  }
  for (std::size_t i = 0; i < in->changedParts.size(); ++i) {
    const auto part = PartFrom(in->changedParts[i]);
    if (!part) {
      return tl::unexpected(DecodeError{ "no part of an engine" });
    }
    out.m_roles.push_back(
      { static_cast<std::uint32_t>(in->changedEngines[i]), *part });
  }
  if (in->readParts.size() != in->readEngines.size()) {
    return tl::unexpected(DecodeError{ "reads of different lengths" });
  }
  for (std::size_t i = 0; i < in->readParts.size(); ++i) {
    out.m_prefills.push_back(
      { static_cast<std::uint32_t>(in->readParts[i]),
        static_cast<std::uint32_t>(in->readEngines[i]) });
  }
  out.m_disaggregatedServices = { in->servicesApart.begin(),
                                  in->servicesApart.end() };
  if (in->__isset.configVersion && in->__isset.membersVersion) {
    out.m_store = { PositionOf(in->configGeneration, in->configVersion),
                    PositionOf(in->membersGeneration, in->membersVersion),
                    in->storeLost,
                    in->storeSteady,
                    in->__isset.storeReadsForMs
                      ? std::optional(Duration{ in->storeReadsForMs })
                      : std::nullopt };
    if (in->__isset.wallOffsetMs && in->wallOffsetGeneration >= 0) {
      out.m_store->m_wallOffset = { static_cast<StoreGeneration>(
                                      in->wallOffsetGeneration),
                                    Duration{ in->wallOffsetMs } };
    }
    if (in->__isset.configProvenMs) {
      const StorePosition config = out.m_store->m_config;
      out.m_store->m_configProof = freshness::TableProof{
        config, { config.m_generation, Duration{ in->configProvenMs } }
      };
    }
  }
  auto endings = EndingsFrom(*in);
  if (!endings) {
    return tl::unexpected(DecodeError{ "endings of different lengths" });
  }
  out.m_crashes = std::move(*endings);
  out.m_unreachableServices = { in->unreachableServices.begin(),
                                in->unreachableServices.end() };
  out.m_runningCalls = std::max(0, in->runningCalls);
  if (!TakeLimits(*in, out)) {
    return tl::unexpected(DecodeError{ "limits of different lengths" });
  }
  if (!TakePaces(*in, out)) {
    return tl::unexpected(DecodeError{ "paces of different lengths" });
  }
  if (in->__isset.heldCalls) {
    out.m_quarantineFingerprint = static_cast<std::uint64_t>(in->heldCalls);
  }
  return out;
}

tl::expected<ChangesRequest, DecodeError>
DecodeChangesRequest(std::string_view aBytes)
{
  auto in = Read<wire::ChangesRequest>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  return ChangesRequest{ static_cast<config::Revision>(in->after) };
}

tl::expected<ChangesReply, DecodeError>
DecodeChangesReply(std::string_view aBytes)
{
  auto in = Read<wire::ChangesReply>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  ChangesReply out;
  out.m_revision = static_cast<config::Revision>(in->revision);
  for (const std::string& row : in->changes) {
    auto change = config::DecodeChange(row);
    if (!change) {
      return tl::unexpected(DecodeError{ change.error() });
    }
    out.m_changes.push_back(std::move(*change));
  }
  if (in->__isset.snapshot) {
    out.m_snapshot.emplace();
    for (const wire::ConfigObject& object : in->snapshot) {
      out.m_snapshot->insert_or_assign(object.key, object.json);
    }
  }
  return out;
}

tl::expected<RowsRequest, DecodeError>
DecodeRowsRequest(std::string_view aBytes)
{
  auto in = Read<wire::RowsRequest>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  return RowsRequest{ in->table, PositionOf(in->generation, in->after) };
}

tl::expected<RowsReply, DecodeError>
DecodeRowsReply(std::string_view aBytes)
{
  auto in = Read<wire::RowsReply>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  RowsReply out;
  out.m_slice = { PositionOf(in->generation, in->version), in->whole, {} };
  if (in->__isset.latestClockMs && in->clockGeneration >= 0) {
    out.m_latestClock = { static_cast<StoreGeneration>(in->clockGeneration),
                          Duration{ in->latestClockMs } };
  }
  for (wire::Row& row : in->rows) {
    out.m_slice.m_rows.push_back({ std::move(row.key),
                                   std::move(row.value),
                                   row.removed,
                                   static_cast<std::uint64_t>(row.version) });
  }
  return out;
}

} // namespace ridgeferry::protocol
