-- Steps shared by the scenarios of requests that crash the engine that runs them.

--- Starts a fleet with these flags of its engines, runs requests beside one that crashes its engine, and checks that this
--- one is refused after the deaths that its rule allows and that the others complete. after_attempt(fleet) is
--- called after each attempt of the crashing request.
function check_crashing_request(engine_flags, after_attempt)
    local DEATHS = 2 -- limit in the quarantine rule of fleet_rules()

    local fleet = start_fleet{engines = 4, engine_flags = engine_flags}
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
        local response = complete_whole(fleet.entries[attempt % 3 + 1], prompt, {timeout_ms = 120000})
        expect(response.status ~= 200, "a request that crashes its engine must not succeed")
        if response.status == 422 then
            expect_equal(response.json.error.code, "request-quarantined", "code of the refusal")
            expect_equal(response.headers["eelgrasslift-outcome"], "not-run", "outcome of a quarantined request")
            quarantined = quarantined + 1
        end
        after_attempt(fleet)
    end
    local runs = runs_of("CRASH-ENGINE", fleet.engines)
    expect(runs <= DEATHS, string.format("the request crashed %d engines, the bound is %d", runs, DEATHS))
    expect(quarantined > 0, "the request must be quarantined")
    report("crashed %d engines in 9 attempts; %d attempts were refused as quarantined", runs, quarantined)

    for _, neighbour in ipairs(neighbours) do
        local state = await_end(neighbour.stream)
        expect_equal(state.status, 200, "status of " .. neighbour.prompt .. ": " .. (state.body or ""))
        check_whole(runner.decode(state.body).choices[1].text, neighbour.prompt, 300)
    end
    report("all requests on the same engines completed")
end
