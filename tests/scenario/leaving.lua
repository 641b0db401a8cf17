-- Guards against new work on a leaving target more than 3 s after the first evidence (VM list or refusal), also when
-- the VM list returns to an older version or is unavailable.

local BOUND_MS = 3000 -- G5 of docs/design.md

local fleet = start_fleet{engines = 4, entries = 1, engine_flags = {"--token-ms", "2"}}
local number = 0

--- Sends short requests through all entries until the given time has passed since `since`.
local function send_until(since, duration_ms)
    while runner.unix_now() < since + duration_ms do
        local callers = {}
        for _, entry in ipairs(fleet.entries) do
            number = number + 1
            local prompt = "steady " .. number .. " words=3"
            table.insert(callers, {prompt = prompt, stream = complete(entry, prompt)})
        end
        for _, caller in ipairs(callers) do
            check_complete(caller.stream, caller.prompt, 3)
        end
    end
end

local function check_no_work_after(engine, since, what)
    local late = 0
    for _, entry in ipairs(journal(engine)) do
        if entry.event == "run" and entry.at_ms > since + BOUND_MS then
            late = late + 1
        end
    end
    expect_equal(late, 0, "runs later than the bound, " .. what)
    report("%s: no run later than %d ms after the evidence", what, BOUND_MS)
end

--- All targets except the given ones.
local function without(...)
    local excluded, remaining = {...}, {}
    for _, target in ipairs(fleet.targets) do
        local is_excluded = false
        for _, engine in ipairs(excluded) do
            is_excluded = is_excluded or engine == target
        end
        if not is_excluded then
            table.insert(remaining, target)
        end
    end
    return remaining
end

send_until(runner.unix_now(), 500)
local listed, refusing = fleet.engines[1], fleet.engines[2]
expect(runs_of("steady", {listed}) > 0, "the engine must have run requests before")

set_vms(fleet.vm_list, without(listed), {listed})
local listed_at = runner.unix_now()
send_until(listed_at, BOUND_MS)
fault(fleet.vm_list, {fault = "older"})
send_until(runner.unix_now(), 2 * BOUND_MS)
check_no_work_after(listed, listed_at, "listed as leaving, then an older list")

-- The engine refuses one request as leaving, while the older list still has it as live.
fault(refusing, {fault = "refuse", count = 1})
eventually("a refusal by the engine", function()
    send_until(runner.unix_now(), 1)
    return #journal_events(refusing, "refused") > 0
end)
local refused_at = journal_events(refusing, "refused")[1].at_ms
fault(fleet.vm_list, {fault = "unavailable"})
send_until(refused_at, 3 * BOUND_MS)
check_no_work_after(refusing, refused_at, "refusal by the target while the list is unavailable")
