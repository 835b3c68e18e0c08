// What a caller is led to believe of the end of a stream, wherever the stream
// is cut and however its pieces arrive.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/RelayFlow.h>

namespace ridgeferry::relay {
namespace {

constexpr RelayTraits kStream{ Repeat::Never, true, false, 1 };

/** What a caller has seen of a call. */
struct Seen
{
  std::string m_bytes;
  bool m_unframed = false;
  bool m_ended = false;
  bool m_aborted = false;
};

void
Take(Seen& aSeen, const std::vector<RelayAction>& aActions)
{
  for (const RelayAction& action : aActions) {
    if (const auto* head = std::get_if<ForwardHead>(&action)) {
      aSeen.m_unframed = head->m_unframed;
    } else if (const auto* bytes = std::get_if<ForwardBytes>(&action)) {
      aSeen.m_bytes += bytes->m_bytes;
    }
    aSeen.m_ended |= std::holds_alternative<ForwardEnd>(action);
    aSeen.m_aborted |= std::holds_alternative<AbortConnection>(action);
  }
}

std::string
WholeStream(int aEvents)
{
  std::string out;
  for (int i = 1; i <= aEvents; ++i) {
    out += "id: " + std::to_string(i) + "\ndata: word\n\n";
  }
  return out;
}

/** Plays a stream of which only the first bytes arrive, in random pieces. */
Seen
Play(const std::string& aArrives, bool aUnframed, const RelayEvent& aEnd)
{
  RelayFlow flow(kStream);
  Seen seen;
  Take(seen, flow.Handle(CallBegan{}));
  Take(seen, flow.Handle(PlaceFound{ "u", "" }));
  Take(seen, flow.Handle(HeadArrived{ 1, 200, false, aUnframed }));
  std::string_view rest = aArrives;
  while (!rest.empty()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
    Take(seen,
         flow.Handle(BytesArrived{ 1, std::string(rest.substr(0, size)) }));
    rest.remove_prefix(size);
  }
  Take(seen, flow.Handle(aEnd));
  return seen;
}

// Guards against a stream that was broken off and looks whole.
RC_GTEST_PROP(RelayFlowEnds, AStreamCutAnywhereIsNeverProvenWhole, ())
{
  const std::string whole = WholeStream(*rc::gen::inRange(1, 6));
  const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size());
  const bool unframed = *rc::gen::arbitrary<bool>();
  const RelayEvent end = unframed ? RelayEvent(ConnectionClosed{ 1 })
                                  : RelayEvent(AttemptBroke{ 1 });
  const Seen seen = Play(whole.substr(0, cut), unframed, end);
  RC_ASSERT(seen.m_ended != seen.m_aborted);
  RC_ASSERT(whole.starts_with(seen.m_bytes));
  // Between two events nothing tells a cut from the end: nothing is claimed.
  const bool isBetween = cut > 0 && whole.substr(0, cut).ends_with("\n\n");
  RC_ASSERT(seen.m_ended == (unframed && isBetween));
  RC_ASSERT(!seen.m_ended || seen.m_unframed);
}

RC_GTEST_PROP(RelayFlowEnds, AWholeStreamArrivesWhole, ())
{
  const std::string whole = WholeStream(*rc::gen::inRange(1, 6));
  const bool unframed = *rc::gen::arbitrary<bool>();
  const RelayEvent end =
    unframed ? RelayEvent(ConnectionClosed{ 1 }) : RelayEvent(AnswerEnded{ 1 });
  const Seen seen = Play(whole, unframed, end);
  RC_ASSERT(seen.m_ended && !seen.m_aborted);
  RC_ASSERT(seen.m_bytes == whole);
  RC_ASSERT(seen.m_unframed == unframed);
}

} // namespace
} // namespace ridgeferry::relay
