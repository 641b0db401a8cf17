#include "eelgrasslift/logging.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace eelgrasslift {

namespace {

LogFormat logFormat = LogFormat::KeyValue;
std::string processName = "eelgrasslift";
std::string processDomain;

std::string quoteIfNeeded(std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos)
        return std::string(value);
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string keyValueLine(std::string_view event, const std::vector<LogField> &fields)
{
    std::string line = "event=" + std::string(event) + " process=" + processName;
    if (!processDomain.empty())
        line += " domain=" + processDomain;
    for (const auto &[name, value] : fields)
        line += " " + std::string(name) + "=" + quoteIfNeeded(value);
    return line;
}

std::string jsonLine(std::string_view event, const std::vector<LogField> &fields)
{
    nlohmann::ordered_json line{{"event", event}, {"process", processName}, {"domain", processDomain}};
    for (const auto &[name, value] : fields)
        line[std::string(name)] = value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void setUpLogging(LogFormat format, std::string_view level, std::string_view process, std::string_view domain)
{
    logFormat = format;
    processName = process;
    processDomain = domain;
    auto logger = spdlog::stderr_logger_mt("eelgrasslift");
    logger->set_pattern(format == LogFormat::Json
                                ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","log":%v})"
                                : "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(std::string(level)));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void setUpAsyncLogging(std::string_view process, std::string_view domain)
{
    constexpr size_t MaxQueuedLines = 2048;
    logFormat = LogFormat::KeyValue;
    processName = process;
    processDomain = domain;
    spdlog::init_thread_pool(MaxQueuedLines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("eelgrasslift");
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void shutDownLogging()
{
    spdlog::shutdown();
}

void logEvent(spdlog::level::level_enum level, std::string_view event, const std::vector<LogField> &fields)
{
    if (!spdlog::should_log(level))
        return;
    spdlog::log(level, "{}",
                logFormat == LogFormat::Json ? jsonLine(event, fields) : keyValueLine(event, fields));
}

} // namespace eelgrasslift
