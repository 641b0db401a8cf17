#include "luajson.h"

#include <stdexcept>
#include <string>

namespace eelgrasslift::scenario {

using nlohmann::json;

namespace {

std::string toText(lua_State *lua, int index)
{
    size_t size = 0;
    const char *text = lua_tolstring(lua, index, &size);
    return {text, size};
}

bool isArray(lua_State *lua, int table)
{
    if (lua_rawlen(lua, table) > 0)
        return true;
    if (lua_getmetatable(lua, table) == 0)
        return false;
    const bool isMarked = lua_getfield(lua, -1, "array") != LUA_TNIL;
    lua_pop(lua, 2);
    return isMarked;
}

json tableToJson(lua_State *lua, int table)
{
    if (isArray(lua, table)) {
        json result = json::array();
        for (lua_Unsigned i = 1; i <= lua_rawlen(lua, table); ++i) {
            lua_rawgeti(lua, table, static_cast<lua_Integer>(i));
            result.push_back(toJson(lua, lua_gettop(lua)));
            lua_pop(lua, 1);
        }
        return result;
    }
    json result = json::object();
    lua_pushnil(lua);
    while (lua_next(lua, table) != 0) {
        // The key is copied, because converting a numeric key in place would break the iteration of lua_next.
        lua_pushvalue(lua, -2);
        const std::string key = toText(lua, -1);
        lua_pop(lua, 1);
        result[key] = toJson(lua, lua_gettop(lua));
        lua_pop(lua, 1);
    }
    return result;
}

} // namespace

json toJson(lua_State *lua, int index)
{
    switch (lua_type(lua, index)) {
    case LUA_TNIL:
    case LUA_TNONE:
        return nullptr;
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, index) != 0)
            return static_cast<int64_t>(lua_tointeger(lua, index));
        return lua_tonumber(lua, index);
    case LUA_TSTRING:
        return toText(lua, index);
    case LUA_TTABLE:
        lua_checkstack(lua, 8);
        return tableToJson(lua, lua_absindex(lua, index));
    default:
        throw std::runtime_error(std::string("cannot convert to JSON a Lua value of type ") +
                                 lua_typename(lua, lua_type(lua, index)));
    }
}

void pushJson(lua_State *lua, const json &value)
{
    lua_checkstack(lua, 8);
    switch (value.type()) {
    case json::value_t::boolean:
        return lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    case json::value_t::number_integer:
    case json::value_t::number_unsigned:
        return lua_pushinteger(lua, value.get<lua_Integer>());
    case json::value_t::number_float:
        return lua_pushnumber(lua, value.get<double>());
    case json::value_t::string: {
        const auto &text = value.get_ref<const std::string &>();
        lua_pushlstring(lua, text.data(), text.size());
        return;
    }
    case json::value_t::array:
        lua_newtable(lua);
        for (size_t i = 0; i < value.size(); ++i) {
            pushJson(lua, value[i]);
            lua_rawseti(lua, -2, static_cast<lua_Integer>(i + 1));
        }
        return;
    case json::value_t::object:
        lua_newtable(lua);
        for (const auto &[key, element] : value.items()) {
            pushJson(lua, element);
            lua_setfield(lua, -2, key.c_str());
        }
        return;
    default:
        lua_pushnil(lua);
    }
}

} // namespace eelgrasslift::scenario
