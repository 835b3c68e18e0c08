#pragma once

#include "StandIn.h"

#include <list>
#include <memory>
#include <ridgeferry/net/EventLoop.h>
#include <string>
#include <vector>

namespace ridgeferry::soak {

/** An upstream whose streams tell in each event which version of its software
 * wrote it. Not thread-safe. */
class VersionedWorker
{
public:
  /** Events of a whole stream. */
  static constexpr int kEvents = 60;

  VersionedWorker(net::EventLoop& aLoop, std::string aId, std::string aVersion);

  const std::string& Id() const { return m_worker.Id(); }
  /** Its row in the table of workers, for service `s`. */
  std::string Row() const;
  /** Breaks all streams that run here. */
  void BreakAll();

  /** An event as its caller has it. */
  struct Event
  {
    std::string m_head; ///< What stands before its data.
    std::string m_version;
  };
  /** Takes the whole events off the beginning of a text. */
  static std::vector<Event> TakeEvents(std::string& aText);

private:
  struct Run
  {
    std::shared_ptr<net::HttpExchange> m_call;
    int m_next = 1;
    net::Watch m_timer;
  };

  void Stream(const std::shared_ptr<net::HttpExchange>& aCall);
  void Write(Run& aRun);

  net::EventLoop& m_loop;
  std::string m_version;
  std::list<std::shared_ptr<Run>> m_runs;
  adapter::StandInWorker m_worker;
};

} // namespace ridgeferry::soak
