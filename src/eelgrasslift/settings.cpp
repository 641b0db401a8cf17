#include "eelgrasslift/settings.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace eelgrasslift {

namespace {

struct DurationUnit
{
    std::string_view suffix;
    Duration length;
};

// "ms" precedes "s" and "m" because parseDuration() compares the suffixes in this order.
constexpr DurationUnit DurationUnits[] = {
        {"ms", std::chrono::milliseconds{1}},
        {"s", std::chrono::seconds{1}},
        {"m", std::chrono::minutes{1}},
        {"h", std::chrono::hours{1}},
};

template <typename Parse>
CLI::Option *addParsedOption(CLI::App &app, const std::string &flag, Endpoint &value, Parse parse,
                             const std::string &typeName, const std::string &description)
{
    return app
            .add_option_function<std::string>(
                    flag,
                    [&value, parse, flag, typeName](const std::string &text) {
                        const auto parsed = parse(text);
                        if (!parsed)
                            throw CLI::ValidationError(flag, "'" + text + "' is not " + typeName);
                        value = *parsed;
                    },
                    description)
            ->type_name(typeName);
}

std::string environmentName(const std::string &flag)
{
    std::string name = "EELGRASSLIFT";
    for (const char character : flag.substr(1))
        name += character == '-' ? '_'
                                 : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    return name;
}

} // namespace

CLI::Option *addEndpointOption(CLI::App &app, const std::string &flag, Endpoint &value,
                               const std::string &description)
{
    return addParsedOption(app, flag, value, parseEndpoint, "IP:PORT", description)
            ->envname(environmentName(flag));
}

CLI::Option *addUrlOption(CLI::App &app, const std::string &flag, Endpoint &value,
                          const std::string &description)
{
    return addParsedOption(app, flag, value, parseHttpUrl, "http://IP:PORT", description)
            ->envname(environmentName(flag));
}

CLI::Option *addEndpointsOption(CLI::App &app, const std::string &flag, std::vector<Endpoint> &value,
                                const std::string &description)
{
    return app
            .add_option_function<std::vector<std::string>>(
                    flag,
                    [&value, flag](const std::vector<std::string> &texts) {
                        value.clear();
                        for (const std::string &text : texts) {
                            const auto parsed = parseEndpoint(text);
                            if (!parsed)
                                throw CLI::ValidationError(flag, "'" + text + "' is not IP:PORT");
                            value.push_back(*parsed);
                        }
                    },
                    description)
            ->delimiter(',')
            ->type_name("IP:PORT,...")
            ->envname(environmentName(flag));
}

CLI::Option *addDurationOption(CLI::App &app, const std::string &flag, Duration &value, Duration minimum,
                               Duration maximum, const std::string &description)
{
    const std::string range = formatDuration(minimum) + ".." + formatDuration(maximum);
    return app
            .add_option_function<std::string>(
                    flag,
                    [&value, minimum, maximum, range, flag](const std::string &text) {
                        const auto parsed = parseDuration(text);
                        if (!parsed || *parsed < minimum || *parsed > maximum)
                            throw CLI::ValidationError(flag, "'" + text + "' is not a duration in " + range);
                        value = *parsed;
                    },
                    description + " (default " + formatDuration(value) + ")")
            ->type_name("DURATION " + range)
            ->envname(environmentName(flag));
}

std::optional<Duration> parseDuration(std::string_view text)
{
    for (const DurationUnit &unit : DurationUnits) {
        if (!text.ends_with(unit.suffix))
            continue;
        const std::string_view digits = text.substr(0, text.size() - unit.suffix.size());
        int64_t count = 0;
        const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
        const bool isNumber = status == std::errc{} && end == digits.data() + digits.size();
        constexpr int64_t MaxCount = 1'000'000;
        if (isNumber && count >= 0 && count <= MaxCount)
            return unit.length * count;
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    if (duration == Duration{0})
        return "0s";
    for (auto unit = std::rbegin(DurationUnits); unit != std::rend(DurationUnits); ++unit) {
        if (duration % unit->length == Duration{0})
            return std::to_string(duration / unit->length) + std::string(unit->suffix);
    }
    return std::to_string(toMilliseconds(duration)) + "ms";
}

void addCommonOptions(CLI::App &app, CommonSettings &settings)
{
    app.add_option("--domain", settings.domain, "Failure domain of this VM")
            ->required()
            ->envname("EELGRASSLIFT_DOMAIN");
    app.add_option("--log-level", settings.logLevel, "Lowest level that is logged")
            ->check(CLI::IsMember({"debug", "info", "warn", "err"}))
            ->capture_default_str()
            ->envname("EELGRASSLIFT_LOG_LEVEL");
    app.add_option("--log-format", settings.logFormat, "Format of log lines")
            ->check(CLI::IsMember({"key-value", "json"}))
            ->capture_default_str()
            ->envname("EELGRASSLIFT_LOG_FORMAT");
}

std::string readSecret(const std::string &name)
{
    if (const char *value = std::getenv(name.c_str()))
        return value;
    const char *path = std::getenv((name + "_FILE").c_str());
    if (path == nullptr)
        return {};
    std::ifstream file(path);
    std::string secret{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    return secret;
}

} // namespace eelgrasslift
