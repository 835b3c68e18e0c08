#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <ridgeferry/daemon/Settings.h>
#include <ridgeferry/native/GuardedTable.h>
#include <ridgeferry/native/HttpPlatform.h>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/observe/Log.h>
#include <ridgeferry/observe/Metrics.h>
#include <string>

namespace ridgeferry::daemon {

/** What every service of a process needs; owned by `Instance`. */
struct Node
{
  Settings m_settings;
  std::uint64_t m_incarnation = 0; ///< Wall milliseconds of the start.
  std::string m_process;           ///< `INSTANCE@INCARNATION`.
  std::unique_ptr<net::EventLoop> m_loop;
  std::unique_ptr<observe::Log> m_log;
  observe::Metrics m_metrics;
  std::unique_ptr<net::HttpClient> m_http;
  std::unique_ptr<native::GuardedTable> m_table;
  std::unique_ptr<native::ObjectStore> m_objects;
  std::unique_ptr<native::InstanceList> m_list;
  std::mt19937_64 m_random;
  std::uint64_t m_lastId = 0;

  Instant Now() const { return m_loop->Now(); }
  /** Unique for ever: process id and a counter. */
  std::string NewId() { return m_process + "-" + std::to_string(++m_lastId); }
};

} // namespace ridgeferry::daemon
