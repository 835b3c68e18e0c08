#include "Print.h"

#include <cstdio>
#include <ctime>
#include <string>

namespace ridgeferry::cli {

namespace {

std::string
Text(const nlohmann::json& aObject, const char* aField)
{
  const auto it = aObject.find(aField);
  if (it == aObject.end() || it->is_null()) {
    return "-";
  }
  if (it->is_string()) {
    const auto text = it->get<std::string>();
    return text.empty() ? "-" : text;
  }
  return it->dump();
}

std::string
UtcTime(std::int64_t aMs)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::time_t seconds = aMs / kMsPerSecond;
  std::tm fields{};
  gmtime_r(&seconds, &fields);
  char buffer[32];
  const std::size_t length =
    std::strftime(buffer, sizeof(buffer), "%Y-%m-%dT%H:%M:%SZ", &fields);
  return { buffer, length };
}

} // namespace

void
PrintStatus(const nlohmann::json& aStatus)
{
  std::printf("hall %s, revision %s, table %s, planner %s (fencing %s)\n\n",
              Text(aStatus, "hall").c_str(),
              Text(aStatus, "revision").c_str(),
              Text(aStatus, "table").c_str(),
              Text(aStatus.at("planner"), "holder").c_str(),
              Text(aStatus.at("planner"), "fencing").c_str());
  std::printf("%-20s %-6s %-6s %-8s %s\n",
              "INSTANCE",
              "ALIVE",
              "READY",
              "LEAVING",
              "REVISION");
  for (const auto& item : aStatus.at("instances")) {
    std::printf("%-20s %-6s %-6s %-8s %s\n",
                Text(item, "instance").c_str(),
                Text(item, "alive").c_str(),
                Text(item, "ready").c_str(),
                Text(item, "leaving").c_str(),
                Text(item, "revision").c_str());
  }
  std::printf("\n%-20s %-8s %-8s %-20s %-8s %-8s %s\n",
              "UPSTREAM",
              "KIND",
              "ROLE",
              "MODEL",
              "RUNNING",
              "LEAVING",
              "DRAINING");
  for (const auto& item : aStatus.at("upstreams")) {
    std::printf("%-20s %-8s %-8s %-20s %-8s %-8s %s\n",
                Text(item, "id").c_str(),
                Text(item, "kind").c_str(),
                Text(item, "role").c_str(),
                Text(item, "model").c_str(),
                Text(item, "running").c_str(),
                Text(item, "leaving").c_str(),
                Text(item, "draining").c_str());
  }
}

void
PrintObjects(const nlohmann::json& aObjects)
{
  for (const auto& item : aObjects.at("objects")) {
    std::printf("%s/%s %s\n",
                Text(item, "kind").c_str(),
                Text(item, "name").c_str(),
                item.value("spec", nlohmann::json::object()).dump().c_str());
  }
}

void
PrintEvents(const nlohmann::json& aObjects)
{
  std::printf(
    "%-24s %-22s %-10s %s\n", "EVENT", "START", "SECONDS", "PREFILL SHARE");
  for (const auto& item : aObjects.at("objects")) {
    const nlohmann::json spec = item.value("spec", nlohmann::json::object());
    std::printf("%-24s %-22s %-10s %s\n",
                Text(item, "name").c_str(),
                Text(spec, "start").c_str(),
                Text(spec, "durationSeconds").c_str(),
                Text(spec, "prefillShare").c_str());
  }
}

void
PrintAudit(const nlohmann::json& aAudit)
{
  if (!aAudit.value("complete", true)) {
    std::puts("(the table cannot be reached: only what this instance holds)");
  }
  for (const auto& item : aAudit.at("changes")) {
    std::string what;
    for (const auto& object : item.at("put")) {
      what += " put " + Text(object, "kind") + "/" + Text(object, "name");
    }
    for (const auto& key : item.at("delete")) {
      what += " delete " + key.get<std::string>();
    }
    std::printf("%-6s %s %s \"%s\":%s\n",
                Text(item, "revision").c_str(),
                UtcTime(item.value("atMs", std::int64_t{ 0 })).c_str(),
                Text(item, "author").c_str(),
                Text(item, "reason").c_str(),
                what.c_str());
  }
}

void
PrintExplanation(const nlohmann::json& aExplanation)
{
  for (const char* field : { "team",
                             "class",
                             "route",
                             "event",
                             "deadlineMs",
                             "repeatable",
                             "pool" }) {
    std::printf("%-11s %s\n", field, Text(aExplanation, field).c_str());
  }
  for (const auto& item : aExplanation.at("upstreams")) {
    std::printf("%-11s %s%s\n",
                "upstream",
                Text(item, "id").c_str(),
                item.value("mayServeNow", false) ? "" : " (not now)");
  }
}

} // namespace ridgeferry::cli
