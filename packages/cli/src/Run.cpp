#include "ridgeferry/cli/Run.h"

#include "Client.h"
#include "ObjectFile.h"
#include "Print.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/cli/Story.h>
#include <ridgeferry/experiment/Report.h>
#include <span>
#include <sstream>
#include <tl/expected.hpp>

namespace ridgeferry::cli {

namespace {

constexpr int kOk = 200;
constexpr int kUnknownEnd = 202;

using Printer = void (*)(const nlohmann::json&);

/** Prints an answer, or says what is wrong; all commands end here. */
ExitCode
Finish(const Common& aCommon,
       const net::HttpResponse& aResponse,
       Printer aPrint)
{
  if (!net::HasAnswer(aResponse)) {
    std::fprintf(
      stderr, "ridgeferry: no answer from %s\n", aCommon.m_server.c_str());
    return ExitCode::Unreachable;
  }
  const nlohmann::json body =
    nlohmann::json::parse(aResponse.m_body, nullptr, false);
  const int status = aResponse.m_head.m_status;
  const bool good = status == kOk || status == kUnknownEnd;
  if (!good || body.is_discarded()) {
    std::fprintf(stderr, "%s\n", aResponse.m_body.c_str());
    return ExitCode::Failed;
  }
  if (aCommon.m_output == Output::Json) {
    std::printf("%s\n", body.dump(2).c_str());
  } else {
    aPrint(body);
  }
  return status == kUnknownEnd ? ExitCode::Unknown : ExitCode::Ok;
}

void
PrintChangeResult(const nlohmann::json& aBody)
{
  std::printf("%s: change %s, revision %s\n",
              aBody.value("result", "").c_str(),
              aBody.value("change", "").c_str(),
              aBody.at("revision").dump().c_str());
}

ExitCode
SubmitChange(const Common& aCommon, const nlohmann::json& aChange)
{
  const net::HttpResponse response =
    Client(aCommon).Post("/admin/changes", aChange.dump());
  if (response.m_end == net::HttpEnd::Broken) {
    std::fputs("ridgeferry: the answer was lost; look with: ridgeferry audit\n",
               stderr);
    return ExitCode::Unknown;
  }
  return Finish(aCommon, response, &PrintChangeResult);
}

ExitCode
BadFile(const FileError& aError)
{
  std::fputs(aError.m_message.c_str(), stderr);
  return ExitCode::Usage;
}

ExitCode
Execute(const Common& aCommon, const ApplyCommand& aCommand)
{
  const auto objects = ReadObjectFile(aCommand.m_file);
  if (!objects) {
    return BadFile(objects.error());
  }
  return SubmitChange(aCommon,
                      { { "reason", aCommand.m_reason }, { "put", *objects } });
}

ExitCode
Execute(const Common& aCommon, const DeleteCommand& aCommand)
{
  return SubmitChange(
    aCommon,
    { { "reason", aCommand.m_reason }, { "delete", aCommand.m_keys } });
}

std::string
KeyOfJson(const nlohmann::json& aObject)
{
  return aObject.value("kind", "") + "/" + aObject.value("name", "");
}

ExitCode
Execute(const Common& aCommon, const DiffCommand& aCommand)
{
  const auto objects = ReadObjectFile(aCommand.m_file);
  if (!objects) {
    return BadFile(objects.error());
  }
  const net::HttpResponse response = Client(aCommon).Get("/admin/objects");
  const nlohmann::json body =
    nlohmann::json::parse(response.m_body, nullptr, false);
  if (!net::HasAnswer(response) || !body.contains("objects")) {
    return Finish(aCommon, response, &PrintObjects);
  }
  std::map<std::string, nlohmann::json> declared;
  for (const auto& item : body.at("objects")) {
    declared[KeyOfJson(item)] = item;
  }
  nlohmann::json differences = nlohmann::json::array();
  for (const auto& item : *objects) {
    const std::string key = KeyOfJson(item);
    const auto it = declared.find(key);
    if (it == declared.end()) {
      differences.push_back({ { "key", key }, { "change", "add" } });
    } else if (it->second != item) {
      differences.push_back(
        { { "key", key },
          { "change", "replace" },
          { "patch", nlohmann::json::diff(it->second, item) } });
    }
  }
  if (aCommon.m_output == Output::Json) {
    std::printf("%s\n", differences.dump(2).c_str());
  } else {
    for (const auto& item : differences) {
      std::printf("%s %s %s\n",
                  item.value("change", "").c_str(),
                  item.value("key", "").c_str(),
                  item.value("patch", nlohmann::json::array()).dump().c_str());
    }
  }
  return differences.empty() ? ExitCode::Ok : ExitCode::Differs;
}

ExitCode
Execute(const Common& aCommon, const GetCommand& aCommand)
{
  return Finish(aCommon,
                Client(aCommon).Get("/admin/objects?kind=" + aCommand.m_kind +
                                    "&name=" + aCommand.m_name),
                &PrintObjects);
}

ExitCode
Execute(const Common& aCommon, const StatusCommand&)
{
  return Finish(aCommon, Client(aCommon).Get("/admin/status"), &PrintStatus);
}

ExitCode
Execute(const Common& aCommon, const EventsCommand&)
{
  return Finish(
    aCommon, Client(aCommon).Get("/admin/objects?kind=event"), &PrintEvents);
}

ExitCode
Execute(const Common& aCommon, const AuditCommand&)
{
  return Finish(aCommon, Client(aCommon).Get("/admin/audit"), &PrintAudit);
}

ExitCode
Execute(const Common& aCommon, const ChangeCommand& aCommand)
{
  return Finish(aCommon,
                Client(aCommon).Get("/admin/change?id=" + aCommand.m_id),
                [](const nlohmann::json& aBody) {
                  std::printf("%s\n", aBody.dump(2).c_str());
                });
}

ExitCode
Execute(const Common& aCommon, const ExplainCommand& aCommand)
{
  net::HttpHeaders headers;
  headers.Add("X-Ridgeferry-Team", aCommand.m_organisation);
  if (!aCommand.m_labels.empty()) {
    headers.Add("X-Ridgeferry-Labels", aCommand.m_labels);
  }
  if (!aCommand.m_key.empty()) {
    headers.Add("Idempotency-Key", aCommand.m_key);
  }
  return Finish(aCommon,
                Client(aCommon).Post(
                  "/admin/explain" + aCommand.m_path, aCommand.m_body, headers),
                &PrintExplanation);
}

/** Error: the name of a file that cannot be read. */
tl::expected<std::vector<StoryLine>, std::string>
StoryOf(const StoryCommand& aCommand)
{
  if (aCommand.m_files.empty()) {
    return ReadStory(std::cin, aCommand.m_id);
  }
  std::stringstream all;
  for (const std::string& name : aCommand.m_files) {
    std::ifstream file(name);
    if (!file) {
      return tl::unexpected(name);
    }
    // An empty file would set the target's failure bit.
    if (file.peek() != std::ifstream::traits_type::eof()) {
      all << file.rdbuf() << '\n';
    }
  }
  return ReadStory(all, aCommand.m_id);
}

void
PrintRuns(const experiment::Scenario& aScenario,
          std::span<const experiment::Outcome> aOutcomes,
          Output aOutput)
{
  if (aOutput == Output::Text) {
    std::fputs(experiment::TableOf(aScenario, aOutcomes).c_str(), stdout);
    return;
  }
  for (const experiment::Outcome& outcome : aOutcomes) {
    std::printf("%s\n", experiment::JsonLine(aScenario, outcome).c_str());
  }
}

ExitCode
Execute(const Common& aCommon, const ExperimentCommand& aCommand)
{
  const auto scenario = experiment::LoadScenario(aCommand.m_file);
  if (!scenario) {
    std::fputs(FormatSettingsError(scenario.error()).c_str(), stderr);
    return ExitCode::Usage;
  }
  std::vector<experiment::Outcome> outcomes;
  for (const experiment::Policy policy : aCommand.m_policies) {
    for (std::uint64_t seed = 1; seed <= aCommand.m_seeds; ++seed) {
      std::fprintf(stderr,
                   "%s, seed %llu of %llu\n",
                   std::string(NameOf(policy)).c_str(),
                   static_cast<unsigned long long>(seed),
                   static_cast<unsigned long long>(aCommand.m_seeds));
      outcomes.push_back(experiment::RunScenario(*scenario, policy, seed));
    }
  }
  PrintRuns(*scenario, outcomes, aCommon.m_output);
  if (aCommand.m_plot.empty()) {
    return ExitCode::Ok;
  }
  std::ofstream plot(aCommand.m_plot);
  if (!(plot << experiment::PlotOf(*scenario, outcomes))) {
    std::fprintf(
      stderr, "ridgeferry: cannot write %s\n", aCommand.m_plot.c_str());
    return ExitCode::Failed;
  }
  return ExitCode::Ok;
}

ExitCode
Execute(const Common&, const StoryCommand& aCommand)
{
  const auto story = StoryOf(aCommand);
  if (!story) {
    std::fprintf(
      stderr, "ridgeferry: cannot read the log %s\n", story.error().c_str());
    return ExitCode::Usage;
  }
  for (const StoryLine& line : *story) {
    std::printf("%s %s\n", line.m_time.c_str(), line.m_text.c_str());
  }
  if (story->empty()) {
    std::fprintf(stderr,
                 "ridgeferry: no line names the id \"%s\"; give the logs of "
                 "all instances that its caller can have reached\n",
                 aCommand.m_id.c_str());
    return ExitCode::Failed;
  }
  return ExitCode::Ok;
}

ExitCode
Execute(const Common&, const HelpCommand&)
{
  std::fputs(UsageText(), stdout);
  return ExitCode::Ok;
}

ExitCode
Execute(const Common&, const VersionCommand&)
{
  std::puts("ridgeferry " RIDGEFERRY_VERSION);
  return ExitCode::Ok;
}

} // namespace

ExitCode
Run(const Invocation& aInvocation)
{
  return std::visit(
    [&](const auto& aCommand) {
      return Execute(aInvocation.m_common, aCommand);
    },
    aInvocation.m_command);
}

} // namespace ridgeferry::cli
