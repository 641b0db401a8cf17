-- Guards against streams that hang, repeat or lose tokens, or run twice, when a connection to an engine stalls, is
-- closed or delivers wrong tokens.

local fleet = start_fleet{engine_flags = {"--token-ms", "5"}}

local function check_with_fault(name, document)
    local prompt = name .. " words=600"
    local caller = complete(fleet.entries[1], prompt)
    await_events(caller, 10)
    fault(engine_of(fleet, prompt), document)
    check_complete(caller, prompt, 600)
    expect_equal(runs_of(prompt, fleet.engines), 1, "runs of " .. prompt)
    report("%s: complete, from one run", name)
end

check_with_fault("stall", {fault = "stall", ms = 120000})
check_with_fault("close", {fault = "close"})
check_with_fault("foreign", {fault = "foreign", count = 3})
check_with_fault("duplicate", {fault = "duplicate", count = 3})
check_with_fault("skip", {fault = "skip", count = 1})

-- The link between entry and engine is cut until the engine has finished the generation.
local prompt = "cut words=600"
local caller = complete(fleet.entries[2], prompt)
await_events(caller, 10)
local engine = engine_of(fleet, prompt)
cut({fleet.entries[2]}, {engine})
eventually("the engine to finish while the link is cut", function()
    return standin_runs(engine).running == 0
end)
heal({fleet.entries[2]}, {engine})
check_complete(caller, prompt, 600)
expect_equal(runs_of(prompt, fleet.engines), 1, "runs of " .. prompt)
report("cut link: complete after it was healed")
