#pragma once

#include "EntryNode.h"
#include "Peers.h"

#include <optional>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <string_view>

namespace ridgeferry::entry {

/** What shows that the upstream itself answered a request that was meant for
 * it.
 */
enum class AnswerProof : std::uint8_t
{
  ByName,    ///< The request named it: another one answers that as misdirected.
  ByAddress, ///< Only the address, which may be another upstream's by now.
};

/** Where an answer with a statement comes from. */
struct StatementSource
{
  /** The upstream that the request was meant for. */
  UpstreamIncarnation m_upstream;
  AnswerProof m_proof = AnswerProof::ByName;
  /** What the request is known by in the log: the id of the call, or what it
   * asks for. */
  std::string_view m_id;
};

/** Takes what upstreams say about themselves in the heads of their answers, on
 * whichever way they come. Not thread-safe. */
class StatementService
{
public:
  /** The arguments must outlive this object. */
  StatementService(EntryNode& aNode, Peers& aPeers);

  /** Must be called with the head of each answer of an upstream. */
  void Take(const StatementSource& aSource, const net::HttpHead& aHead);

private:
  /** Returns the incarnation that a statement is about; std::nullopt if that is
   * not certain. */
  std::optional<UpstreamIncarnation> SpeakerOf(
    const StatementSource& aSource,
    const relay::UpstreamStatement& aStatement) const;
  void NoteBackOff(const UpstreamIncarnation& aUpstream,
                   Duration aFor,
                   std::string_view aId);
  void NoteLeaving(const UpstreamIncarnation& aUpstream, std::string_view aId);
  void NoteLimit(const std::string& aUpstream,
                 std::optional<double> aPerSecond,
                 std::string_view aId);

  EntryNode& m_node;
  Peers& m_peers;
};

} // namespace ridgeferry::entry
