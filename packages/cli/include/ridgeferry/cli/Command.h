#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/experiment/Experiment.h>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::cli {

enum class Output
{
  Text,
  Json,
};

/** Options that every command takes. */
struct Common
{
  std::string m_server; ///< IP:PORT of an instance's administration API.
  std::string m_token;
  Output m_output = Output::Text;
};

struct ApplyCommand
{
  std::string m_file;
  std::string m_reason;
};
struct DiffCommand
{
  std::string m_file;
};
struct GetCommand
{
  std::string m_kind; ///< Empty: all.
  std::string m_name; ///< Empty: all of the kind.
};
struct DeleteCommand
{
  std::vector<std::string> m_keys; ///< `KIND/NAME`.
  std::string m_reason;
};
struct StatusCommand
{};
struct EventsCommand
{};
struct AuditCommand
{};
struct ChangeCommand
{
  std::string m_id;
};
/** What would become of a request: its class, event, upstreams. */
struct ExplainCommand
{
  std::string m_path;
  std::string m_organisation;
  std::string m_labels;
  std::string m_key;
  std::string m_body;
};
/** What became of a request, out of the instances' logs. */
struct StoryCommand
{
  std::string m_id;
  std::vector<std::string> m_files; ///< None: standard input.
};
/** Plays a scenario on the model of the fleet; needs no server. */
struct ExperimentCommand
{
  std::string m_file;
  std::vector<experiment::Policy> m_policies;
  std::uint64_t m_seeds = 1;
  std::string m_plot; ///< File for the picture; empty: none.
};
struct HelpCommand
{};
struct VersionCommand
{};

using Command = std::variant<ApplyCommand,
                             DiffCommand,
                             GetCommand,
                             DeleteCommand,
                             StatusCommand,
                             EventsCommand,
                             AuditCommand,
                             ChangeCommand,
                             ExplainCommand,
                             StoryCommand,
                             ExperimentCommand,
                             HelpCommand,
                             VersionCommand>;

struct Invocation
{
  Common m_common;
  Command m_command;
};

/** Wrong arguments: what is wrong and how to mend it. */
struct UsageError
{
  std::string m_message;
};

/**
 * Reads a command line. `RIDGEFERRY_SERVER` and `RIDGEFERRY_TOKEN` stand in
 * for options that are not given. Not thread-safe (getopt).
 */
tl::expected<Invocation, UsageError>
ParseInvocation(std::vector<std::string> aArguments);

/** The help page. */
const char*
UsageText();

} // namespace ridgeferry::cli
