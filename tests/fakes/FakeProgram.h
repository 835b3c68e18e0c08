#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/HttpServer.h>
#include <string>

namespace ridgeferry::fakes {

/** `--name value` arguments of a stand-in. */
class Arguments
{
public:
  Arguments(int aCount, char** aValues);
  std::string Text(const std::string& aName,
                   const std::string& aFallback = "") const;
  std::int64_t Number(const std::string& aName, std::int64_t aFallback) const;

private:
  std::map<std::string, std::string> m_values;
};

/** Serves one handler until SIGTERM. Returns the process's exit code. */
int
ServeUntilTerminated(net::EventLoop& aLoop,
                     const std::string& aListen,
                     const net::HttpServer::Handler& aHandler);

/** The whole of a stand-in's `main`: makes a `Fake` and serves it. */
template<typename Fake>
int
RunFake(int aCount, char** aValues)
{
  const Arguments arguments(aCount, aValues);
  const auto loop = net::EventLoop::Make();
  Fake fake(*loop, arguments);
  return ServeUntilTerminated(
    *loop,
    arguments.Text("listen"),
    [&fake](const std::shared_ptr<net::HttpExchange>& aExchange) {
      fake.OnExchange(aExchange);
    });
}

/** The body as a JSON object; an empty object if it is none. */
nlohmann::json
BodyOf(const net::HttpExchange& aExchange);

void
ReplyJson(net::HttpExchange& aExchange,
          int aStatus,
          const nlohmann::json& aBody);

/** 503 with the outcome "not run": the call was not begun. */
void
ReplyNotRun(net::HttpExchange& aExchange);

} // namespace ridgeferry::fakes
