#pragma once

#include <spdlog/spdlog.h>

#include <concepts>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrasslift {

/// Format of log lines: key=value pairs, or one JSON object per line.
enum class LogFormat { KeyValue, Json };

/// Sets up the process-wide logger of an entry or a control member, which writes to standard error. Every
/// line contains the process name and its failure domain. level is "debug", "info", "warn" or "err".
void setUpLogging(LogFormat format, std::string_view level, std::string_view process,
                  std::string_view domain);

/// Sets up the process-wide logger of a gateway or a coordinator, which writes key-value lines to standard
/// output through a bounded queue. When the reader of the output stalls and the queue is full, the oldest
/// lines are dropped instead of blocking the process.
void setUpAsyncLogging(std::string_view process, std::string_view domain);

/// Writes the queued lines and releases the logger.
void shutDownLogging();

/// Name and value of a log field.
using LogField = std::pair<std::string_view, std::string>;

/// Writes one log line with the name of an event, in kebab case, and its fields. Can be called from any
/// thread.
void logEvent(spdlog::level::level_enum level, std::string_view event,
              const std::vector<LogField> &fields = {});

inline void logInfo(std::string_view event, const std::vector<LogField> &fields = {})
{
    logEvent(spdlog::level::info, event, fields);
}

inline void logWarning(std::string_view event, const std::vector<LogField> &fields = {})
{
    logEvent(spdlog::level::warn, event, fields);
}

inline void logError(std::string_view event, const std::vector<LogField> &fields = {})
{
    logEvent(spdlog::level::err, event, fields);
}

} // namespace eelgrasslift
