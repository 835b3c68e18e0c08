#include "ridgeferry/observe/Log.h"

#include <chrono>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace ridgeferry::observe {

namespace {

using Clock = std::chrono::steady_clock;

/**
 * Standard output without waiting for its reader: a line that does not fit
 * the pipe now is left out. Lines are shorter than what a pipe takes as one.
 */
class OutputSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  OutputSink()
  {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  std::uint64_t m_dropped = 0;

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override // NOLINT
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) {
      ++m_dropped;
    }
  }
  void flush_() override {} // NOLINT: the library's name.
};

} // namespace

struct Log::Impl
{
  /** Counts a line of this second; false: it is left out. */
  bool TakeLine(LogBound aBound);

  std::shared_ptr<OutputSink> m_output; ///< Null: another target.
  Clock::time_point m_secondStart;
  int m_linesInSecond = 0;
  int m_keptInSecond = 0; ///< Lines of `LogBound::Kept`.
  std::uint64_t m_droppedInSecond = 0;
  std::uint64_t m_dropped = 0;
  std::shared_ptr<spdlog::logger> m_logger;
  LogFormat m_format = LogFormat::Json;
  std::vector<LogField> m_fixed;
};

namespace {

spdlog::level::level_enum
ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

nlohmann::ordered_json
ToJson(const LogField& aField)
{
  return std::visit(
    [](const auto& aValue) { return nlohmann::ordered_json(aValue); },
    aField.m_value);
}

std::string
Dump(const nlohmann::ordered_json& aValue)
{
  return aValue.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/** All of the line after its time and level, which spdlog's pattern writes. */
std::string
FormatLine(LogFormat aFormat,
           std::string_view aEvent,
           const std::vector<LogField>& aFixed,
           const std::vector<LogField>& aFields)
{
  nlohmann::ordered_json fields = nlohmann::ordered_json::object();
  for (const auto* list : { &aFixed, &aFields }) {
    for (const LogField& field : *list) {
      fields[field.m_name] = ToJson(field);
    }
  }
  if (aFormat == LogFormat::Json) {
    std::string line = "\"event\":" + Dump(nlohmann::ordered_json(aEvent));
    const std::string rest = Dump(fields);
    return fields.empty() ? line : line + "," + rest.substr(1, rest.size() - 2);
  }
  std::string line(aEvent);
  for (const auto& [name, value] : fields.items()) {
    line += " " + name + "=" + Dump(value);
  }
  return line;
}

} // namespace

bool
Log::Impl::TakeLine(LogBound aBound)
{
  if (m_output == nullptr) {
    return true;
  }
  const Clock::time_point now = Clock::now();
  if (now - m_secondStart >= std::chrono::seconds(1)) {
    m_secondStart = now;
    m_linesInSecond = 0;
    m_keptInSecond = 0;
    if (const auto dropped = std::exchange(m_droppedInSecond, 0)) {
      m_logger->warn(
        FormatLine(m_format,
                   "log-lines-left-out",
                   m_fixed,
                   { { "count", static_cast<std::int64_t>(dropped) } }));
    }
  }
  const bool isOver = aBound == LogBound::Kept
                        ? ++m_keptInSecond > kMaxKeptLinesPerSecond
                        : ++m_linesInSecond > kMaxLinesPerSecond;
  if (isOver) {
    ++m_droppedInSecond;
    ++m_dropped;
    return false;
  }
  return true;
}

std::uint64_t
Log::Dropped() const
{
  const auto& output = m_impl->m_output;
  return m_impl->m_dropped + (output == nullptr ? 0 : output->m_dropped);
}

Log::Log(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

Log::~Log() = default;

tl::expected<std::unique_ptr<Log>, LogError>
Log::Make(const LogOptions& aOptions, std::vector<LogField> aFixed)
{
  auto impl = std::make_unique<Impl>();
  spdlog::sink_ptr sink;
  try {
    if (!aOptions.m_file.empty()) {
      sink =
        std::make_shared<spdlog::sinks::basic_file_sink_st>(aOptions.m_file);
    } else if (aOptions.m_target == LogTarget::Output) {
      impl->m_output = std::make_shared<OutputSink>();
      sink = impl->m_output;
    } else {
      sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    }
  } catch (const spdlog::spdlog_ex& error) {
    return tl::unexpected(LogError{ error.what() });
  }
  impl->m_logger = std::make_shared<spdlog::logger>("ridgeferry", sink);
  impl->m_logger->set_level(ToLevel(aOptions.m_level));
  impl->m_logger->flush_on(spdlog::level::info);
  impl->m_logger->set_pattern(
    aOptions.m_format == LogFormat::Json
      ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
      : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
    spdlog::pattern_time_type::utc);
  impl->m_format = aOptions.m_format;
  impl->m_fixed = std::move(aFixed);
  return std::make_unique<Log>(std::move(impl));
}

void
Log::Write(LogLevel aLevel,
           std::string_view aEvent,
           const std::vector<LogField>& aFields,
           LogBound aBound)
{
  const spdlog::level::level_enum level = ToLevel(aLevel);
  if (!m_impl->m_logger->should_log(level) || !m_impl->TakeLine(aBound)) {
    return;
  }
  m_impl->m_logger->log(
    level, FormatLine(m_impl->m_format, aEvent, m_impl->m_fixed, aFields));
}

void
Log::Flush()
{
  m_impl->m_logger->flush();
}

} // namespace ridgeferry::observe
