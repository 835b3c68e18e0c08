#include "FleetFixture.h"

namespace ridgeferry::relay {
namespace {

PlaceRequest
ShortRequest()
{
  PlaceRequest out;
  out.m_service = "llm";
  out.m_dataCentre = "hall";
  out.m_prompt = Prompt{ 0, 0, 200, 80 };
  out.m_admissionBound = Duration{ 60 };
  return out;
}

// A load peak taught that first tokens come six times later than estimated. All
// short prompts were refused by that error, so none was measured any more, and
// an idle fleet went on refusing them.
TEST(EstimateErrorTest, FadesWhileItHasAllPromptsRefused)
{
  Fleet fleet;
  fleet.Put(MakeMember("i-1", "llm", UpstreamRole::Decode));
  const PlaceRequest request = ShortRequest();
  ASSERT_TRUE(std::holds_alternative<Place>(fleet.FindPlace(request, kNow)));
  for (int i = 0; i < 20; ++i) {
    fleet.NoteFirstToken(
      "llm", *request.m_prompt, 20, Duration{ 200 }, kNow + Duration{ i * 50 });
  }
  const Instant end = kNow + Duration{ 1000 };
  ASSERT_TRUE(
    std::holds_alternative<PlaceFault>(fleet.FindPlace(request, end)));
  EXPECT_TRUE(std::holds_alternative<Place>(
    fleet.FindPlace(request, end + Duration{ 5000 })));
}

} // namespace
} // namespace ridgeferry::relay
