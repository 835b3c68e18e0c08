#pragma once

#include <gtest/gtest.h>
#include <ridgeferry/relay/Fleet.h>
#include <string>
#include <string_view>

namespace ridgeferry::relay {

inline constexpr Instant kNow{ Duration{ 10'000 } };
inline constexpr Duration kGrace{ 2000 };

inline Member
MakeMember(std::string aId,
           std::string aService,
           UpstreamRole aPart = UpstreamRole::Plain)
{
  Member out;
  out.m_id = std::move(aId);
  out.m_service = std::move(aService);
  out.m_dataCentre = "hall";
  out.m_address = "10.0.0.1:80";
  out.m_role = aPart;
  return out;
}

inline PlaceRequest
PlainRequest()
{
  PlaceRequest out;
  out.m_service = "desk";
  out.m_dataCentre = "hall";
  return out;
}

inline PlaceRequest
LongRequest(std::uint64_t aChain)
{
  PlaceRequest out;
  out.m_service = "llm";
  out.m_dataCentre = "hall";
  out.m_prompt = Prompt{ aChain, 6000, 3000, 2 };
  return out;
}

inline Place
MustFind(const Fleet& aFleet, const PlaceRequest& aRequest)
{
  const PlaceResult result = aFleet.FindPlace(aRequest, kNow);
  const auto* place = std::get_if<Place>(&result);
  EXPECT_NE(place, nullptr);
  return place == nullptr ? Place{} : *place;
}

inline void
Fail(Fleet& aFleet, std::string_view aId, int aTimes)
{
  for (int i = 0; i < aTimes; ++i) {
    aFleet.NoteSent(aId, 0, kNow);
    aFleet.NoteEnded(aId, 0, AttemptEnd::Failed, Duration{ 5 }, kNow);
  }
}

class FleetTest : public ::testing::Test
{
protected:
  FleetTest()
  {
    m_fleet.Put(MakeMember("a", "desk"));
    m_fleet.Put(MakeMember("b", "desk"));
    for (int i = 0; i < 8; ++i) {
      m_fleet.Put(
        MakeMember("g" + std::to_string(i), "llm", UpstreamRole::Decode));
    }
    for (int i = 0; i < 4; ++i) {
      m_fleet.Put(
        MakeMember("p" + std::to_string(i), "llm", UpstreamRole::Prefill));
    }
  }

  Fleet m_fleet;
};

} // namespace ridgeferry::relay
