-- Guards against answers that are lost, repeated or delivered to the wrong caller in a fleet without faults.

local fleet = start_fleet{engine_flags = {"--token-ms", "5"}}

-- Reports and labels through all entries at the same time: each caller gets its own complete answer.
local callers = {}
for i = 1, 24 do
    local prompt = string.format("report number %d words=%d", i, 50 + i)
    table.insert(callers, {prompt = prompt, words = 50 + i, stream = complete(fleet.entries[i % 3 + 1], prompt)})
end
for i = 1, 6 do
    local prompt = string.format("label number %d words=12", i)
    local response = complete_whole(fleet.entries[i % 3 + 1], prompt, {key = "cashier"})
    expect_equal(response.status, 200, "status of a label: " .. response.body .. (response.error or ""))
    expect_equal(response.headers["eelgrasslift-outcome"], "ran", "outcome of a label")
    check_whole(response.json.choices[1].text, prompt, 12)
end
for _, caller in ipairs(callers) do
    check_complete(caller.stream, caller.prompt, caller.words)
    expect_equal(runs_of(caller.prompt, fleet.engines), 1, "runs of " .. caller.prompt)
end
report("24 reports and 6 labels are complete, each from one run")

-- When a caller disconnects, its slot at the engine becomes free.
local abandoned = complete(fleet.entries[1], "gone words=100000")
await_events(abandoned, 3)
local engine = engine_of(fleet, "gone words=100000")
close_stream(abandoned)
eventually("the engine to cancel the generation", function()
    for _, run in ipairs(standin_runs(engine).runs) do
        if run.prompt == "gone words=100000" then
            return run.state == "cancelled"
        end
    end
end)
report("a generation without a caller is cancelled")

-- A reservation runs once, however often and at whichever entry its key is sent again.
local key = runner.uuid()
local first = reserve(fleet.entries[1], key, {tray = 7})
expect_equal(first.status, 201, "status of a reservation: " .. first.body)
for _, entry in ipairs(fleet.entries) do
    local again = reserve(entry, key, {tray = 7})
    expect_equal(again.status, 201, "status of a repeated reservation at " .. entry.name .. ": " .. again.body)
    expect_equal(again.body, first.body, "answer of a repeated reservation")
end
expect_equal(runs_of('{"tray":7}', fleet.services), 1, "runs of a reservation")
local reused = reserve(fleet.entries[1], key, {tray = 8})
expect_equal(reused.status, 422, "status of a reused key")
expect_equal(runs_of('{"tray":8}', fleet.services), 0, "runs of a reused key")
report("a reservation ran once")

-- The outcome not-run is only reported if no service ran the request, and a lost response is reported as unknown.
fault(fleet.services[1], {fault = "refuse", count = 1000})
fault(fleet.services[2], {fault = "refuse", count = 1000})
fault(fleet.services[3], {fault = "refuse", count = 1000})
local refused = reserve(fleet.entries[3], runner.uuid(), {tray = 9})
expect_equal(refused.headers["eelgrasslift-outcome"], "not-run", "outcome of a refused reservation")
expect_equal(runs_of('{"tray":9}', fleet.services), 0, "runs of a refused reservation")
for _, service in ipairs(fleet.services) do
    fault(service, {fault = "run-then-close", count = 1000})
end
local lost = reserve(fleet.entries[3], runner.uuid(), {tray = 10})
expect_equal(lost.headers["eelgrasslift-outcome"], "unknown", "outcome of a reservation whose response was lost")
expect_equal(runs_of('{"tray":10}', fleet.services), 1, "runs of a reservation whose response was lost")
report("reported outcomes are accurate")

local bad = request{address = fleet.entries[1].ports.caller, method = "POST", path = "/v1/completions",
                    headers = {Authorization = "Bearer wrong"}, body = {model = "planner", prompt = "x"}}
expect_equal(bad.status, 401, "status of a bad key")
