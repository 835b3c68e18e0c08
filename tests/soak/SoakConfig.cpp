#include "SoakConfig.h"

#include <nlohmann/json.hpp>

namespace ridgeferry::soak {

namespace {

using Json = nlohmann::json;

Json
RouteJson(const std::string& aPrefix,
          const std::string& aKind,
          bool aResumable,
          const std::string& aService)
{
  const bool stream = aKind == "streaming";
  const bool once = aKind == "unsafe" || (stream && !aResumable);
  return { { "name", aPrefix },
           { "host", "soak.example" },
           { "path_prefix", aPrefix },
           { "kind", aKind },
           { "resumable", aResumable },
           { "timeout_ms", stream ? 3000 : 1000 },
           { "target_latency_ms", stream ? 500 : 200 },
           { "priority", stream ? 1 : 0 },
           { "service", aService },
           { "max_attempts", once ? 1 : 2 } };
}

} // namespace

std::string
ConfigText(std::uint64_t aVersion)
{
  const std::string own = "/version-" + std::to_string(aVersion) + "/";
  return Json{
    { "version", aVersion },
    { "routes",
      Json::array({ RouteJson("/safe/", "safe", false, "desk"),
                    RouteJson("/once/", "unsafe", false, "desk"),
                    RouteJson("/talk/", "streaming", true, "llm"),
                    RouteJson("/tell/", "streaming", false, "llm"),
                    RouteJson(own, "safe", false, "desk") }) },
    { "services",
      Json::array({ { { "name", "desk" }, { "max_connections", 200 } },
                    { { "name", "llm" },
                      { "max_connections", 200 },
                      { "engine", { { "slots", 16 } } } } }) },
    { "limits", { { "idle_timeout_ms", 5000 } } }
  }.dump();
}

} // namespace ridgeferry::soak
