#pragma once

#include <map>
#include <optional>
#include <ridgeferry/declared/Objects.h>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::declared {

/** Puts or replaces one object, given as its JSON text. */
struct PutObject
{
  std::string m_key;  ///< `KIND/NAME`.
  std::string m_json; ///< The object as its operator declared it.
  bool operator==(const PutObject&) const = default;
};

struct DeleteObject
{
  std::string m_key;
  bool operator==(const DeleteObject&) const = default;
};

using Edit = std::variant<PutObject, DeleteObject>;

/** How a request is to be served, as its matching route says. */
struct RouteMatch
{
  const Route* m_route = nullptr; ///< Null: no route matched.
  TrafficClass m_class = TrafficClass::Normal;
};

/**
 * All declared objects of one revision: the parsed form and, for each, the
 * JSON text that its operator wrote. Not thread-safe.
 */
class Catalog
{
public:
  Catalog() = default;
  Catalog(const Catalog& aOther);
  Catalog& operator=(const Catalog& aOther);
  Catalog(Catalog&&) = default;
  Catalog& operator=(Catalog&&) = default;
  ~Catalog() = default;

  /**
   * Applies edits as a whole or not at all.
   * Errors: every fault, with pointers `/INDEX/...` into the edits.
   */
  tl::expected<void, std::vector<FieldError>> Apply(
    std::span<const Edit> aEdits);

  const Service* FindService(std::string_view aName) const;
  /** The deployment that serves the model name a caller asks for. */
  const Deployment* FindDeployment(std::string_view aModelOrName) const;
  const Organisation* FindOrganisation(std::string_view aName) const;
  const Event* FindEvent(std::string_view aName) const;
  std::vector<const Deployment*> Deployments() const;
  std::vector<const Event*> Events() const;

  /** First route, by order and name, that matches at this wall time. */
  RouteMatch Match(const Labels& aRequestLabels, WallTime aNow) const;

  /** JSON text by key, in key order. */
  const std::map<std::string, std::string, std::less<>>& Texts() const
  {
    return m_texts;
  }

private:
  void Index();

  std::map<std::string, Object, std::less<>> m_objects;
  std::map<std::string, std::string, std::less<>> m_texts;
  /** Into m_objects, by rising order: a copy needs an index of its own. */
  std::vector<const Route*> m_routes;
};

/** Whether `aNow` lies within the event's declared time. */
bool
IsActive(const Event& aEvent, WallTime aNow);

} // namespace ridgeferry::declared
