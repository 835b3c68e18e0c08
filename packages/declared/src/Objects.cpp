#include "ridgeferry/declared/Objects.h"

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>
#include <regex>

namespace ridgeferry::declared {

namespace {

constexpr std::array<std::string_view, kTrafficClassCount>
  kClassNames = { "urgent", "high", "normal", "low" };
constexpr std::array<std::string_view, 3> kRoleNames = { "mixed",
                                                         "prefill",
                                                         "decode" };
constexpr std::array<std::string_view, 5> kKinds = { "service",
                                                     "deployment",
                                                     "team",
                                                     "event",
                                                     "route" };
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kDefaultDeadlineMs = 60'000;
constexpr std::int64_t kMaxEngines = 100'000;
constexpr std::size_t kMaxNameLength = 63;

bool
IsName(const std::string& aText)
{
  static const std::regex kPattern("[a-z0-9]([a-z0-9.-]*[a-z0-9])?");
  return aText.size() <= kMaxNameLength && std::regex_match(aText, kPattern);
}

Labels
ReadLabels(FieldReader& aReader, std::vector<FieldError>& aErrors)
{
  Labels labels;
  aReader.ForEachMember(
    "labels",
    [&](const std::string& aKey,
        const nlohmann::json& aItem,
        const std::string& aPointer) {
      if (!aItem.is_string()) {
        aErrors.push_back({ aPointer, aItem.dump(), "a string" });
        return;
      }
      labels.emplace(aKey, aItem.get<std::string>());
    });
  return labels;
}

/** Carries what every `spec` reader needs. */
struct SpecContext
{
  const nlohmann::json& m_spec;
  FieldReader& m_reader;
  std::vector<FieldError>& m_errors;

  Selector ReadSelector(std::string_view aField) const
  {
    if (!m_reader.Has(aField)) {
      return {};
    }
    return Selector::FromJson(m_spec[std::string(aField)],
                              m_reader.Pointer() + "/" + std::string(aField),
                              m_errors);
  }

  Selector RequiredSelector(std::string_view aField) const
  {
    if (!m_reader.Has(aField)) {
      m_reader.Fail(aField, "a selector on labels");
    }
    return ReadSelector(aField);
  }

  Duration ReadDeadline() const
  {
    return Duration(m_reader.OptionalInt(
      "deadlineMs", kDefaultDeadlineMs, 1, kMaxDeadlineMs));
  }
};

Object
ReadService(const SpecContext& aSpec)
{
  Service service;
  service.m_upstreams = aSpec.RequiredSelector("upstreams");
  service.m_repeatable = aSpec.m_reader.OptionalBool("repeatable", true);
  service.m_deadline = aSpec.ReadDeadline();
  return service;
}

Object
ReadDeployment(const SpecContext& aSpec)
{
  FieldReader& reader = aSpec.m_reader;
  Deployment deployment;
  deployment.m_model = reader.RequiredString("model");
  deployment.m_version = reader.RequiredString("version");
  deployment.m_adapter = reader.OptionalString("adapter", "");
  deployment.m_engines = aSpec.RequiredSelector("engines");
  deployment.m_checksFencing = reader.OptionalBool("checksFencing", false);
  deployment.m_roleChangeWeight =
    reader.OptionalNumber("roleChangeWeight", 0, 0, 1e6);
  deployment.m_minPrefill = reader.OptionalInt("minPrefill", 0, 0, kMaxEngines);
  deployment.m_minDecode = reader.OptionalInt("minDecode", 0, 0, kMaxEngines);
  deployment.m_deadline = aSpec.ReadDeadline();
  return deployment;
}

Object
ReadOrganisation(const SpecContext& aSpec)
{
  Organisation organisation;
  aSpec.m_reader.Object("limits", [&](FieldReader& aReader) {
    organisation.m_limits.m_requestsPerSecond =
      aReader.OptionalNumber("requestsPerSecond", 0, 0, 1e9);
    organisation.m_limits.m_inFlight =
      aReader.OptionalInt("inFlight", 0, 0, 1'000'000);
  });
  return organisation;
}

std::optional<WallTime>
ParseUtc(const std::string& aText)
{
  std::tm fields{};
  const char* end = strptime(aText.c_str(), "%Y-%m-%dT%H:%M:%SZ", &fields);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return WallTime(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(timegm(&fields))));
}

Object
ReadEvent(const SpecContext& aSpec)
{
  constexpr std::int64_t kMaxDurationS = 604'800;
  Event event;
  const std::string start = aSpec.m_reader.RequiredString("start");
  const std::optional<WallTime> parsed = ParseUtc(start);
  if (!start.empty() && !parsed) {
    aSpec.m_reader.Fail("start", "a UTC time such as \"2026-05-01T12:00:00Z\"");
  }
  event.m_start = parsed.value_or(WallTime{});
  event.m_duration = std::chrono::seconds(
    aSpec.m_reader.RequiredInt("durationSeconds", 1, kMaxDurationS));
  event.m_prefillShare =
    aSpec.m_reader.OptionalNumber("prefillShare", 0.5, 0, 1);
  event.m_deployments = aSpec.ReadSelector("deployments");
  return event;
}

Object
ReadRoute(const SpecContext& aSpec)
{
  FieldReader& reader = aSpec.m_reader;
  Route route;
  route.m_order = reader.OptionalInt("order", 100, 0, 1'000'000);
  route.m_requests = aSpec.RequiredSelector("requests");
  route.m_event = reader.OptionalString("event", "");
  route.m_class = static_cast<TrafficClass>(reader.OptionalChoice(
    "class", static_cast<std::size_t>(TrafficClass::Normal), kClassNames));
  route.m_upstreams = aSpec.ReadSelector("upstreams");
  if (reader.Has("deadlineMs")) {
    route.m_deadline = aSpec.ReadDeadline();
  }
  return route;
}

Object
ReadSpec(std::size_t aKind, const SpecContext& aSpec)
{
  switch (aKind) {
    case 0:
      return ReadService(aSpec);
    case 1:
      return ReadDeployment(aSpec);
    case 2:
      return ReadOrganisation(aSpec);
    case 3:
      return ReadEvent(aSpec);
    default:
      return ReadRoute(aSpec);
  }
}

} // namespace

std::string_view
TrafficClassName(TrafficClass aClass)
{
  return kClassNames[static_cast<std::size_t>(aClass)];
}

std::string_view
RoleName(Role aRole)
{
  return kRoleNames[static_cast<std::size_t>(aRole)];
}

std::optional<Role>
RoleFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kRoleNames.size(); ++i) {
    if (kRoleNames[i] == aName) {
      return static_cast<Role>(i);
    }
  }
  return std::nullopt;
}

std::string_view
KindOf(const Object& aObject)
{
  return kKinds[aObject.index()];
}

const std::string&
NameOf(const Object& aObject)
{
  return std::visit(
    [](const auto& aItem) -> const std::string& { return aItem.m_name; },
    aObject);
}

const Labels&
LabelsOf(const Object& aObject)
{
  return std::visit(
    [](const auto& aItem) -> const Labels& { return aItem.m_labels; }, aObject);
}

std::string
KeyOf(const Object& aObject)
{
  return std::string(KindOf(aObject)) + "/" + NameOf(aObject);
}

tl::expected<Object, std::vector<FieldError>>
ObjectFromJson(const nlohmann::json& aValue, const std::string& aPointer)
{
  std::vector<FieldError> errors;
  FieldReader reader(aValue, aPointer, errors);
  if (!aValue.is_object()) {
    return tl::unexpected(std::move(errors));
  }
  if (!reader.Has("kind")) {
    reader.Fail("kind",
                "\"service\", \"deployment\", \"team\", \"event\", \"route\"");
  }
  const std::size_t kind = reader.OptionalChoice("kind", kKinds.size(), kKinds);
  const std::string name = reader.RequiredString("name");
  if (!name.empty() && !IsName(name)) {
    reader.Fail("name",
                "at most 63 of a-z, 0-9, '-' and '.', with a letter or digit "
                "first and last");
  }
  Labels labels = ReadLabels(reader, errors);
  const nlohmann::json empty = nlohmann::json::object();
  const auto found = aValue.find("spec");
  reader.Has("spec");
  reader.RejectUnknown();
  if (kind == kKinds.size()) {
    return tl::unexpected(std::move(errors));
  }
  const nlohmann::json& spec = found == aValue.end() ? empty : *found;
  FieldReader specReader(spec, aPointer + "/spec", errors);
  Object object = ReadSpec(kind, SpecContext{ spec, specReader, errors });
  specReader.RejectUnknown();
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  std::visit(
    [&](auto& aItem) {
      aItem.m_name = name;
      aItem.m_labels = std::move(labels);
    },
    object);
  return object;
}

} // namespace ridgeferry::declared
