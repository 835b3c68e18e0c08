// A stand-in for a plain service: records every call that it ran.

#include "FakeProgram.h"
#include "History.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace ridgeferry::fakes {

namespace {

constexpr int kOk = 200;

class FakeService
{
public:
  FakeService(net::EventLoop& aLoop, const Arguments& aArguments)
    : m_loop(aLoop)
    , m_history(aArguments.Text("history"))
    , m_id(aArguments.Text("id", "service"))
    , m_delay(aArguments.Number("delay-ms", 0))
  {
  }

  void OnExchange(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    if (aExchange->Path() == "/fake") {
      OnSwitch(aExchange);
      return;
    }
    if (m_refuse) {
      ReplyNotRun(*aExchange);
      return;
    }
    if (m_dropBeforeRun > 0) {
      --m_dropBeforeRun;
      aExchange->Abort();
      return;
    }
    Run(aExchange);
  }

private:
  void Run(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const std::string key(
      aExchange->Headers().Find("Idempotency-Key").value_or(""));
    m_history.Write(
      { { "what", "ran" },
        { "service", m_id },
        { "method", aExchange->Method() },
        { "path", aExchange->Path() },
        { "key", key },
        { "team", aExchange->Headers().Find("X-Ridgeferry-Team").value_or("") },
        { "request",
          aExchange->Headers().Find("X-Request-Id").value_or("") } });
    if (m_crashAfterRun) {
      _exit(1);
    }
    if (m_loseAnswers > 0) {
      --m_loseAnswers;
      aExchange->Abort();
      return;
    }
    const nlohmann::json answer{ { "path", aExchange->Path() },
                                 { "key", key },
                                 { "echo", aExchange->Body() } };
    if (m_delay == 0) {
      ReplyJson(*aExchange, kOk, answer);
      return;
    }
    auto watch = std::make_shared<net::Watch>();
    *watch = m_loop.After(Duration(m_delay), [this, aExchange, answer, watch] {
      ReplyJson(*aExchange, kOk, answer);
      m_loop.Defer([watch] { *watch = {}; });
    });
  }

  void OnSwitch(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const nlohmann::json body = BodyOf(*aExchange);
    m_delay = body.value("delayMs", m_delay);
    m_refuse = body.value("refuse", m_refuse);
    m_loseAnswers = body.value("loseAnswers", m_loseAnswers);
    m_dropBeforeRun = body.value("dropBeforeRun", m_dropBeforeRun);
    m_crashAfterRun = body.value("crashAfterRun", m_crashAfterRun);
    ReplyJson(*aExchange, kOk, {});
  }

  net::EventLoop& m_loop;
  History m_history;
  std::string m_id;
  std::int64_t m_delay;
  bool m_refuse = false;
  int m_loseAnswers = 0;
  int m_dropBeforeRun = 0;
  bool m_crashAfterRun = false;
};

} // namespace

} // namespace ridgeferry::fakes

int
main(int aCount, char** aValues)
{
  return ridgeferry::fakes::RunFake<ridgeferry::fakes::FakeService>(aCount,
                                                                    aValues);
}
