#pragma once

#include <ridgeferry/base/SettingsError.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/Address.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::entry {

/** What the instances together may send again, as operators bound it. */
struct RetryBounds
{
  double m_ratio = 0.2; ///< Repeats for each first send of a service.
  double m_floor = 50;  ///< Repeats besides, in each window.
  Duration m_window{ 10'000 };
};

/** Settings of an instance that passes calls through; docs/SETTINGS.md. */
struct EntrySettings
{
  std::string m_instance;
  std::string m_hall;
  net::Address m_callers;
  net::Address m_readiness;
  net::Address m_metrics;
  net::Address m_peers; ///< UDP; the port is the same at all instances.
  /** Addresses of some instances, at any port; they may be out of date. */
  std::vector<net::Address> m_seeds;
  std::string m_store; ///< IP:PORT.
  /** From a planned stop's signal to the process's end by force. */
  Duration m_stopGrace{ 8000 };
  RetryBounds m_retries;
  /** Shortest time between the orders of two instances to engines. */
  Duration m_orderTurn{ 3000 };
  /** Calls under which upstreams end are given to no further ones. */
  bool m_quarantines = true;
};

/** Thread-safe. `aFile` is used in errors only. */
tl::expected<EntrySettings, SettingsError>
ParseEntrySettings(std::string_view aText, const std::string& aFile);

/** Thread-safe. Error: unreadable, no JSON, or fields that are wrong. */
tl::expected<EntrySettings, SettingsError>
LoadEntrySettings(const std::string& aFile);

} // namespace ridgeferry::entry
