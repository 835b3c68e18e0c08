#pragma once

#include <cstdint>
#include <ridgeferry/relay/Member.h>

namespace ridgeferry::relay {

/** What a request asks of an upstream. */
enum class RequestPurpose : std::uint8_t
{
  Work,   ///< Something new: a call, a prefill, an order.
  Upkeep, ///< To tell its state, or to free what this instance holds there.
};

/**
 * An upstream that a request may be sent to at this moment. Only
 * `Fleet::TargetFor` makes one, so that each way to an upstream passes the same
 * check at the send: an upstream may have spoken between the choice and the
 * send. Valid until the list of members changes; not to be kept.
 */
class SendTarget
{
public:
  const Member* operator->() const { return m_member; }
  const Member& operator*() const { return *m_member; }

private:
  friend class Fleet;
  explicit SendTarget(const Member& aMember)
    : m_member(&aMember)
  {
  }

  const Member* m_member;
};

} // namespace ridgeferry::relay
