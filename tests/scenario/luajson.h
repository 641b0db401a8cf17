#pragma once

#include <nlohmann/json.hpp>

extern "C" {
#include <lua.h>
}

namespace eelgrasslift::scenario {

/// Converts the Lua value at a stack index to JSON. A table becomes an array if it has an element 1 or a
/// metatable with the field `array`. Throws std::runtime_error for types without a JSON form, such as
/// functions.
nlohmann::json toJson(lua_State *lua, int index);

/// Pushes a JSON value on the Lua stack; null becomes nil.
void pushJson(lua_State *lua, const nlohmann::json &value);

} // namespace eelgrasslift::scenario
