#pragma once

#include <map>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace ridgeferry::native {

enum class ListedKind
{
  Instance, ///< An entry instance of this system.
  Engine,
  Service,
};

/** One line of the platform's list, which lags behind the truth. */
struct ListedMember
{
  std::string m_id;
  ListedKind m_kind = ListedKind::Engine;
  std::string m_dataCentre;
  std::string m_address; ///< IP:PORT; of an instance: for its peers.
  std::map<std::string, std::string, std::less<>> m_labels;
  bool m_leaving = false;
};

/** The platform's list of live and leaving members. Not thread-safe. */
class InstanceList
{
public:
  virtual ~InstanceList() = default;
  /** The members of one hall; nothing if the list cannot be had. */
  virtual void Get(
    const std::string& aDataCentre,
    sigc::slot<void(std::optional<std::vector<ListedMember>>)> aDone) = 0;
};

} // namespace ridgeferry::native
