#pragma once

#include <memory>
#include <random>
#include <ridgeferry/admission/FairAdmission.h>
#include <ridgeferry/entry/Dialect.h>
#include <ridgeferry/entry/EntrySettings.h>
#include <ridgeferry/net/BodyBudget.h>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/observe/Log.h>
#include <ridgeferry/observe/Metrics.h>
#include <ridgeferry/relay/BackPressure.h>
#include <ridgeferry/relay/Fleet.h>
#include <ridgeferry/relay/NotRunPromises.h>
#include <ridgeferry/relay/PlannedStop.h>
#include <ridgeferry/relay/Routes.h>

namespace ridgeferry::entry {

/** State that all components of one process share. */
struct EntryNode
{
  EntrySettings m_settings;
  Dialect m_dialect;
  std::unique_ptr<net::EventLoop> m_loop;
  /** What the bodies of all requests hold together, of callers and of other
   * instances. */
  std::unique_ptr<net::BodyBudget> m_bodies;
  std::unique_ptr<net::HttpClient> m_http;
  std::unique_ptr<observe::Log> m_log;
  observe::Metrics m_metrics;
  std::mt19937_64 m_random;
  relay::Fleet m_fleet;
  admission::FairAdmission m_admission;
  /** Number of live instances, including this one; `Peers` updates it. */
  std::size_t m_instances = 1;
  std::size_t m_runningCalls = 0; ///< Calls under way; `Relay` updates it.
  /** What callers have not read yet of answers in pieces. */
  relay::UnreadBytes m_unread;
  relay::NotRunPromises m_promises;
  relay::PlannedStop m_stop;
  /** The routes in force; null until the first configuration has been read. */
  std::shared_ptr<const relay::RouteTable> m_routes;

  Instant Now() const { return m_loop->Now(); }
};

} // namespace ridgeferry::entry
