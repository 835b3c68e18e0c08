#pragma once

#include <ridgeferry/base/SettingsError.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/keys/KeyCheck.h>
#include <ridgeferry/net/Address.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::entry {

/** Limits on the retries that all instances together may send; operators set
 * them. */
struct RetryBounds
{
  /** Retries allowed for each first attempt of a service's calls. */
  double m_ratio = 0.2;
  /** Retries allowed in each window in addition to that ratio. */
  double m_floor = 50;
  Duration m_window{ 10'000 };
};

/** Calls to the platform that one instance at a time makes for all. */
struct DutySettings
{
  std::string m_address; ///< IP:PORT of the platform; empty: no such calls.
  /** Length of the windows in which usage is reported; 0: no reports are due.
   */
  Duration m_reportWindow{};
  /** Time after the end of a window at which its report is late. */
  Duration m_reportLate{ 10'000 };
};

/** Settings of an instance that forwards calls; see docs/SETTINGS.md. */
struct EntrySettings
{
  std::string m_instance;
  std::string m_dataCentre;
  net::Address m_callers;
  net::Address m_readiness;
  net::Address m_metrics;
  /** Address for messages between instances (UDP) and for their row requests
   * (TCP); all instances use the same port. */
  net::Address m_peers;
  /** Addresses of some other instances. Their ports are ignored, and they may
   * be out of date. */
  std::vector<net::Address> m_seeds;
  std::string m_store; ///< IP:PORT of the store.
  /** Longest time from the signal for a planned stop until the process ends,
   * even if calls are still running. */
  Duration m_stopGrace{ 8000 };
  /** Memory that the process may use, in bytes. */
  std::size_t m_memory = std::size_t{ 256 } * 1024 * 1024;
  RetryBounds m_retries;
  /** Shortest time between the last order that one instance sends to engines
   * and the first order of the instance that succeeds it as holder of the
   * lease that permits orders. */
  Duration m_orderTurn{ 3000 };
  /** How old the configuration may be for decisions on callers' keys. */
  keys::KeyRules m_keys;
  DutySettings m_duties;
  /** Whether calls during which upstreams crash are quarantined, that is, sent
   * to no further upstream. */
  bool m_quarantines = true;
  /** Whether upstreams that have just started or recovered get as many calls as
   * their answers speak for, in place of as many as they seem to have room for.
   */
  bool m_pacesStarts = false;
  /** Whether calls to plain services are refused while their upstreams could
   * not answer them in time, those of organisations that ask for most first. */
  bool m_admitsFairly = false;
};

/** Parses settings from JSON text. `aFile` only names the file in errors.
 * Thread-safe. */
tl::expected<EntrySettings, SettingsError>
ParseEntrySettings(std::string_view aText, const std::string& aFile);

/** Reads and parses a settings file. Returns an error if the file cannot be
 * read, is not JSON, or has invalid fields. Thread-safe. */
tl::expected<EntrySettings, SettingsError>
LoadEntrySettings(const std::string& aFile);

} // namespace ridgeferry::entry
