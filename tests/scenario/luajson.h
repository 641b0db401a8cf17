#pragma once

#include <nlohmann/json.hpp>

extern "C" {
#include <lua.h>
}

namespace eelgrasslift::scenario {

/// Converts a Lua value. A table is an array if it has an element 1 or a metatable with the field `array`.
/// Throws std::runtime_error for functions and the like.
nlohmann::json toJson(lua_State *lua, int index);

void pushJson(lua_State *lua, const nlohmann::json &value);

} // namespace eelgrasslift::scenario
