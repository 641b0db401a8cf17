#include "eelgrasslift/commandoutput.h"

#include "librules/rules.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

namespace eelgrasslift {

namespace {

std::string cellText(const nlohmann::json &row, const std::string &column)
{
    const auto cell = row.find(column);
    if (cell == row.end())
        return "-";
    if (cell->is_string())
        return cell->get<std::string>().empty() ? "-" : cell->get<std::string>();
    return cell->dump();
}

std::string ruleErrorText(const nlohmann::json &error, const std::string &file)
{
    return toText(RuleError{RuleErrorCode::BadValue, file, error.value("line", 0U), error.value("column", 0U),
                            error.value("cause", ""), error.value("example", "")});
}

} // namespace

std::optional<std::string> readInput(const std::string &file)
{
    if (file == "-")
        return std::string{std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    return stream.bad() ? std::nullopt : std::optional(std::move(text));
}

void printLine(const std::string &text)
{
    std::printf("%s\n", text.c_str());
}

void printErrorLine(const std::string &text)
{
    std::fprintf(stderr, "%s\n", text.c_str());
}

std::string errorText(const nlohmann::json &reply, const std::string &file)
{
    const nlohmann::json error =
            reply.is_object() && reply.contains("error") ? reply["error"] : nlohmann::json::object();
    if (error.contains("errors")) {
        std::string text;
        for (const nlohmann::json &entry : error["errors"])
            text += (text.empty() ? "" : "\n") + ruleErrorText(entry, file);
        return text;
    }
    std::string text =
            "eelgrasslift: " + error.value("message", std::string("the reply contains no error message"));
    if (error.value("type", "") == "conflict") {
        text += ": version " + std::to_string(error.value("current_version", uint64_t{0})) + " by " +
                error.value("author", "") + " changed\n" + error.value("diff", "");
    }
    return text;
}

std::string tableText(const nlohmann::json &rows, const std::vector<std::string> &columns)
{
    std::string text;
    for (const std::string &column : columns)
        text += (text.empty() ? "" : "\t") + column;
    for (const nlohmann::json &row : rows) {
        std::string line;
        for (const std::string &column : columns)
            line += (line.empty() ? "" : "\t") + cellText(row, column);
        text += "\n" + line;
    }
    return text;
}

} // namespace eelgrasslift
