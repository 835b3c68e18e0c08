#include "Session.h"

#include "HistoryChecker.h"

#include <csignal>
#include <ctime>
#include <fstream>
#include <map>
#include <regex>
#include <sys/wait.h>

namespace ridgeferry::session {

namespace {

nlohmann::json
ReadJson(const std::filesystem::path& aFile)
{
  std::ifstream in(aFile);
  return nlohmann::json::parse(in);
}

nlohmann::json
PlanOf(const std::filesystem::path& aSession)
{
  const std::string cluster = ReadJson(aSession).at("cluster");
  return ReadJson(aSession.parent_path().parent_path() / "clusters" /
                  (cluster + ".json"));
}

/** A problem's body without what differs from run to run. */
std::string
NormalizedProblem(nlohmann::json aBody)
{
  aBody.erase("requestId");
  if (aBody.contains("retryAfterMs")) {
    aBody["retryAfterMs"] = "some";
  }
  return aBody.dump();
}

/** A change with each `$NOW` replaced by the time, which operators write. */
nlohmann::json
WithTimes(const nlohmann::json& aChange)
{
  std::string text = aChange.dump();
  const std::time_t now = std::time(nullptr);
  std::tm fields{};
  gmtime_r(&now, &fields);
  char stamp[32];
  std::strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%SZ", &fields);
  for (std::size_t at = text.find("$NOW"); at != std::string::npos;
       at = text.find("$NOW")) {
    text.replace(at, std::string_view("$NOW").size(), stamp);
  }
  return nlohmann::json::parse(text);
}

/** A command's output without times, ids of changes and paths. */
std::string
NormalizedOutput(std::string aOutput, const RunPlace& aPlace)
{
  static const std::regex kTime(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ \w)");
  static const std::regex kChange(R"([a-z]+-\d@\d+-\d+)");
  const std::string folder = aPlace.m_files.string() + "/";
  for (std::size_t at = aOutput.find(folder); at != std::string::npos;
       at = aOutput.find(folder)) {
    aOutput.erase(at, folder.size());
  }
  aOutput = std::regex_replace(aOutput, kTime, "TIME o");
  aOutput = std::regex_replace(aOutput, kChange, "CHANGE");
  while (!aOutput.empty() && aOutput.back() == '\n') {
    aOutput.pop_back();
  }
  return aOutput;
}

std::string
NormalizedBody(const std::string& aBytes)
{
  nlohmann::json body = nlohmann::json::parse(aBytes, nullptr, false);
  if (!body.is_object()) {
    return aBytes;
  }
  if (body.contains("outcome")) {
    return NormalizedProblem(std::move(body));
  }
  body.erase("id");
  return body.dump();
}

} // namespace

Session::Session(net::EventLoop& aLoop,
                 RunPlace aPlace,
                 const std::filesystem::path& aFile,
                 std::function<void(const std::string&)> aProgress)
  : m_file(aFile)
  , m_script(ReadJson(aFile))
  , m_cluster(aLoop, std::move(aPlace), PlanOf(aFile))
  , m_caller(m_cluster)
  , m_progress(std::move(aProgress))
  , m_history((m_cluster.Place().m_files / "session.jsonl").string())
{
}

void
Session::Say(const std::string& aLine)
{
  m_transcript += aLine + "\n";
  if (m_progress) {
    m_progress(aLine);
  }
}

SessionResult
Session::Play()
{
  SessionResult result;
  Say("session " + m_file.stem().string() + ": " + m_script.value("about", ""));
  if (!m_cluster.StartAll()) {
    result.m_failure = "the processes did not get ready";
    return result;
  }
  for (const nlohmann::json& step : m_script.at("steps")) {
    if (!PlayStep(step)) {
      result.m_failure = "step " + step.dump();
      result.m_transcript = m_transcript;
      return result;
    }
  }
  m_caller.WriteHistory();
  result.m_played = CheckHistories();
  if (!result.m_played) {
    result.m_failure = "the histories break a promise";
  }
  result.m_transcript = m_transcript;
  return result;
}

bool
Session::PlayStep(const nlohmann::json& aStep)
{
  const std::string what = aStep.at("do");
  if (what == "say") {
    Say(aStep.at("text"));
    return true;
  }
  if (what == "call") {
    return PlayCall(aStep);
  }
  if (what == "await") {
    return PlayAwait(aStep);
  }
  if (what == "settle") {
    // Which of several answers comes differs from run to run; the histories
    // are checked all the same.
    const CallRecord& record = m_caller.Find(aStep.at("call"));
    return m_cluster.WaitFor([&] { return record.m_done; });
  }
  if (what == "awaitTokens") {
    const auto least = aStep.at("count").get<std::uint64_t>();
    const std::string name = aStep.at("call");
    return m_cluster.WaitFor([&] {
      return Caller::ReadGeneration(m_caller.Find(name)).m_tokens >= least;
    });
  }
  if (what == "signal") {
    return PlaySignal(aStep);
  }
  if (what == "awaitExit") {
    int code = -1;
    const std::string name = aStep.at("process");
    const bool ended = m_cluster.WaitFor(
      [&] { return m_cluster.Processes().HasEnded(name, &code); });
    Say(name + " ended with exit code " + std::to_string(code));
    return ended;
  }
  if (what == "start") {
    const std::string name = aStep.at("process");
    Say("start " + name);
    return m_cluster.StartInstance(name);
  }
  if (what == "startFake") {
    Say("start " + aStep.at("process").get<std::string>());
    return m_cluster.StartFake(aStep.at("process"));
  }
  if (what == "awaitReady") {
    const std::string name = aStep.at("process");
    const bool ready =
      m_cluster.WaitFor([&] { return m_cluster.IsReady(Resolve(name)); });
    Say(name + " is ready");
    return ready;
  }
  if (what == "switch") {
    Say("switch " + aStep.at("fake").get<std::string>() + " " +
        aStep.at("body").dump());
    return m_cluster.Switch(aStep.at("fake"), aStep.at("body")).m_end ==
           net::HttpEnd::Complete;
  }
  if (what == "change") {
    return PlayChange(aStep);
  }
  if (what == "command") {
    return PlayCommand(aStep);
  }
  if (what == "awaitRow") {
    const std::string wanted = aStep.at("contains");
    const bool reached = m_cluster.WaitFor([&] {
      return m_cluster.TableRow(aStep.at("key")).find(wanted) !=
             std::string::npos;
    });
    Say("row " + aStep.at("key").get<std::string>() + " says " + wanted);
    return reached;
  }
  if (what == "awaitTable") {
    const std::string via = aStep.at("via");
    return m_cluster.WaitFor([&] {
      const nlohmann::json status = m_cluster.Status(via);
      return status.is_object() && status.value("table", "") == "up";
    });
  }
  if (what == "noteLeft") {
    // Every instance knows: from here on not one call may go there.
    m_history.Write(
      { { "what", "left" }, { "upstream", aStep.at("upstream") } });
    return true;
  }
  if (what == "notePlanner") {
    return PlayNotePlanner(aStep);
  }
  if (what == "awaitRevision") {
    return PlayAwaitRevision(aStep);
  }
  if (what == "awaitUpstream") {
    return PlayAwaitUpstream(aStep);
  }
  return false;
}

bool
Session::PlayCall(const nlohmann::json& aStep)
{
  const std::string name = aStep.at("call");
  const std::string via = aStep.at("via");
  Say("call " + name + " via " + via + ": " + aStep.value("method", "POST") +
      " " + aStep.at("path").get<std::string>());
  m_caller.Send(name, via, aStep);
  return !aStep.value("await", true) || PlayAwait(aStep);
}

bool
Session::PlayAwait(const nlohmann::json& aStep)
{
  const CallRecord& record = m_caller.Find(aStep.at("call"));
  if (!m_cluster.WaitFor([&] { return record.m_done; })) {
    return false;
  }
  SayAnswer(record);
  return true;
}

void
Session::SayAnswer(const CallRecord& aRecord)
{
  const net::HttpHead& head = aRecord.m_response.m_head;
  const std::string type(head.m_headers.Find("Content-Type").value_or(""));
  if (aRecord.m_response.m_end != net::HttpEnd::Complete) {
    const GenerationAnswer answer = Caller::ReadGeneration(aRecord);
    Say("  " + aRecord.m_name + ": connection lost" +
        (answer.m_inOrder ? "" : ", OUT OF ORDER"));
    return;
  }
  std::string line =
    "  " + aRecord.m_name + ": " + std::to_string(head.m_status) + " " + type;
  if (head.m_headers.Find("Retry-After")) {
    line += ", with Retry-After";
  }
  if (head.m_headers.Find("X-Ridgeferry-Replayed")) {
    line += ", replayed";
  }
  Say(line);
  if (type != "text/event-stream") {
    Say("    " + NormalizedBody(aRecord.m_bytes));
    return;
  }
  const GenerationAnswer answer = Caller::ReadGeneration(aRecord);
  if (aRecord.m_from > 0) {
    // How far the first connection came differs from run to run.
    Say(std::string("    rest of the stream, ") +
        (answer.m_inOrder ? "in order" : "OUT OF ORDER") +
        (answer.m_whole ? ", whole" : ", NOT WHOLE"));
    return;
  }
  Say("    " + std::to_string(answer.m_tokens) + " tokens, " +
      (answer.m_inOrder ? "in order" : "OUT OF ORDER") +
      (answer.m_whole ? ", whole" : ", NOT WHOLE") +
      (answer.m_problem.empty() ? "" : ", problem " + answer.m_problem));
  Say("    " + answer.m_text);
}

bool
Session::PlaySignal(const nlohmann::json& aStep)
{
  static const std::map<std::string, int> kSignals = { { "TERM", SIGTERM },
                                                       { "KILL", SIGKILL },
                                                       { "STOP", SIGSTOP },
                                                       { "CONT", SIGCONT } };
  const std::string name = aStep.at("process");
  const std::string signal = aStep.at("signal");
  Say("signal " + signal + " to " + name);
  m_cluster.Processes().Signal(Resolve(name), kSignals.at(signal));
  return true;
}

bool
Session::PlayChange(const nlohmann::json& aStep)
{
  const std::string via = aStep.at("via");
  const net::HttpResponse response =
    m_cluster.PostChange(via, WithTimes(aStep.at("change")));
  nlohmann::json body = nlohmann::json::parse(response.m_body, nullptr, false);
  if (body.is_object()) {
    body.erase("change");
    body.erase("requestId");
  }
  Say("change via " + via + ": " + std::to_string(response.m_head.m_status) +
      " " + body.dump());
  return response.m_end == net::HttpEnd::Complete;
}

bool
Session::PlayAwaitRevision(const nlohmann::json& aStep)
{
  const auto revision = aStep.at("revision").get<int>();
  const std::vector<std::string> instances =
    aStep.value("instances", m_cluster.Instances());
  const bool reached = m_cluster.WaitFor([&] {
    for (const std::string& name : instances) {
      const nlohmann::json status = m_cluster.Status(name);
      if (!status.is_object() || status.value("revision", 0) < revision) {
        return false;
      }
    }
    return true;
  });
  Say("revision " + std::to_string(revision) + " is in force at " +
      std::to_string(instances.size()) + " instances");
  return reached;
}

bool
Session::PlayAwaitUpstream(const nlohmann::json& aStep)
{
  const std::string id = aStep.at("upstream");
  const nlohmann::json& wanted = aStep.at("is");
  const std::string via = aStep.at("via");
  const bool reached = m_cluster.WaitFor([&] {
    const nlohmann::json status = m_cluster.Status(Resolve(via));
    if (!status.is_object()) {
      return false;
    }
    for (const auto& upstream : status.at("upstreams")) {
      if (upstream.at("id") != id) {
        continue;
      }
      for (const auto& [field, value] : wanted.items()) {
        if (!upstream.contains(field) || upstream[field] != value) {
          return false;
        }
      }
      return true;
    }
    return false;
  });
  Say(id + " is " + wanted.dump() + " at " + via);
  return reached;
}

/** Runs `ridgeferry` as an operator would, and says what it printed. */
bool
Session::PlayCommand(const nlohmann::json& aStep)
{
  const RunPlace& place = m_cluster.Place();
  std::string command = (place.m_programs / "bin" / "ridgeferry").string();
  std::string shown = "ridgeferry";
  if (aStep.contains("object")) {
    const auto file = place.m_files / "objects.json";
    std::ofstream(file) << aStep.at("object").dump();
    command += " --file " + file.string();
  }
  for (const auto& argument : aStep.at("arguments")) {
    command += " '" + argument.get<std::string>() + "'";
    shown += " " + argument.get<std::string>();
  }
  command += " --server " + m_cluster.AdminAddress(aStep.at("via")) +
             " --token " + aStep.value("token", "session-token") + " 2>&1";
  Say("$ " + shown);
  std::FILE* pipe = popen(command.c_str(), "r");
  std::string output;
  char buffer[4096];
  for (std::size_t got = 0;
       (got = std::fread(buffer, 1, sizeof(buffer), pipe)) > 0;) {
    output.append(buffer, got);
  }
  const int status = pclose(pipe);
  if (aStep.value("show", true)) {
    Say(NormalizedOutput(std::move(output), place));
  }
  Say("exit code " + std::to_string(WEXITSTATUS(status)));
  return WIFEXITED(status);
}

std::string
Session::Resolve(const std::string& aName) const
{
  if (aName == "$planner") {
    return m_planner;
  }
  return aName == "$other" ? m_other : aName;
}

bool
Session::PlayNotePlanner(const nlohmann::json& aStep)
{
  const std::string via = aStep.at("via");
  const bool found = m_cluster.WaitFor([&] {
    const nlohmann::json status = m_cluster.Status(via);
    if (!status.is_object()) {
      return false;
    }
    const std::string holder = status.at("planner").at("holder");
    m_planner = holder.substr(0, holder.find('@'));
    for (const auto& instance : status.at("instances")) {
      if (instance.at("instance") != m_planner && instance.at("ready")) {
        m_other = instance.at("instance");
      }
    }
    return !m_planner.empty() && !m_other.empty();
  });
  Say("the hall of " + via + " has a planner");
  return found;
}

bool
Session::CheckHistories()
{
  const auto violations =
    checker::CheckHistory(checker::ReadHistories(m_cluster.Place().m_files));
  for (const checker::Violation& violation : violations) {
    Say("BROKEN " + violation.m_rule + ": " + violation.m_what);
  }
  if (violations.empty()) {
    Say("the histories keep every promise that they can show");
  }
  return violations.empty();
}

} // namespace ridgeferry::session
