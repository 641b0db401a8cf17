-- Guards against planned shutdowns that interrupt streams or reservations.

local fleet = start_fleet{engine_flags = {"--token-ms", "5"}, entry_flags = {"--drain-accept", "1s"}}

local function open_streams(count, words)
    local callers = {}
    for i = 1, count do
        local prompt = string.format("drained %d of %d words=%d", i, count, words)
        local caller = {prompt = prompt, words = words, stream = complete(fleet.entries[i % 3 + 1], prompt)}
        table.insert(callers, caller)
    end
    for _, caller in ipairs(callers) do
        await_events(caller.stream, 5)
    end
    return callers
end

local function check_all(callers)
    for _, caller in ipairs(callers) do
        check_complete(caller.stream, caller.prompt, caller.words)
        expect_equal(runs_of(caller.prompt, fleet.engines), 1, "runs of " .. caller.prompt)
    end
end

-- An engine drains: its streams continue, and other engines take new requests.
local callers = open_streams(9, 1000)
local engine = fleet.engines[1]
term(engine)
for i = 1, 20 do
    check_complete(complete(fleet.entries[i % 3 + 1], "meanwhile " .. i .. " words=5"), "meanwhile " .. i .. " words=5", 5)
end
check_all(callers)
expect_equal(await_exit(engine), 0, "exit code of a drained engine")
report("engine drained")

-- A service target drains: no reservation is lost or run twice.
term(fleet.services[1])
for i = 1, 20 do
    local key = runner.uuid()
    -- A refusal by the draining target reaches the caller as not-run; the caller then retries with the same key.
    eventually("a reservation during a drain", function()
        local response = reserve(fleet.entries[i % 3 + 1], key, {drained_tray = i .. "."})
        local outcome = response.headers["eelgrasslift-outcome"]
        expect(response.status == 201 or outcome == "not-run", "a reservation during a drain: " .. response.body)
        return response.status == 201
    end)
    expect_equal(runs_of('"drained_tray":"' .. i .. '."', fleet.services), 1, "runs of reservation " .. i)
end
expect_equal(await_exit(fleet.services[1]), 0, "exit code of a drained service")
report("service drained")

-- All entries drain, one after the other: each fails its health check first, and its streams continue.
callers = open_streams(6, 1500)
for _, entry in ipairs(fleet.entries) do
    term(entry)
    eventually(entry.name .. " to become unhealthy or end", function()
        return exit_code(entry) or not is_healthy(entry)
    end)
end
check_all(callers)
for _, entry in ipairs(fleet.entries) do
    expect_equal(await_exit(entry), 0, "exit code of " .. entry.name)
end
report("entries drained")
