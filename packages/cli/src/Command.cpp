#include "ridgeferry/cli/Command.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <getopt.h>
#include <map>
#include <sstream>

namespace ridgeferry::cli {

namespace {

/** All options of all commands; each command says which it takes. */
enum Option : int // Plain: getopt takes ints.
{
  OptionServer = 1,
  OptionToken,
  OptionOutput,
  OptionFile,
  OptionReason,
  OptionOrganisation,
  OptionLabels,
  OptionKey,
  OptionBody,
  OptionId,
  OptionPolicies,
  OptionSeeds,
  OptionPlot,
  OptionHelp,
  OptionVersion,
};

using OptionValues = std::map<int, std::string>;

constexpr option kOptions[] = {
  { "server", required_argument, nullptr, OptionServer },
  { "token", required_argument, nullptr, OptionToken },
  { "output", required_argument, nullptr, OptionOutput },
  { "file", required_argument, nullptr, OptionFile },
  { "reason", required_argument, nullptr, OptionReason },
  { "team", required_argument, nullptr, OptionOrganisation },
  { "labels", required_argument, nullptr, OptionLabels },
  { "key", required_argument, nullptr, OptionKey },
  { "body", required_argument, nullptr, OptionBody },
  { "id", required_argument, nullptr, OptionId },
  { "policies", required_argument, nullptr, OptionPolicies },
  { "seeds", required_argument, nullptr, OptionSeeds },
  { "plot", required_argument, nullptr, OptionPlot },
  { "help", no_argument, nullptr, OptionHelp },
  { "version", no_argument, nullptr, OptionVersion },
  { nullptr, 0, nullptr, 0 },
};

std::string
ValueOr(const OptionValues& aValues, Option aOption, const char* aVariable)
{
  const auto it = aValues.find(aOption);
  if (it != aValues.end()) {
    return it->second;
  }
  const char* value = aVariable == nullptr ? nullptr : std::getenv(aVariable);
  return value == nullptr ? "" : value;
}

tl::unexpected<UsageError>
Wrong(std::string aMessage)
{
  return tl::unexpected(UsageError{ std::move(aMessage) });
}

tl::expected<Command, UsageError>
MakeExperiment(const std::vector<std::string>& aRest,
               const OptionValues& aValues)
{
  constexpr std::uint64_t kMostSeeds = 1000;
  if (aRest.size() != 1) {
    return Wrong("experiment needs one scenario file");
  }
  ExperimentCommand out;
  out.m_file = aRest[0];
  out.m_plot = ValueOr(aValues, OptionPlot, nullptr);
  const std::string seeds = ValueOr(aValues, OptionSeeds, nullptr);
  const char* end = seeds.data() + seeds.size();
  const auto read = std::from_chars(seeds.data(), end, out.m_seeds);
  const bool isNumber = read.ec == std::errc{} && read.ptr == end;
  if (!seeds.empty() &&
      (!isNumber || out.m_seeds == 0 || out.m_seeds > kMostSeeds)) {
    return Wrong("--seeds: found \"" + seeds + "\"; allowed: 1 to " +
                 std::to_string(kMostSeeds));
  }
  std::istringstream names(ValueOr(aValues, OptionPolicies, nullptr));
  for (std::string name; std::getline(names, name, ',');) {
    const auto policy = experiment::PolicyNamed(name);
    if (!policy) {
      return Wrong("--policies: found \"" + name +
                   "\"; allowed: homes, no-homes, random, by commas");
    }
    out.m_policies.push_back(*policy);
  }
  if (out.m_policies.empty()) {
    out.m_policies = { experiment::Policy::Homes };
  }
  return out;
}

tl::expected<Command, UsageError>
MakeCommand(const std::string& aName,
            const std::vector<std::string>& aRest,
            const OptionValues& aValues)
{
  const std::string file = ValueOr(aValues, OptionFile, nullptr);
  const std::string reason = ValueOr(aValues, OptionReason, nullptr);
  const bool changes = aName == "apply" || aName == "delete";
  if (changes && reason.empty()) {
    return Wrong(aName + " needs --reason TEXT: it goes into the audit trail");
  }
  if ((aName == "apply" || aName == "diff") && file.empty()) {
    return Wrong(aName + " needs --file FILE with declared objects");
  }
  if (aName == "apply") {
    return ApplyCommand{ file, reason };
  }
  if (aName == "diff") {
    return DiffCommand{ file };
  }
  if (aName == "get") {
    return GetCommand{ aRest.empty() ? "" : aRest[0],
                       aRest.size() < 2 ? "" : aRest[1] };
  }
  if (aName == "delete") {
    if (aRest.empty()) {
      return Wrong("delete needs one KIND/NAME or more");
    }
    return DeleteCommand{ aRest, reason };
  }
  if (aName == "status") {
    return StatusCommand{};
  }
  if (aName == "events") {
    return EventsCommand{};
  }
  if (aName == "audit") {
    return AuditCommand{};
  }
  if (aName == "change") {
    if (aRest.size() != 1) {
      return Wrong("change needs one change id");
    }
    return ChangeCommand{ aRest[0] };
  }
  if (aName == "explain" && aValues.contains(OptionId)) {
    return StoryCommand{ ValueOr(aValues, OptionId, nullptr), aRest };
  }
  if (aName == "explain") {
    if (aRest.size() != 1) {
      return Wrong("explain needs one request path, such as /services/tiles/, "
                   "or --id ID and log files");
    }
    return ExplainCommand{ aRest[0],
                           ValueOr(aValues, OptionOrganisation, nullptr),
                           ValueOr(aValues, OptionLabels, nullptr),
                           ValueOr(aValues, OptionKey, nullptr),
                           ValueOr(aValues, OptionBody, nullptr) };
  }
  if (aName == "experiment") {
    return MakeExperiment(aRest, aValues);
  }
  return Wrong("no command \"" + aName +
               "\"; commands: apply, diff, get, delete, status, events, "
               "audit, change, explain, experiment");
}

} // namespace

tl::expected<Invocation, UsageError>
ParseInvocation(std::vector<std::string> aArguments)
{
  std::vector<char*> values;
  values.reserve(aArguments.size());
  for (std::string& argument : aArguments) {
    values.push_back(argument.data());
  }
  OptionValues options;
  optind = 0; // Begin anew, also when called a second time.
  opterr = 0;
  for (;;) {
    const int found = getopt_long_only(
      static_cast<int>(values.size()), values.data(), "", kOptions, nullptr);
    if (found == -1) {
      break;
    }
    if (found == '?') {
      // getopt has stepped over the option that it did not take.
      const int at = std::max(optind - 1, 1);
      return Wrong("option " + std::string(values[at]) +
                   " is unknown or lacks its value; see --help");
    }
    options[found] = optarg == nullptr ? "" : optarg;
  }
  if (options.contains(OptionHelp)) {
    return Invocation{ {}, HelpCommand{} };
  }
  if (options.contains(OptionVersion)) {
    return Invocation{ {}, VersionCommand{} };
  }
  std::vector<std::string> words(values.begin() + optind, values.end());
  if (words.empty()) {
    return Wrong("a command is needed; see --help");
  }
  Invocation out;
  out.m_common.m_server = ValueOr(options, OptionServer, "RIDGEFERRY_SERVER");
  out.m_common.m_token = ValueOr(options, OptionToken, "RIDGEFERRY_TOKEN");
  const std::string output = ValueOr(options, OptionOutput, nullptr);
  if (!output.empty() && output != "text" && output != "json") {
    return Wrong("--output: found \"" + output + "\"; allowed: text, json");
  }
  out.m_common.m_output = output == "json" ? Output::Json : Output::Text;
  auto command =
    MakeCommand(words[0], { words.begin() + 1, words.end() }, options);
  if (!command) {
    return tl::unexpected(command.error());
  }
  const bool isLocal = std::holds_alternative<StoryCommand>(*command) ||
                       std::holds_alternative<ExperimentCommand>(*command);
  if (out.m_common.m_server.empty() && !isLocal) {
    return Wrong("--server IP:PORT is needed, or RIDGEFERRY_SERVER");
  }
  out.m_command = std::move(*command);
  return out;
}

const char*
UsageText()
{
  return "usage: ridgeferry COMMAND [ARGUMENT ...] [OPTION ...]\n"
         "\n"
         "commands\n"
         "  apply --file FILE --reason TEXT   put declared objects\n"
         "  diff --file FILE                  what apply would change\n"
         "  get [KIND [NAME]]                 declared objects\n"
         "  delete KIND/NAME ... --reason TEXT\n"
         "  status                            instances, upstreams, planner\n"
         "  events                            declared events\n"
         "  audit                             who changed what, when and why\n"
         "  change ID                         one change, by its id\n"
         "  explain PATH --team TEAM [--labels k=v,...] [--key KEY]\n"
         "          [--body JSON]             how a request would be served\n"
         "  explain --id ID [LOG ...]         what became of a request, out "
         "of\n"
         "                                    logs (none: standard input)\n"
         "  experiment SCENARIO [--policies homes,no-homes,random]\n"
         "          [--seeds N] [--plot FILE.svg]\n"
         "                                    plays a scenario on the model "
         "of\n"
         "                                    the fleet; --output json: a "
         "line\n"
         "                                    a run\n"
         "\n"
         "options\n"
         "  --server IP:PORT     administration API (RIDGEFERRY_SERVER)\n"
         "  --token TOKEN        token of the settings (RIDGEFERRY_TOKEN)\n"
         "  --output text|json   text is the default\n"
         "  --help, --version\n"
         "\n"
         "exit codes: 0 done, 1 refused or not found, 2 wrong arguments or\n"
         "file, 3 server not reached, 4 a change whose end is unknown (ask\n"
         "with: ridgeferry change ID), 5 diff found differences\n";
}

} // namespace ridgeferry::cli
