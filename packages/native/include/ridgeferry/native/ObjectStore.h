#pragma once

#include <optional>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::native {

/** The platform's object store, for large values. Not thread-safe. */
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;
  /** Nothing if the object is missing or the store cannot be asked. */
  virtual void Get(const std::string& aKey,
                   sigc::slot<void(std::optional<std::string>)> aDone) = 0;
  /** False unless the store confirmed the write. */
  virtual void Put(const std::string& aKey,
                   const std::string& aValue,
                   sigc::slot<void(bool)> aDone) = 0;
};

} // namespace ridgeferry::native
