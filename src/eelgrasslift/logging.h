#pragma once

#include <spdlog/spdlog.h>

#include <concepts>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrasslift {

enum class LogFormat { KeyValue, Json };

/// Sets up the process-wide logger. Every line carries the process name and its failure domain.
void setUpLogging(LogFormat format, std::string_view level, std::string_view process,
                  std::string_view domain);

/// Structured lines on standard output through a bounded queue: a reader that stops never blocks the process,
/// and the oldest lines are dropped.
void setUpServiceLogging(std::string_view process, std::string_view domain);

/// Writes what is queued.
void shutDownLogging();

using LogField = std::pair<std::string_view, std::string>;

/// Writes one log line: an event name in kebab case and its fields.
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
