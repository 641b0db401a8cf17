#include "eelgrasslift/completionrequest.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace eelgrasslift {

namespace {

CallerError invalidRequest(unsigned status, std::string code, std::string message)
{
    return CallerError{status, "invalid-request", std::move(code), std::move(message), Outcome::NotRun, {}};
}

/// Names of the account's classes that allow the model.
std::vector<std::string> classesFor(const RuleSet &rules, const AccountRule &account,
                                    const std::string &model)
{
    std::vector<std::string> names;
    for (const std::string &name : account.classes) {
        const auto rule = rules.classes.find(name);
        if (rule != rules.classes.end() && rule->second.models.contains(model))
            names.push_back(name);
    }
    return names;
}

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

std::variant<std::string, CallerError> chooseClass(const nlohmann::json &document, const RuleSet &rules,
                                                   const AccountRule &account, const std::string &model)
{
    const std::vector<std::string> names = classesFor(rules, account, model);
    if (names.empty())
        return invalidRequest(403, "model-not-allowed",
                              "no class of this account has the model '" + model + "'");
    const auto requestedClass = document.find("class");
    if (requestedClass == document.end()) {
        if (names.size() == 1)
            return names.front();
        return invalidRequest(400, "class-required",
                              "name one of the classes " + join(names) + " in the field class");
    }
    if (!requestedClass->is_string() ||
        std::find(names.begin(), names.end(), requestedClass->get<std::string>()) == names.end())
        return invalidRequest(400, "unknown-class", "the field class must be one of " + join(names));
    return requestedClass->get<std::string>();
}

} // namespace

std::variant<CompletionRequest, CallerError> parseCompletion(std::string_view body, const RuleSet &rules,
                                                             const AccountRule &account)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return invalidRequest(400, "malformed-json", "the body must be a JSON object");
    const auto model = document.find("model");
    const auto prompt = document.find("prompt");
    if (model == document.end() || !model->is_string())
        return invalidRequest(400, "model-required", "the field model must be a text");
    if (prompt == document.end() || !prompt->is_string())
        return invalidRequest(400, "prompt-required", "the field prompt must be a text");

    CompletionRequest request;
    request.model = model->get<std::string>();
    request.prompt = prompt->get<std::string>();
    const auto modelRule = rules.models.find(request.model);
    if (modelRule == rules.models.end())
        return invalidRequest(404, "unknown-model", "no model '" + request.model + "'");
    auto className = chooseClass(document, rules, account, request.model);
    if (auto *error = std::get_if<CallerError>(&className))
        return std::move(*error);
    request.className = std::get<std::string>(className);

    request.maxTokens = modelRule->second.maxTokens;
    const auto maxTokens = document.find("max_tokens");
    if (maxTokens != document.end()) {
        const bool isValid = maxTokens->is_number_unsigned() && maxTokens->get<uint64_t>() >= 1 &&
                             maxTokens->get<uint64_t>() <= modelRule->second.maxTokens;
        if (!isValid)
            return invalidRequest(400, "bad-max-tokens",
                                  "max_tokens must be a whole number in 1.." +
                                          std::to_string(modelRule->second.maxTokens));
        request.maxTokens = maxTokens->get<uint32_t>();
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean())
        return invalidRequest(400, "bad-stream", "the field stream must be true or false");
    request.isStreamed = stream != document.end() && stream->get<bool>();
    return request;
}

} // namespace eelgrasslift
