#pragma once

#include <memory>
#include <ridgeferry/entry/Dialect.h>
#include <ridgeferry/entry/EntrySettings.h>
#include <ridgeferry/net/NetError.h>
#include <string>
#include <tl/expected.hpp>

namespace ridgeferry::entry {

/**
 * One process that passes calls through to upstreams, with routes and
 * upstreams followed from a store. One loop, one thread; not thread-safe.
 */
class Entry
{
public:
  /** Error: an address is taken. `aFile` is read again when it changes. */
  static tl::expected<std::unique_ptr<Entry>, net::NetError>
  Make(EntrySettings aSettings, std::string aFile, Dialect aDialect);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /** Serves until a planned stop (SIGTERM or SIGINT) has ended. */
  void Run();

  struct Impl;

private:
  explicit Entry(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::entry
