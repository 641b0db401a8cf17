-- Guards against answers that are lost, mixed from two generations or falsely reported as complete when an engine
-- is killed.

-- One millisecond per prompt token, so that context=4000 delays the first token by 4 s.
local fleet = start_fleet{engine_flags = {"--token-ms", "5", "--prefill-ms", "1"}}

local early = "early words=60 context=4000"
local early_caller = complete(fleet.entries[1], early)
local first_engine = engine_of(fleet, early)
local neighbour = complete(fleet.entries[2], "neighbour words=400")
await_events(neighbour, 1)
local neighbour_engine = engine_of(fleet, "neighbour words=400")
kill(first_engine)
check_complete(early_caller, early, 60)
expect_equal(runs_of(early, fleet.engines), 2, "runs of a request whose engine died before the first token")
if neighbour_engine ~= first_engine then
    check_complete(neighbour, "neighbour words=400", 400)
else
    check_incomplete(neighbour, "neighbour words=400")
end
report("engine killed before the first token: the request ran again on another engine")
restart_standin(first_engine)

for i, engine in ipairs(fleet.engines) do
    if engine == first_engine then
        fleet.engines[i] = find_process(engine.name)
    end
end
await_targets(fleet.entries[1], fleet.engines)

local late = "late words=4000"
local late_caller = complete(fleet.entries[1], late)
await_events(late_caller, 20)
local second_engine = engine_of(fleet, late)
kill(second_engine)
local answer = check_incomplete(late_caller, late)
expect(#answer.tokens >= 20, "the tokens before the kill must have been delivered")
expect_equal(runs_of(late, fleet.engines), 1, "runs of a request whose engine died after the first token")
report("engine killed after %d tokens: the caller received an error", #answer.tokens)

local whole = "whole words=400"
local whole_caller = stream{address = fleet.entries[3].ports.caller, path = "/v1/completions",
                            headers = {Authorization = authorization("cashier")},
                            body = {model = "planner", prompt = whole, class = "label"}}
local third_engine = engine_of(fleet, whole)
eventually("more than 20 tokens of a label", function()
    for _, run in ipairs(standin_runs(third_engine).runs) do
        if run.prompt == whole then
            return run.produced > 20
        end
    end
end)
kill(third_engine)
local state = await_end(whole_caller)
expect_equal(state.status, 200, "status of a label whose engine died: " .. state.body)
check_whole(runner.decode(state.body).choices[1].text, whole, 400)
report("engine killed during a request that is not streamed: it ran again on another engine")
