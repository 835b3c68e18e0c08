#pragma once

#include <memory>
#include <ridgeferry/entry/Dialect.h>
#include <ridgeferry/entry/EntrySettings.h>
#include <ridgeferry/net/NetError.h>
#include <string>
#include <tl/expected.hpp>

namespace ridgeferry::entry {

/** One process that forwards calls to upstreams, with routes and upstreams
 * followed from a store. Runs one event loop in one thread; not thread-safe. */
class Entry
{
public:
  /** Returns an error if the log cannot be opened or a listening address cannot
   * be bound. `aFile` is the settings file; it is read again whenever it
   * changes. */
  static tl::expected<std::unique_ptr<Entry>, net::NetError>
  Make(EntrySettings aSettings, std::string aFile, Dialect aDialect);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /** Serves until a planned stop, which SIGTERM or SIGINT begins, has finished.
   */
  void Run();

  struct Impl;

private:
  explicit Entry(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::entry
