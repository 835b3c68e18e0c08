#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::observe {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat
{
  Json, ///< One JSON object a line.
  Text, ///< `TIME LEVEL event key=value ...`.
};

/** One named value of a log line. */
struct LogField
{
  std::string m_name;
  std::variant<std::string, std::int64_t, double, bool> m_value;
};

enum class LogTarget
{
  Error,  ///< Standard error.
  Output, ///< Standard output, never waited for: see `Log::Dropped`.
};

/** What bounds the lines to standard output. */
enum class LogBound
{
  Common, ///< See `Log::kMaxLinesPerSecond`.
  /** For lines that must be there although many others are written; see
   * `Log::kMaxKeptLinesPerSecond`. */
  Kept,
};

struct LogOptions
{
  LogFormat m_format = LogFormat::Json;
  LogLevel m_level = LogLevel::Info;
  LogTarget m_target = LogTarget::Error;
  std::string m_file; ///< Goes before the target, if it is not empty.
};

/** The file of the log could not be opened. */
struct LogError
{
  std::string m_cause;
};

/** Structured log lines. Not thread-safe. */
class Log
{
public:
  /** `aFixed` goes into every line (instance, hall). */
  static tl::expected<std::unique_ptr<Log>, LogError> Make(
    const LogOptions& aOptions,
    std::vector<LogField> aFixed);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /** `aEvent` is a stable name in kebab-case. */
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             const std::vector<LogField>& aFields = {},
             LogBound aBound = LogBound::Common);
  void Flush();

  /**
   * Lines to standard output that were left out so far: above the bound of
   * their kind, or because its reader had fallen behind. Each second
   * in which lines were left out is told by one line of its own.
   */
  std::uint64_t Dropped() const;
  /** Four times the calls that an instance ends in a second at its peak. */
  static constexpr int kMaxLinesPerSecond = 400;
  /** The same for `LogBound::Kept`, which counts apart. */
  static constexpr int kMaxKeptLinesPerSecond = 100;

  struct Impl;
  explicit Log(std::unique_ptr<Impl> aImpl);

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::observe
