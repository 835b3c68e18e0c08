#include "ridgeferry/cli/Command.h"

#include <algorithm>
#include <cstdlib>
#include <getopt.h>
#include <map>

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
  OptionTeam,
  OptionLabels,
  OptionKey,
  OptionBody,
  OptionId,
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
  { "team", required_argument, nullptr, OptionTeam },
  { "labels", required_argument, nullptr, OptionLabels },
  { "key", required_argument, nullptr, OptionKey },
  { "body", required_argument, nullptr, OptionBody },
  { "id", required_argument, nullptr, OptionId },
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
                           ValueOr(aValues, OptionTeam, nullptr),
                           ValueOr(aValues, OptionLabels, nullptr),
                           ValueOr(aValues, OptionKey, nullptr),
                           ValueOr(aValues, OptionBody, nullptr) };
  }
  return Wrong("no command \"" + aName +
               "\"; commands: apply, diff, get, delete, status, events, "
               "audit, change, explain");
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
  const bool readsLogs = std::holds_alternative<StoryCommand>(*command);
  if (out.m_common.m_server.empty() && !readsLogs) {
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
