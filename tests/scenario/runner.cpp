// Runs one scenario script. Usage: scenario-runner --lib DIR --standins DIR --program FILE SCRIPT

#include "luajson.h"
#include "scenariocontext.h"

#include <CLI/CLI.hpp>

extern "C" {
#include <lauxlib.h>
#include <lualib.h>
}

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

using namespace eelgrasslift::scenario;

namespace {

struct Settings
{
    std::string lib;
    std::string standins;
    std::string program;
    std::string script;
};

/// Calls a step with its single argument. lua_error() leaves by longjmp, so an exception is turned into a Lua
/// error only after all C++ objects of the call are destroyed.
int callStep(lua_State *lua)
{
    try {
        const auto *step =
                static_cast<const ScenarioContext::Step *>(lua_touserdata(lua, lua_upvalueindex(1)));
        pushJson(lua, (*step)(toJson(lua, 1)));
        return 1;
    } catch (const std::exception &error) {
        luaL_where(lua, 2);
        lua_pushstring(lua, error.what());
        lua_concat(lua, 2);
    }
    return lua_error(lua);
}

int addTraceback(lua_State *lua)
{
    luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
    return 1;
}

void addSteps(lua_State *lua, const ScenarioContext &context, const Settings &settings)
{
    lua_newtable(lua);
    for (const auto &[name, step] : context.steps()) {
        lua_pushlightuserdata(lua, const_cast<ScenarioContext::Step *>(&step));
        lua_pushcclosure(lua, callStep, 1);
        lua_setfield(lua, -2, name.c_str());
    }
    lua_pushstring(lua, settings.standins.c_str());
    lua_setfield(lua, -2, "standins");
    lua_pushstring(lua, settings.program.c_str());
    lua_setfield(lua, -2, "program");
    lua_setglobal(lua, "runner");
}

bool runFile(lua_State *lua, const std::string &path)
{
    lua_pushcfunction(lua, addTraceback);
    const int handler = lua_gettop(lua);
    const bool isSuccessful =
            luaL_loadfile(lua, path.c_str()) == LUA_OK && lua_pcall(lua, 0, 0, handler) == LUA_OK;
    if (!isSuccessful)
        std::cerr << lua_tostring(lua, -1) << '\n';
    lua_settop(lua, 0);
    return isSuccessful;
}

bool runScenario(const Settings &settings, const std::string &folder)
{
    ScenarioContext context(folder);
    lua_State *lua = luaL_newstate();
    luaL_openlibs(lua);
    addSteps(lua, context, settings);
    bool isSuccessful = true;
    for (const char *file : {"steps.lua", "fleet.lua", "checks.lua", "crashes.lua"})
        isSuccessful = isSuccessful && runFile(lua, settings.lib + "/" + file);
    isSuccessful = isSuccessful && runFile(lua, settings.script);
    lua_close(lua);
    return isSuccessful;
}

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "eelgrasslift-scenario-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create " + pattern);
    return pattern;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs one scenario of tests/scenario");
    Settings settings;
    app.add_option("--lib", settings.lib, "folder of the Lua steps")->required();
    app.add_option("--standins", settings.standins, "folder of the stand-ins")->required();
    app.add_option("--program", settings.program, "the eelgrasslift program")->required();
    app.add_option("script", settings.script, "the scenario")->required();
    CLI11_PARSE(app, argc, argv);

    const std::string folder = makeFolder();
    const bool isSuccessful = runScenario(settings, folder);
    if (isSuccessful)
        std::filesystem::remove_all(folder);
    else
        std::cerr << "scenario failed; logs and data are in " << folder << '\n';
    return isSuccessful ? EXIT_SUCCESS : EXIT_FAILURE;
}
