#include "ridgeferry/declared/Catalog.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::declared {

namespace {

template<typename T>
const T*
FindAs(const std::map<std::string, Object, std::less<>>& aObjects,
       std::string_view aKind,
       std::string_view aName)
{
  std::string key(aKind);
  key += '/';
  key += aName;
  const auto it = aObjects.find(key);
  return it == aObjects.end() ? nullptr : std::get_if<T>(&it->second);
}

template<typename T>
std::vector<const T*>
AllOf(const std::map<std::string, Object, std::less<>>& aObjects)
{
  std::vector<const T*> out;
  for (const auto& [key, object] : aObjects) {
    if (const T* item = std::get_if<T>(&object)) {
      out.push_back(item);
    }
  }
  return out;
}

tl::expected<Object, std::vector<FieldError>>
ParsePut(const PutObject& aPut, const std::string& aPointer)
{
  const nlohmann::json value =
    nlohmann::json::parse(aPut.m_json, nullptr, false);
  if (value.is_discarded()) {
    return tl::unexpected(std::vector<FieldError>{
      { aPointer, "text that is no JSON", "a declared object" } });
  }
  auto object = ObjectFromJson(value, aPointer);
  if (object && KeyOf(*object) != aPut.m_key) {
    return tl::unexpected(std::vector<FieldError>{
      { aPointer, KeyOf(*object), "the key " + aPut.m_key } });
  }
  return object;
}

/** A route must name an event that is declared. */
void
CheckReferences(const std::map<std::string, Object, std::less<>>& aObjects,
                std::vector<FieldError>& aErrors)
{
  for (const Route* route : AllOf<Route>(aObjects)) {
    if (!route->m_event.empty() &&
        FindAs<Event>(aObjects, "event", route->m_event) == nullptr) {
      aErrors.push_back({ "/route/" + route->m_name + "/spec/event",
                          "\"" + route->m_event + "\"",
                          "the name of a declared event" });
    }
  }
}

} // namespace

Catalog::Catalog(const Catalog& aOther)
  : m_objects(aOther.m_objects)
  , m_texts(aOther.m_texts)
{
  Index();
}

Catalog&
Catalog::operator=(const Catalog& aOther)
{
  if (this != &aOther) {
    m_objects = aOther.m_objects;
    m_texts = aOther.m_texts;
    Index();
  }
  return *this;
}

tl::expected<void, std::vector<FieldError>>
Catalog::Apply(std::span<const Edit> aEdits)
{
  std::vector<FieldError> errors;
  auto objects = m_objects;
  auto texts = m_texts;
  for (std::size_t i = 0; i < aEdits.size(); ++i) {
    const std::string pointer = "/" + std::to_string(i);
    std::visit(Overloaded{ [&](const PutObject& aPut) {
                            auto object = ParsePut(aPut, pointer);
                            if (!object) {
                              errors.insert(errors.end(),
                                            object.error().begin(),
                                            object.error().end());
                              return;
                            }
                            objects.insert_or_assign(aPut.m_key,
                                                     std::move(*object));
                            texts.insert_or_assign(aPut.m_key, aPut.m_json);
                          },
                           [&](const DeleteObject& aDelete) {
                             if (objects.erase(aDelete.m_key) == 0) {
                               errors.push_back({ pointer,
                                                  aDelete.m_key,
                                                  "the key of an object that "
                                                  "is declared" });
                             }
                             texts.erase(aDelete.m_key);
                           } },
               aEdits[i]);
  }
  if (errors.empty()) {
    CheckReferences(objects, errors);
  }
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  m_objects = std::move(objects);
  m_texts = std::move(texts);
  Index();
  return {};
}

void
Catalog::Index()
{
  m_routes = AllOf<Route>(m_objects);
  std::stable_sort(m_routes.begin(),
                   m_routes.end(),
                   [](const Route* aLeft, const Route* aRight) {
                     return aLeft->m_order < aRight->m_order;
                   });
}

const Service*
Catalog::FindService(std::string_view aName) const
{
  return FindAs<Service>(m_objects, "service", aName);
}

const Deployment*
Catalog::FindDeployment(std::string_view aModelOrName) const
{
  if (const auto* found =
        FindAs<Deployment>(m_objects, "deployment", aModelOrName)) {
    return found;
  }
  for (const Deployment* deployment : Deployments()) {
    if (deployment->m_model == aModelOrName) {
      return deployment;
    }
  }
  return nullptr;
}

const Organisation*
Catalog::FindOrganisation(std::string_view aName) const
{
  return FindAs<Organisation>(m_objects, "team", aName);
}

const Event*
Catalog::FindEvent(std::string_view aName) const
{
  return FindAs<Event>(m_objects, "event", aName);
}

std::vector<const Deployment*>
Catalog::Deployments() const
{
  return AllOf<Deployment>(m_objects);
}

std::vector<const Event*>
Catalog::Events() const
{
  return AllOf<Event>(m_objects);
}

RouteMatch
Catalog::Match(const Labels& aRequestLabels, WallTime aNow) const
{
  for (const Route* route : m_routes) {
    if (!route->m_event.empty()) {
      const Event* event = FindEvent(route->m_event);
      if (event == nullptr || !IsActive(*event, aNow)) {
        continue;
      }
    }
    if (route->m_requests.Matches(aRequestLabels)) {
      return { route, route->m_class };
    }
  }
  return {};
}

bool
IsActive(const Event& aEvent, WallTime aNow)
{
  return aNow >= aEvent.m_start && aNow < aEvent.m_start + aEvent.m_duration;
}

} // namespace ridgeferry::declared
