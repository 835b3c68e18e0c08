#include "SoakCallers.h"

#include <array>

namespace ridgeferry::soak {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;
constexpr Duration kPlainDeadline{ 1000 };
constexpr Duration kStreamDeadline{ 3000 };
/** What a caller waits beyond its deadline, so that late answers are seen. */
constexpr Duration kPatience{ 2500 };
constexpr Duration kProbeEvery{ 150 };
constexpr Duration kLeaveWithin{ 120 };
constexpr Duration kComeBackAfter{ 150 };
constexpr double kLeaves = 0.05;
constexpr double kComesBack = 0.5;
constexpr double kFreshConnection = 0.3;
constexpr int kSharedPrompts = 12;

struct KindTerms
{
  CallKind m_kind;
  const char* m_path;
  Duration m_deadline;
  double m_weight;
};

constexpr std::array kKinds{
  KindTerms{ CallKind::Safe, "/safe/x", kPlainDeadline, 2 },
  KindTerms{ CallKind::Once, "/once/x", kPlainDeadline, 3 },
  KindTerms{ CallKind::Resumable, "/talk/x", kStreamDeadline, 3 },
  KindTerms{ CallKind::Stream, "/tell/x", kStreamDeadline, 2 },
};

const KindTerms&
TermsOf(CallKind aKind)
{
  for (const KindTerms& terms : kKinds) {
    if (terms.m_kind == aKind) {
      return terms;
    }
  }
  return kKinds[0];
}

CallEnd
EndOf(net::HttpEnd aEnd)
{
  switch (aEnd) {
    case net::HttpEnd::Complete:
      return CallEnd::Whole;
    case net::HttpEnd::NotSent:
      return CallEnd::NotSent;
    case net::HttpEnd::Closed: // Its upstreams frame all answers.
    case net::HttpEnd::Broken:
      break;
  }
  return CallEnd::Broken;
}

} // namespace

SoakCallers::SoakCallers(net::EventLoop& aLoop,
                         SoakHistory& aHistory,
                         SoakInstances& aInstances,
                         std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_history(aHistory)
  , m_instances(aInstances)
  , m_client(aLoop)
  , m_random(aSeed)
{
}

bool
SoakCallers::Draw(double aShare)
{
  return std::bernoulli_distribution(aShare)(m_random);
}

CallKind
SoakCallers::DrawKind()
{
  std::array<double, kKinds.size()> weights{};
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    weights.at(i) = kKinds.at(i).m_weight;
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return kKinds.at(draw(m_random)).m_kind;
}

void
SoakCallers::SetRate(int aPerSecond)
{
  constexpr int kMsPerSecond = 1000;
  if (aPerSecond == 0) {
    m_traffic = {};
    m_probes = {};
    return;
  }
  m_traffic =
    m_loop.Every(Duration{ kMsPerSecond / aPerSecond }, [this] { SendAny(); });
  m_probes = m_loop.Every(kProbeEvery, [this] { Probe(); });
}

void
SoakCallers::SendAny()
{
  const auto instances = m_instances.InBalance();
  if (instances.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, instances.size() - 1);
  const CallKind kind = DrawKind();
  Send(
    kind,
    *instances[draw(m_random)],
    TermsOf(kind).m_path,
    true,
    [this](const std::string& aId, const SoakCall& aCall) {
      if (aCall.m_kind == CallKind::Resumable &&
          aCall.m_end == CallEnd::Broken && CountEvents(aCall.m_answer) > 0) {
        TakeUp(aId, aCall);
      } else if (aCall.m_status == kUnavailable && Draw(kComesBack)) {
        m_leaves.push_back(m_loop.After(kComeBackAfter, [this] { SendAny(); }));
      }
    });
}

void
SoakCallers::TakeUp(const std::string& aId, const SoakCall& aBroken)
{
  const auto instances = m_instances.InBalance();
  if (instances.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, instances.size() - 1);
  const TakenUp stream{ aBroken.m_stream.empty() ? aId : aBroken.m_stream,
                        aBroken.m_afterEvent + CountEvents(aBroken.m_answer) };
  Send(
    aBroken.m_kind,
    *instances[draw(m_random)],
    TermsOf(aBroken.m_kind).m_path,
    true,
    [](const std::string&, const SoakCall&) {},
    stream);
}

void
SoakCallers::SendLast(int aCount)
{
  if (aCount == 0) {
    return;
  }
  const auto instances = m_instances.InBalance();
  const auto at = static_cast<std::size_t>(aCount);
  if (instances.empty()) {
    m_history.m_lastSent += aCount;
    return;
  }
  const KindTerms& terms = kKinds.at(at % kKinds.size());
  ++m_history.m_lastSent;
  Send(terms.m_kind,
       *instances[at % instances.size()],
       terms.m_path,
       false,
       [this, aCount](const std::string&, const SoakCall& aCall) {
         m_history.m_lastServed += aCall.m_status == kOk ? 1 : 0;
         SendLast(aCount - 1);
       });
}

void
SoakCallers::Probe()
{
  if (m_version == 0) {
    return;
  }
  for (const auto& instance : m_instances.All()) {
    // One at a time: two on their way could overtake each other.
    if (!instance->m_running || instance->m_stopping ||
        !m_probing.insert(instance->m_name).second) {
      continue;
    }
    ConfigProbe probe;
    probe.m_instance = instance->m_name;
    probe.m_incarnation = instance->m_incarnation;
    probe.m_version = m_version;
    probe.m_sentAt = m_loop.Now();
    Send(CallKind::Safe,
         *instance,
         "/version-" + std::to_string(m_version) + "/x",
         false,
         [this, probe, asked = instance.get()](const std::string&,
                                               const SoakCall& aCall) mutable {
           m_probing.erase(probe.m_instance);
           probe.m_inForce = aCall.m_status != kNotFound;
           probe.m_answeredAt = aCall.m_endedAt;
           // Of a refusal it cannot be told; of another life's answer neither.
           if (aCall.m_end == CallEnd::Whole &&
               aCall.m_status != kUnavailable &&
               asked->m_incarnation == probe.m_incarnation) {
             m_history.m_probes.push_back(probe);
           }
         });
  }
}

net::HttpRequest
SoakCallers::RequestOf(const std::string& aId,
                       const SoakCall& aCall,
                       const std::string& aAddress,
                       const std::string& aPath)
{
  net::HttpRequest out;
  out.m_method = "POST";
  out.m_address = aAddress;
  out.m_target = aPath;
  out.m_body = aCall.m_body;
  out.m_timeout = aCall.m_deadline + kPatience;
  out.m_fresh = Draw(kFreshConnection);
  out.m_headers.Add("Host", "soak.example");
  out.m_headers.Add("X-Request-Id", aId);
  out.m_headers.Add("X-Deadline-Ms", std::to_string(aCall.m_deadline.count()));
  const bool generates =
    aCall.m_kind == CallKind::Resumable || aCall.m_kind == CallKind::Stream;
  if (generates) {
    const std::string shared =
      std::to_string(m_lastId % kSharedPrompts) + "f:900";
    if (!aCall.m_stream.empty()) {
      out.m_headers.Add("Resumes", aCall.m_stream);
      out.m_headers.Add("Last-Event-Id", std::to_string(aCall.m_afterEvent));
    }
    out.m_headers.Add("X-Model", "m");
    out.m_headers.Add("X-Token-Count", "1500,20");
    out.m_headers.Add("X-Prompt-Prefix", "aa:300," + shared + ",bb:300");
  }
  return out;
}

void
SoakCallers::Send(CallKind aKind,
                  SoakInstances::Instance& aInstance,
                  const std::string& aPath,
                  bool aMayLeave,
                  Done aDone,
                  const TakenUp& aTakenUp)
{
  const std::string id = "c-" + std::to_string(++m_lastId);
  SoakCall call;
  call.m_kind = aKind;
  call.m_instance = aInstance.m_name;
  call.m_sentAt = m_loop.Now();
  call.m_deadline = TermsOf(aKind).m_deadline;
  call.m_body = "body of " + id;
  call.m_stream = aTakenUp.m_stream;
  call.m_afterEvent = aTakenUp.m_afterEvent;
  const net::HttpRequest request =
    RequestOf(id, call, aInstance.m_callers, aPath);
  m_history.m_calls[id] = call;
  ++m_open;
  net::HttpCallbacks callbacks;
  callbacks.m_done =
    [this, id, done = std::move(aDone)](const net::HttpResponse& aResponse) {
      TakeEnd(id, aResponse, done);
    };
  const net::HttpCallId http = m_client.Send(request, std::move(callbacks));
  if (aMayLeave && Draw(kLeaves)) {
    LeaveLater(id, http);
  }
}

void
SoakCallers::LeaveLater(const std::string& aId, net::HttpCallId aHttp)
{
  std::uniform_int_distribution<Duration::rep> within(1, kLeaveWithin.count());
  m_leaves.push_back(
    m_loop.After(Duration(within(m_random)), [this, aId, aHttp] {
      SoakCall& call = m_history.m_calls.at(aId);
      if (call.m_end != CallEnd::Open) {
        return;
      }
      m_client.Cancel(aHttp);
      call.m_end = CallEnd::Left;
      call.m_endedAt = m_loop.Now();
      --m_open;
    }));
}

void
SoakCallers::TakeEnd(const std::string& aId,
                     const net::HttpResponse& aResponse,
                     const Done& aDone)
{
  SoakCall& call = m_history.m_calls.at(aId);
  call.m_end = EndOf(aResponse.m_end);
  call.m_endedAt = m_loop.Now();
  call.m_status = aResponse.m_head.m_status;
  call.m_answer = aResponse.m_body;
  call.m_hasRetryAfter =
    aResponse.m_head.m_headers.Find("Retry-After").has_value();
  --m_open;
  aDone(aId, call);
}

} // namespace ridgeferry::soak
