-- Guards against a request that crashes engine after engine, and against the loss of its neighbours.

local DEATHS = 2 -- quarantine rule of fleet_rules()

local fleet = start_fleet{engines = 4, engine_flags = {"--token-ms", "5"}}
local neighbours = {}
for i = 1, 8 do
    local prompt = string.format("neighbour %d words=300", i)
    table.insert(neighbours, {prompt = prompt, stream = stream{
        address = fleet.entries[i % 3 + 1].ports.caller, path = "/v1/completions",
        headers = {Authorization = authorization("cashier")},
        body = {model = "planner", prompt = prompt, class = "label"}}})
end
for _, neighbour in ipairs(neighbours) do
    engine_of(fleet, neighbour.prompt)
end

local prompt = "CRASH-ENGINE words=10"
local quarantined = 0
for attempt = 1, 9 do
    local answer = complete_whole(fleet.entries[attempt % 3 + 1], prompt, {timeout_ms = 120000})
    expect(answer.status ~= 200, "a request that crashes its engine has no answer")
    if answer.status == 422 then
        expect_equal(answer.json.error.code, "request-quarantined", "code of the refusal")
        expect_equal(answer.headers["eelgrasslift-outcome"], "not-run", "outcome of a quarantined request")
        quarantined = quarantined + 1
    end
    for i, engine in ipairs(fleet.engines) do
        if exit_code(engine) then
            fleet.engines[i] = restart_standin(engine)
        end
    end
end
local runs = runs_of("CRASH-ENGINE", fleet.engines)
expect(runs <= DEATHS, string.format("the request crashed %d engines, the bound is %d", runs, DEATHS))
expect(quarantined > 0, "the request must be quarantined")
report("crashed %d engines over 9 attempts; %d were refused as quarantined", runs, quarantined)

for _, neighbour in ipairs(neighbours) do
    local state = await_end(neighbour.stream)
    expect_equal(state.status, 200, "status of " .. neighbour.prompt .. ": " .. (state.body or ""))
    check_whole(runner.decode(state.body).choices[1].text, neighbour.prompt, 300)
end
report("all neighbours completed")
