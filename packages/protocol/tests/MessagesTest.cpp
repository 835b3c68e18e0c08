#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/protocol/Messages.h>

namespace ridgeferry::protocol {
namespace {

membership::Heartbeat
AnyHeartbeat()
{
  membership::Heartbeat out;
  out.m_instance = *rc::gen::arbitrary<std::string>();
  out.m_incarnation = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62U);
  out.m_dataCentre = *rc::gen::arbitrary<std::string>();
  out.m_peerAddress = *rc::gen::arbitrary<std::string>();
  out.m_ready = *rc::gen::arbitrary<bool>();
  out.m_leaving = *rc::gen::arbitrary<bool>();
  out.m_revision = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62U);
  for (auto& id : *rc::gen::arbitrary<std::vector<std::string>>()) {
    UpstreamIncarnation upstream{ std::move(id) };
    if (*rc::gen::arbitrary<bool>()) {
      upstream.m_born = *rc::gen::inRange<std::int64_t>(0, 1LL << 62U);
    }
    out.m_leavingUpstreams.push_back(std::move(upstream));
  }
  for (std::uint32_t engine :
       *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
    out.m_engines.push_back({ engine,
                              engine ^ 7U,
                              *rc::gen::arbitrary<std::int32_t>(),
                              *rc::gen::arbitrary<std::int32_t>() });
  }
  for (std::uint32_t engine :
       *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
    out.m_roles.push_back(
      { engine, static_cast<membership::EngineRole>(engine % 3) });
  }
  for (std::uint32_t part : *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
    out.m_prefills.push_back({ part, part ^ 5U });
  }
  for (std::uint32_t life : *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
    out.m_crashes.push_back(
      { life * 3ULL,
        life * 5ULL,
        life,
        life % 2 == 0,
        life % 3 == 0 ? std::optional(life % 100) : std::nullopt,
        *rc::gen::inRange(0, 1 << 30) });
  }
  for (std::uint32_t upstream :
       *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
    membership::LimitDigest digest;
    digest.m_upstream = upstream;
    if (*rc::gen::arbitrary<bool>()) {
      digest.m_millisPerSecond = *rc::gen::inRange(0, 1 << 30);
    }
    digest.m_ageMs = *rc::gen::inRange(0, 1 << 30);
    out.m_limits.push_back(digest);
    out.m_demands.push_back({ upstream ^ 3U, *rc::gen::inRange(0, 1 << 30) });
  }
  for (std::uint32_t upstream :
       *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
    out.m_paces.push_back({ upstream,
                            *rc::gen::arbitrary<std::uint32_t>(),
                            *rc::gen::arbitrary<std::int32_t>(),
                            *rc::gen::inRange(0, 1 << 30) });
  }
  if (*rc::gen::arbitrary<bool>()) {
    out.m_quarantineFingerprint = *rc::gen::arbitrary<std::uint64_t>();
  }
  out.m_unreachableServices = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
  out.m_runningCalls = *rc::gen::inRange(0, 1 << 30);
  out.m_tellsDataCentre = *rc::gen::arbitrary<bool>();
  out.m_disaggregatedServices =
    *rc::gen::arbitrary<std::vector<std::uint32_t>>();
  if (*rc::gen::arbitrary<bool>()) {
    const auto number = [] {
      return *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62U);
    };
    out.m_store = { { number(), number() },
                    { number(), number() },
                    *rc::gen::arbitrary<bool>(),
                    *rc::gen::arbitrary<bool>(),
                    std::nullopt };
    if (*rc::gen::arbitrary<bool>()) {
      out.m_store->m_readsFor = Duration{ *rc::gen::inRange(0, 1 << 30) };
    }
    if (*rc::gen::arbitrary<bool>()) {
      out.m_store->m_wallOffset = { number(),
                                    Duration{ *rc::gen::inRange(0, 1 << 30) } };
    }
    if (*rc::gen::arbitrary<bool>()) {
      const StorePosition config = out.m_store->m_config;
      out.m_store->m_configProof = {
        config,
        { config.m_generation, Duration{ *rc::gen::inRange(0, 1 << 30) } }
      };
    }
  }
  return out;
}

TEST(MessagesTest, HeartbeatSurvivesItsEncoding)
{
  EXPECT_TRUE(rc::check("heartbeat", [] {
    const membership::Heartbeat heartbeat = AnyHeartbeat();
    const auto decoded = DecodeHeartbeat(Encode(heartbeat));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == heartbeat);
  }));
}

streams::OriginMessage
AnyOriginMessage()
{
  const auto text = [] {
    return *rc::gen::element<std::string>("", "s", "llm", "v1", "v1.1");
  };
  const auto key = [] {
    return streams::StreamKey{ *rc::gen::arbitrary<std::uint64_t>() };
  };
  const auto time = [] { return Duration{ *rc::gen::inRange(0, 1 << 30) }; };
  streams::OriginMessage out;
  out.m_from = "10.0.0.1:7662";
  for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
    out.m_records.push_back({ key(), { text(), text() }, time() });
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    out.m_questions.push_back({ key(), text() });
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    streams::NoRecord item{ key(), {} };
    if (*rc::gen::arbitrary<bool>()) {
      item.m_sole = { text(), time() };
    }
    out.m_noRecords.push_back(item);
  }
  return out;
}

TEST(MessagesTest, OriginMessageSurvivesItsEncoding)
{
  EXPECT_TRUE(rc::check("origins of streams", [] {
    const streams::OriginMessage message = AnyOriginMessage();
    const auto decoded = DecodeOriginMessage(Encode(message));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == message);
  }));
}

std::vector<relay::PassedOnCallId>
AnyRenewal()
{
  return *rc::gen::arbitrary<std::vector<relay::PassedOnCallId>>();
}

TEST(MessagesTest, RenewalSurvivesItsEncoding)
{
  EXPECT_TRUE(rc::check("renewals of leases", [] {
    const std::vector<relay::PassedOnCallId> calls = AnyRenewal();
    const auto decoded = DecodeRenewal(EncodeRenewal(calls));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == calls);
  }));
}

// All kinds come as datagrams at one address. Messages about origins are tried
// before renewals, whose only field they have as well.
TEST(MessagesTest, DatagramsAreToldApart)
{
  EXPECT_TRUE(rc::check("told apart", [] {
    RC_ASSERT(!DecodeHeartbeat(Encode(AnyOriginMessage())).has_value());
    RC_ASSERT(!DecodeHeartbeat(EncodeRenewal(AnyRenewal())).has_value());
    RC_ASSERT(!DecodeOriginMessage(Encode(AnyHeartbeat())).has_value());
    RC_ASSERT(!DecodeOriginMessage(EncodeRenewal(AnyRenewal())).has_value());
    RC_ASSERT(!DecodeRenewal(Encode(AnyHeartbeat())).has_value());
  }));
}

TEST(MessagesTest, CutOrForeignBytesAreAnError)
{
  EXPECT_TRUE(rc::check("cut origins of streams", [] {
    std::string bytes = Encode(AnyOriginMessage());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    RC_ASSERT(!DecodeOriginMessage(bytes).has_value());
  }));

  EXPECT_TRUE(rc::check("cut heartbeat", [] {
    std::string bytes = Encode(AnyHeartbeat());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    RC_ASSERT(!DecodeHeartbeat(bytes).has_value());
  }));
  EXPECT_TRUE(rc::check("any bytes never crash", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    (void)DecodeHeartbeat(bytes);
    (void)DecodeOriginMessage(bytes);
    (void)DecodeRenewal(bytes);
    (void)DecodeChangesRequest(bytes);
    (void)DecodeChangesReply(bytes);
    (void)DecodeRowsRequest(bytes);
    (void)DecodeRowsReply(bytes);
  }));
}

TEST(MessagesTest, RowsSurviveTheirEncoding)
{
  const RowsRequest request{ "upstreams", { 3, 1ULL << 62U } };
  const auto asked = DecodeRowsRequest(Encode(request));
  ASSERT_TRUE(asked.has_value());
  EXPECT_EQ(*asked, request);
  const RowsReply reply{ { { 2, 7 },
                           true,
                           { { "a", std::string("\0\xff", 2), false, 6 },
                             { "b", {}, true, 7 } } },
                         freshness::StoreMoment{ 2, Duration{ 1234 } } };
  const auto answered = DecodeRowsReply(Encode(reply));
  ASSERT_TRUE(answered.has_value());
  EXPECT_EQ(*answered, reply);
  const RowsReply withoutClock{ reply.m_slice, std::nullopt };
  EXPECT_EQ(DecodeRowsReply(Encode(withoutClock)), withoutClock);
}

struct ReplyCase
{
  const char* m_name;
  ChangesReply m_reply;
};

class ChangesReplyTest : public ::testing::TestWithParam<ReplyCase>
{};

TEST_P(ChangesReplyTest, SurvivesItsEncoding)
{
  const auto decoded = DecodeChangesReply(Encode(GetParam().m_reply));
  ASSERT_TRUE(decoded.has_value()) << decoded.error().m_cause;
  EXPECT_EQ(*decoded, GetParam().m_reply);
}

INSTANTIATE_TEST_SUITE_P(
  Replies,
  ChangesReplyTest,
  ::testing::Values(
    ReplyCase{ "Empty", { 0, {}, std::nullopt } },
    ReplyCase{ "EmptySnapshot",
               { 3, {}, std::map<std::string, std::string, std::less<>>{} } },
    ReplyCase{ "Snapshot",
               { 3,
                 {},
                 std::map<std::string, std::string, std::less<>>{
                   { "team/a", "{}" } } } },
    ReplyCase{ "Changes",
               { 2,
                 { { 2,
                     "id",
                     "who",
                     "why",
                     5,
                     { declared::PutObject{ "team/a", "{}" },
                       declared::DeleteObject{ "team/b" } } } },
                 std::nullopt } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::protocol
