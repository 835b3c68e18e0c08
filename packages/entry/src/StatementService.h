#pragma once

#include "EntryNode.h"

#include <ridgeferry/base/UpstreamIncarnation.h>
#include <string_view>

namespace ridgeferry::entry {

/** What an upstream answered. */
enum class AnsweredRequest : std::uint8_t
{
  Call,    ///< A caller's call, or the prefill of its prompt.
  Control, ///< A request of this instance's own.
};

/** Where an answer with a statement comes from. */
struct StatementSource
{
  /** The upstream that the request was meant for. */
  UpstreamIncarnation m_upstream;
  AnsweredRequest m_request = AnsweredRequest::Call;
  /** What the request is known by in the log: the id of the call. */
  std::string_view m_id;
};

/** Takes what upstreams say about themselves in the heads of their answers, on
 * whichever way they come. Not thread-safe. */
class StatementService
{
public:
  /** The argument must outlive this object. */
  explicit StatementService(EntryNode& aNode);

  /** Must be called with the head of each answer of an upstream. */
  void Take(const StatementSource& aSource, const net::HttpHead& aHead);

private:
  void NoteLimit(const StatementSource& aSource,
                 const relay::UpstreamStatement& aStatement);

  EntryNode& m_node;
};

} // namespace ridgeferry::entry
