#include "HistoryChecker.h"

#include "TokenText.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <ridgeferry/base/Hash.h>
#include <set>

namespace ridgeferry::checker {

namespace {

/** Time after which a leaving upstream must get no new work: the promise's
 * "few seconds". */
constexpr std::int64_t kLeavingGraceUs = 3'000'000;

using Violations = std::vector<Violation>;

std::string
Text(const nlohmann::json& aLine, const char* aField)
{
  return aLine.value(aField, std::string());
}

bool
Is(const nlohmann::json& aLine, std::string_view aWhat)
{
  return aLine.value("what", std::string()) == aWhat;
}

std::vector<const nlohmann::json*>
Select(const Lines& aLines, std::string_view aWhat)
{
  std::vector<const nlohmann::json*> out;
  for (const nlohmann::json& line : aLines) {
    if (Is(line, aWhat)) {
      out.push_back(&line);
    }
  }
  return out;
}

/** Each order is taken once at most, and none after one of a later holder. */
void
CheckOrders(const Lines& aLines, Violations& aOut)
{
  std::set<std::string> taken;
  std::map<std::string, std::uint64_t> highest;
  for (const nlohmann::json* line : Select(aLines, "order")) {
    if (!line->value("taken", false)) {
      continue;
    }
    const std::string id = Text(*line, "order");
    const std::string engine = Text(*line, "engine");
    if (!taken.insert(engine + " " + id).second) {
      aOut.push_back(
        { "no-conflicting-orders", engine + " took order " + id + " twice" });
    }
    const auto fencing = line->value("fencing", std::uint64_t{ 0 });
    if (fencing < highest[engine]) {
      aOut.push_back({ "no-orders-without-authority",
                       engine + " took order " + id + " of fencing " +
                         std::to_string(fencing) + " after one of " +
                         std::to_string(highest[engine]) });
    }
    highest[engine] = std::max(highest[engine], fencing);
  }
}

void
CheckCuts(const Lines& aLines, Violations& aOut)
{
  for (const nlohmann::json* line : Select(aLines, "cut")) {
    aOut.push_back({ "no-request-cut-by-a-planned-change",
                     Text(*line, "engine") + " cut " +
                       std::to_string(line->value("streams", 0)) +
                       " streams" });
  }
}

/** Calls with a key that a service ran. */
void
CheckAtMostOnce(const Lines& aLines, Violations& aOut)
{
  std::set<std::string> ran;
  for (const nlohmann::json* line : Select(aLines, "ran")) {
    const std::string key = Text(*line, "key");
    const std::string call = Text(*line, "team") + "/" + key;
    if (!key.empty() && !ran.insert(call).second) {
      aOut.push_back({ "at-most-once", call + " ran twice" });
    }
  }
}

/** Of a request that was answered "not run", no upstream may have a trace. */
void
CheckNotRun(const Lines& aLines, Violations& aOut)
{
  std::set<std::string> ran;
  std::set<std::string> keysRan;
  for (const char* what : { "ran", "generation" }) {
    for (const nlohmann::json* line : Select(aLines, what)) {
      ran.insert(Text(*line, "request"));
      if (!Text(*line, "key").empty()) {
        keysRan.insert(Text(*line, "team") + "/" + Text(*line, "key"));
      }
    }
  }
  for (const nlohmann::json* line : Select(aLines, "answer")) {
    if (Text(*line, "outcome") != "not-run") {
      continue;
    }
    const std::string request = Text(*line, "request");
    if (ran.contains(request)) {
      aOut.push_back({ "not-run-is-true", "request " + request + " was run" });
    }
    const std::string key = Text(*line, "key");
    const bool reused = Text(*line, "code") == "key-reused";
    if (!key.empty() && !reused &&
        keysRan.contains(Text(*line, "team") + "/" + key)) {
      aOut.push_back({ "not-run-is-true", "the call of key " + key + " ran" });
    }
  }
}

std::string
ExpectedText(const nlohmann::json& aLine)
{
  fakes::TokenSource source{ Text(aLine, "model"),
                             Text(aLine, "version"),
                             Text(aLine, "prompt"),
                             Hash64(Text(aLine, "body")) >> 32U };
  const std::uint64_t total =
    fakes::TokenCount(source, aLine.value("maxTokens", std::uint64_t{ 64 }));
  std::string out;
  for (std::uint64_t i = aLine.value("from", std::uint64_t{ 0 }); i < total;
       ++i) {
    out += fakes::TokenAt(source, i);
  }
  return out;
}

/** A generation that a caller got to its end is its own and whole. */
void
CheckWholeAnswers(const Lines& aLines, Violations& aOut)
{
  for (const nlohmann::json* line : Select(aLines, "answer")) {
    if (!line->value("whole", false) || Text(*line, "model").empty()) {
      continue;
    }
    if (Text(*line, "text") != ExpectedText(*line)) {
      aOut.push_back({ "whole-answer",
                       "request " + Text(*line, "request") + " got \"" +
                         Text(*line, "text") + "\"" });
    }
  }
}

/** The head's revision and each process's revision in force only rise. */
void
CheckRevisions(const Lines& aLines, Violations& aOut)
{
  std::int64_t head = 0;
  for (const nlohmann::json* line : Select(aLines, "commit")) {
    for (const nlohmann::json& row : line->at("rows")) {
      if (row.value("key", "") != "config/head") {
        continue;
      }
      const auto value = nlohmann::json::parse(row.value("value", "{}"));
      const auto revision = value.value("revision", std::int64_t{ 0 });
      if (revision <= head) {
        aOut.push_back({ "configuration-never-reverts",
                         "head " + std::to_string(revision) + " after " +
                           std::to_string(head) });
      }
      head = revision;
    }
  }
  std::map<std::string, std::int64_t> inForce;
  for (const nlohmann::json& line : aLines) {
    const std::string event = Text(line, "event");
    const std::string instance = Text(line, "instance");
    if (event == "started") {
      inForce[instance] = 0; // A new process begins anew; it must catch up.
    }
    if (event != "revision-applied") {
      continue;
    }
    const auto revision = line.value("revision", std::int64_t{ 0 });
    if (revision <= inForce[instance]) {
      aOut.push_back({ "configuration-never-reverts",
                       instance + " went from " +
                         std::to_string(inForce[instance]) + " to " +
                         std::to_string(revision) });
    }
    inForce[instance] = revision;
  }
}

void
CheckLeaving(const Lines& aLines, Violations& aOut)
{
  std::map<std::string, std::int64_t> leftAt;
  for (const nlohmann::json& line : aLines) {
    const auto us = line.value("us", std::int64_t{ 0 });
    if (Is(line, "leaving")) {
      leftAt.emplace(Text(line, "upstream"), us);
      continue;
    }
    if (Is(line, "left")) {
      // All instances are known to know: the grace is over.
      leftAt[Text(line, "upstream")] = us - kLeavingGraceUs;
      continue;
    }
    if (!Is(line, "generation") && !Is(line, "ran")) {
      continue;
    }
    const std::string upstream =
      Is(line, "ran") ? Text(line, "service") : Text(line, "engine");
    const auto it = leftAt.find(upstream);
    if (it != leftAt.end() && us > it->second + kLeavingGraceUs) {
      aOut.push_back({ "no-work-for-a-leaving-upstream",
                       upstream + " got " + Text(line, "request") + " " +
                         std::to_string((us - it->second) / 1000) +
                         " ms after it was leaving" });
    }
  }
}

} // namespace

Lines
ReadHistories(const std::filesystem::path& aFolder)
{
  Lines lines;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    if (entry.path().extension() == ".jsonl") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  for (const auto& file : files) {
    std::ifstream in(file);
    for (std::string text; std::getline(in, text);) {
      nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
      if (line.is_object()) {
        lines.push_back(std::move(line));
      }
    }
  }
  // Logs carry no `us` and keep their place before all, in file order.
  std::stable_sort(
    lines.begin(),
    lines.end(),
    [](const nlohmann::json& aLeft, const nlohmann::json& aRight) {
      return aLeft.value("us", std::int64_t{ 0 }) <
             aRight.value("us", std::int64_t{ 0 });
    });
  return lines;
}

std::vector<Violation>
CheckHistory(const Lines& aLines)
{
  Violations out;
  CheckOrders(aLines, out);
  CheckCuts(aLines, out);
  CheckAtMostOnce(aLines, out);
  CheckNotRun(aLines, out);
  CheckWholeAnswers(aLines, out);
  CheckRevisions(aLines, out);
  CheckLeaving(aLines, out);
  return out;
}

} // namespace ridgeferry::checker
