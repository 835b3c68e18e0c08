#include "FakeProgram.h"

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ridgeferry::fakes {

Arguments::Arguments(int aCount, char** aValues)
{
  for (int i = 1; i + 1 < aCount; i += 2) {
    const std::string name(aValues[i]);
    m_values[name.substr(name.find_first_not_of('-'))] = aValues[i + 1];
  }
}

std::string
Arguments::Text(const std::string& aName, const std::string& aFallback) const
{
  const auto it = m_values.find(aName);
  return it == m_values.end() ? aFallback : it->second;
}

std::int64_t
Arguments::Number(const std::string& aName, std::int64_t aFallback) const
{
  const std::string text = Text(aName);
  return text.empty() ? aFallback : std::stoll(text);
}

int
ServeUntilTerminated(net::EventLoop& aLoop,
                     const std::string& aListen,
                     const net::HttpServer::Handler& aHandler)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto address = net::Address::Parse(aListen);
  if (!address) {
    std::fprintf(stderr, "--listen: found \"%s\"\n", aListen.c_str());
    return 2;
  }
  auto server = net::HttpServer::Listen(aLoop, *address, {}, aHandler);
  if (!server) {
    std::fprintf(stderr,
                 "%s: %s\n",
                 server.error().m_what.c_str(),
                 server.error().m_cause.c_str());
    return 1;
  }
  const net::Watch end = aLoop.OnSignal(SIGTERM, [&aLoop] { aLoop.Stop(); });
  aLoop.Run();
  return 0;
}

nlohmann::json
BodyOf(const net::HttpExchange& aExchange)
{
  nlohmann::json body = nlohmann::json::parse(aExchange.Body(), nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

void
ReplyJson(net::HttpExchange& aExchange,
          int aStatus,
          const nlohmann::json& aBody)
{
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  aExchange.Reply(
    aStatus,
    headers,
    aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void
ReplyNotRun(net::HttpExchange& aExchange)
{
  constexpr int kUnavailable = 503;
  net::HttpHeaders headers;
  headers.Add("X-Outcome", "not-run");
  aExchange.Reply(kUnavailable, headers, "");
}

} // namespace ridgeferry::fakes
