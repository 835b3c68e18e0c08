#include "SoakUpstream.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace ridgeferry::soak {

namespace {

constexpr std::size_t kSlots = 16;
constexpr int kOk = 200;
constexpr int kOwnFailure = 500;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;

std::string
HeaderOf(const net::HttpExchange& aExchange, std::string_view aName)
{
  return std::string(
    aExchange.Headers().Find(aName).value_or(std::string_view{}));
}

int
NumberOf(std::string_view aText)
{
  int out = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), out);
  return out;
}

} // namespace

/** One request at the upstream. */
struct SoakUpstream::Job
{
  ExchangePtr m_exchange;
  std::string m_call;
  std::string m_stream;  ///< The call that began the stream.
  std::size_t m_run = 0; ///< Index in the history.
  int m_nextEvent = 1;
  bool m_open = true;
  net::Watch m_timer;

  net::HttpHeaders Headers() const
  {
    net::HttpHeaders out;
    out.Add("X-Request-Id", m_call);
    return out;
  }
};

SoakUpstream::SoakUpstream(net::EventLoop& aLoop,
                           SoakHistory& aHistory,
                           HandleBook& aHandles,
                           std::string aId,
                           UpstreamPart aPart,
                           std::string aVersion,
                           std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_history(aHistory)
  , m_handles(aHandles)
  , m_id(std::move(aId))
  , m_part(aPart)
  , m_version(std::move(aVersion))
  , m_random(aSeed)
{
  auto server = net::HttpServer::Listen(
    aLoop, { "127.0.0.1", 0 }, {}, [this](const ExchangePtr& aExchange) {
      Take(aExchange);
    });
  m_server = std::move(*server);
  m_link = FaultyLink::Make(aLoop, m_server->Bound());
}

SoakUpstream::~SoakUpstream() = default;

std::string
SoakUpstream::Row(bool aLeaving) const
{
  nlohmann::json row{ { "service",
                        m_part == UpstreamPart::Plain ? "desk" : "llm" },
                      { "address", m_link->Bound().ToString() },
                      { "zone", "hall" },
                      { "version", m_version },
                      { "slots", kSlots },
                      { "state", aLeaving ? "draining" : "ready" },
                      { "cold_remaining_ms", 0 },
                      { "seq", 0 } };
  if (m_part != UpstreamPart::Plain) {
    row["phase"] = m_part == UpstreamPart::Reader ? "prefill" : "decode";
  }
  return row.dump();
}

void
SoakUpstream::Crash()
{
  m_server.reset();
}

bool
SoakUpstream::Draw(double aShare)
{
  return std::bernoulli_distribution(aShare)(m_random);
}

Duration
SoakUpstream::DrawMs(int aLeast, int aMost)
{
  return Duration(std::uniform_int_distribution<int>(aLeast, aMost)(m_random));
}

SoakRun&
SoakUpstream::RunOf(const Job& aJob)
{
  return m_history.m_runs[aJob.m_run];
}

void
SoakUpstream::Take(const ExchangePtr& aExchange)
{
  if (aExchange->Method() == "DELETE") {
    aExchange->Reply(kOk, {}, ""); // A handle is given back.
    return;
  }
  Job* const job = m_jobs.emplace_back(std::make_unique<Job>()).get();
  job->m_exchange = aExchange;
  job->m_call = HeaderOf(*aExchange, "X-Request-Id");
  const std::string beganAs = HeaderOf(*aExchange, "Resumes");
  job->m_stream = beganAs.empty() ? job->m_call : beganAs;
  job->m_run = m_history.m_runs.size();
  SoakRun run;
  run.m_call = job->m_call;
  run.m_upstream = m_id;
  run.m_service = m_part == UpstreamPart::Plain ? "desk" : "llm";
  run.m_body = aExchange->Body();
  run.m_arrivedAt = m_loop.Now();
  run.m_readOnly = HeaderOf(*aExchange, "X-Serving-Phase") == "prefill";
  m_history.m_runs.push_back(run);
  ++m_running;
  aExchange->SignalLeft().connect([this, job] { End(*job); });
  if (HeaderOf(*aExchange, "X-Expect-Instance") != m_id) {
    Decline(*job, kMisdirected);
  } else if (m_running > kSlots) {
    Decline(*job, kUnavailable);
  } else if (run.m_readOnly) {
    Read(*job);
  } else {
    Run(*job);
  }
}

void
SoakUpstream::End(Job& aJob)
{
  if (!std::exchange(aJob.m_open, false)) {
    return;
  }
  --m_running;
  RunOf(aJob).m_endedAt = m_loop.Now();
  // Later: the job's own timer may be what runs now.
  m_loop.Defer([this, ended = &aJob] {
    std::erase_if(m_jobs,
                  [ended](const auto& aItem) { return aItem.get() == ended; });
  });
}

void
SoakUpstream::Decline(Job& aJob, int aStatus)
{
  net::HttpHeaders headers = aJob.Headers();
  headers.Add("X-Not-Executed", "1");
  aJob.m_exchange->Reply(aStatus, headers, "");
  End(aJob);
}

void
SoakUpstream::Read(Job& aJob)
{
  if (Draw(m_mood.m_runsPrompts)) {
    Run(aJob);
    return;
  }
  aJob.m_timer = m_loop.After(DrawMs(2, 25), [this, &aJob] {
    const std::string handle = m_id + "-" + std::to_string(aJob.m_run);
    m_handles[handle] = { aJob.m_call, m_version };
    const nlohmann::json body{ { "kv_handle", handle },
                               { "tokens", 1 },
                               { "version", 1 } };
    aJob.m_exchange->Reply(kOk, aJob.Headers(), body.dump());
    End(aJob);
  });
}

bool
SoakUpstream::TakeMemory(const Job& aJob)
{
  const std::string source = HeaderOf(*aJob.m_exchange, "X-Kv-Source");
  if (source.empty()) {
    return true;
  }
  const auto found = m_handles.find(source.substr(source.rfind('/') + 1));
  if (found == m_handles.end()) {
    return false;
  }
  m_history.m_runs[aJob.m_run].m_wrongMemory =
    found->second.m_call != aJob.m_call || found->second.m_version != m_version;
  m_handles.erase(found); // It serves once.
  return true;
}

void
SoakUpstream::Run(Job& aJob)
{
  if (!TakeMemory(aJob)) {
    Decline(aJob, kUnavailable);
    return;
  }
  RunOf(aJob).m_ran = true;
  if (Draw(m_mood.m_mute)) {
    return; // Until its caller leaves.
  }
  if (m_part == UpstreamPart::Plain) {
    RunPlain(aJob);
    return;
  }
  const std::string after = HeaderOf(*aJob.m_exchange, "Last-Event-Id");
  aJob.m_nextEvent = after.empty() ? 1 : NumberOf(after) + 1;
  aJob.m_timer = m_loop.After(DrawMs(2, 40), [this, &aJob] {
    if (AnswersUntruly(aJob)) {
      return;
    }
    net::HttpHeaders headers = aJob.Headers();
    headers.Add("Content-Type", "text/event-stream");
    aJob.m_exchange->StartStream(kOk, headers);
    NextEvent(aJob);
  });
}

bool
SoakUpstream::AnswersUntruly(Job& aJob)
{
  static constexpr std::array kStatuses{ kUnavailable, 429, 408, kMisdirected };
  net::HttpHeaders headers = aJob.Headers();
  int status = kUnavailable;
  if (Draw(m_mood.m_contradicts)) {
    headers.Add("X-Not-Executed", "1");
    headers.Add("X-Server-Stamp", "stamp");
  } else if (Draw(m_mood.m_unmarked)) {
    status = kStatuses.at(m_random() % kStatuses.size());
    headers.Add("X-Server-Stamp", "stamp");
  } else {
    return false;
  }
  aJob.m_exchange->Reply(status, headers, "ran");
  End(aJob);
  return true;
}

void
SoakUpstream::RunPlain(Job& aJob)
{
  aJob.m_timer = m_loop.After(DrawMs(1, 20), [this, &aJob] {
    if (AnswersUntruly(aJob)) {
      return;
    }
    if (Draw(m_mood.m_breaks)) {
      aJob.m_exchange->Abort();
    } else if (Draw(m_mood.m_fails)) {
      aJob.m_exchange->Reply(kOwnFailure, aJob.Headers(), "failed");
    } else {
      aJob.m_exchange->Reply(
        kOk, aJob.Headers(), PlainAnswer(aJob.m_call, aJob.m_exchange->Body()));
    }
    End(aJob);
  });
}

void
SoakUpstream::NextEvent(Job& aJob)
{
  if (!aJob.m_open) {
    return;
  }
  const std::string text =
    EventText(aJob.m_stream, m_version, aJob.m_nextEvent);
  if (Draw(m_mood.m_breaks)) {
    // In the middle of an event.
    aJob.m_exchange->SendChunk(text.substr(0, text.size() / 2));
    aJob.m_timer = m_loop.After(Duration{ 5 }, [this, &aJob] {
      aJob.m_exchange->Abort();
      End(aJob);
    });
    return;
  }
  if (aJob.m_nextEvent <= EventsOf(aJob.m_stream)) {
    aJob.m_exchange->SendChunk(text);
  }
  if (++aJob.m_nextEvent > EventsOf(aJob.m_stream)) {
    aJob.m_exchange->EndStream();
    End(aJob);
    return;
  }
  aJob.m_timer =
    m_loop.After(DrawMs(3, 30), [this, &aJob] { NextEvent(aJob); });
}

} // namespace ridgeferry::soak
