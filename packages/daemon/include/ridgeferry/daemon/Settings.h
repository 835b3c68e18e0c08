#pragma once

#include <ridgeferry/authority/Lease.h>
#include <ridgeferry/base/SettingsError.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/observe/Log.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::daemon {

struct ListenSettings
{
  net::Address m_callers;
  net::Address m_admin;
  net::Address m_peers; ///< TCP and UDP.
};

struct PlatformSettings
{
  std::string m_table;
  std::string m_objects;
  std::string m_instances;
};

struct AdminToken
{
  std::string m_name; ///< The author in the audit trail.
  std::string m_token;
};

struct StopSettings
{
  /** Longest time that a planned stop waits for running calls. */
  Duration m_longest{ 3'600'000 };
  /** How long it still answers new calls with "not run" before it closes. */
  Duration m_linger{ 1000 };
};

struct PollSettings
{
  Duration m_list{ 1000 };   ///< The platform's list.
  Duration m_status{ 1000 }; ///< Each engine's status.
};

/** All settings of a process; docs/SETTINGS.md tells each. */
struct Settings
{
  std::string m_instance;
  std::string m_dataCentre;
  ListenSettings m_listen;
  PlatformSettings m_platform;
  std::vector<AdminToken> m_adminTokens;
  observe::LogOptions m_log;
  StopSettings m_stop;
  PollSettings m_poll;
  authority::LeaseTimes m_lease;
  std::size_t m_maxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
};

/** Checks settings given as text. `aFile` is used in errors only. */
tl::expected<Settings, SettingsError>
ParseSettings(std::string_view aText, const std::string& aFile);

tl::expected<Settings, SettingsError>
LoadSettings(const std::string& aFile);

} // namespace ridgeferry::daemon
