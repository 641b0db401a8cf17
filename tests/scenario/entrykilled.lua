-- Guards against callers that cannot resume their stream at another entry, and against reservations that run twice,
-- when the entry that they use is killed.

local fleet = start_fleet{entries = 3, engine_flags = {"--token-ms", "5"}}
local entries = {}
for _, entry in ipairs(fleet.entries) do
    entries[entry.name] = entry
end

local prompt = "carried on words=1500"
local before = complete(entries["entry-1-1"], prompt)
await_events(before, 50)
kill(entries["entry-1-1"])
await_end(before)
local first = read_answer(before)
local generation = check_tokens(first.tokens, prompt, 0)
local after = resume(entries["entry-2-1"], prompt, first.last_id)
local state = await_end(after)
local second = read_answer(after)
expect_equal(state.status, 200, "status of a resumed stream: " .. state.body)
check_tokens(second.tokens, prompt, #first.tokens, generation)
expect_equal(#first.tokens + #second.tokens, 1500, "tokens before and after the entry was killed")
expect(second.is_complete, "the resumed stream must complete")
expect_equal(runs_of(prompt, fleet.engines), 1, "runs of a resumed request")
local stolen = resume(entries["entry-2-1"], prompt, first.last_id, {key = "cashier", class = "label"})
expect_equal(await_end(stolen).status, 403, "status of a resume with the resume token of another account")
report("a stream was resumed at another entry after %d tokens", #first.tokens)

-- The entry is killed after the service has run the reservation and before it has responded.
for attempt, name in ipairs{"entry-1-2", "entry-3-1"} do
    for _, service in ipairs(fleet.services) do
        fault(service, {fault = "delay", ms = 3000, count = 1})
    end
    local key, body = runner.uuid(), runner.encode{tray = 100 + attempt}
    local interrupted = stream{address = entries[name].ports.caller, path = "/services/stock/reservations", body = body,
                        headers = {Authorization = authorization("clerk"), ["Idempotency-Key"] = key}}
    eventually("the reservation to run", function()
        return runs_of(body, fleet.services) > 0
    end)
    kill(entries[name])
    await_end(interrupted)
    for _, other in ipairs{"entry-2-1", "entry-3-2", "entry-1-3"} do
        local again = reserve(entries[other], key, body)
        expect_equal(again.headers["eelgrasslift-outcome"], "unknown", "outcome at " .. other .. ": " .. again.body)
    end
    expect_equal(runs_of(body, fleet.services), 1, "runs of a reservation whose entry " .. name .. " was killed")
    report("%s was killed during a reservation: it ran once and its outcome is reported as unknown", name)
end
for _, service in ipairs(fleet.services) do
    fault(service, {fault = "none"})
end
local fresh = reserve(entries["entry-2-1"], runner.uuid(), {tray = 200})
expect_equal(fresh.status, 201, "status of a new reservation: " .. fresh.body)
