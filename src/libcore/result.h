#pragma once

#include <variant>

namespace eelgrasslift {

/// Either a value or a typed error. Every library defines its own error type.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// Visitor made of several lambdas, for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/// Calls the handler that accepts the alternative held by variant and returns its result.
template <typename Variant, typename... Handlers>
decltype(auto) match(Variant &&variant, Handlers &&...handlers)
{
    return std::visit(Overloaded{std::forward<Handlers>(handlers)...}, std::forward<Variant>(variant));
}

} // namespace eelgrasslift
