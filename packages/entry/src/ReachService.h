#pragma once

#include "EntryNode.h"

#include <map>
#include <memory>
#include <ridgeferry/net/ConnectProbe.h>
#include <ridgeferry/relay/ServiceReach.h>
#include <string>
#include <string_view>

namespace ridgeferry::entry {

/** Notices which services this instance reaches no upstream of, and when it
 * does again. Not thread-safe. */
class ReachService
{
public:
  /** `aNode` must outlive this object. */
  explicit ReachService(EntryNode& aNode);

  void Start();
  bool IsUnreachable(std::string_view aService) const;
  /** See `relay::ServiceReach::AllowTrial`. */
  bool AllowTrial(std::string_view aService, bool aMayRepeat);
  /** Returns the `Fleet::ShortHash` of each unreachable service. */
  std::vector<std::uint32_t> Unreachable() const;
  /** Emitted when a service becomes unreachable or reachable. */
  sigc::signal<void()>& SignalChanged() { return m_changed; }

private:
  struct Reach
  {
    relay::ServiceReach m_state;
    /** Opens connections to the upstreams in turn while the service is
     * unreachable; null between two tries. */
    std::unique_ptr<net::ConnectProbe> m_probe;
    std::size_t m_turn = 0; ///< Selects the upstream of the next try.
  };

  void Tick();
  void Probe(const std::string& aService, Reach& aReach);
  void TakeProbe(const std::string& aService, net::Reach aResult);
  void LogChange(const std::string& aService, const Reach& aReach);
  void NoteGauge();

  EntryNode& m_node;
  /** Keyed by service. */
  std::map<std::string, Reach, std::less<>> m_services;
  net::Watch m_tick;
  sigc::signal<void()> m_changed;
};

} // namespace ridgeferry::entry
