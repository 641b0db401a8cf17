-- Guards against faults in the stand-ins and in the scenario language, on which the other scenarios rely.

local engine = start_standin{kind = "engine", name = "runner-1", domain = "trakiya",
                             flags = {"--token-ms", "5", "--slots", "2", "--memory", "400"}}
local service = start_standin{kind = "service", name = "stock-1", domain = "trakiya"}
local list = start_standin{kind = "vmlist", name = "vm-list"}

local function complete(prompt, arguments)
    local body = arguments or {}
    body.model, body.prompt, body.stream = "planner", prompt, true
    return stream{address = engine.ports[""], path = "/v1/completions", body = body}
end

local function check_engine_answer(caller, prompt, words)
    local state = await_end(caller)
    expect_equal(state.status, 200, "status of the engine")
    local answer = read_answer(caller)
    expect_equal(#answer.tokens, words, "tokens of the engine")
    expect(answer.is_done, "the engine must end its stream")
    return check_tokens(answer.tokens, prompt, 0)
end

-- A stream is complete, and its generation can be read again from a given index.
local first = complete("first words=40", {request_id = "r-1"})
local generation = check_engine_answer(first, "first words=40", 40)
local again = stream{address = engine.ports[""], method = "GET",
                     path = "/v1/generations/" .. generation .. "?from=31"}
await_end(again)
local last_tokens = read_answer(again).tokens
expect_equal(#last_tokens, 9, "tokens from index 31")
check_tokens(last_tokens, "first words=40", 31, generation)
expect_equal(runs_of("r-1", {engine}), 1, "runs of r-1")
report("stream and resume at the exact index")

-- Two requests together exceed the memory: the one with the lower priority is preempted and still completes.
local high_priority = complete("important words=300", {priority = 1})
local low_priority = complete("other words=300", {priority = 8})
check_engine_answer(high_priority, "important words=300", 300)
check_engine_answer(low_priority, "other words=300", 300)
local runs = standin_runs(engine)
expect(runs.preemptions > 0, "memory of 400 tokens must preempt one of two requests of 300")
expect(runs.memory_peak <= 400, "the batch must stay within its memory")
report("preempted %d times, at most %d tokens in memory", runs.preemptions, runs.memory_peak)

-- Faults are visible to the caller.
for _, name in ipairs{"foreign", "duplicate", "skip"} do
    local caller = complete("faulty " .. name .. " words=200")
    await_events(caller, 5)
    fault(engine, {fault = name})
    await_end(caller)
    local seen = pcall(check_tokens, read_answer(caller).tokens, "faulty " .. name .. " words=200", 0)
    expect(not seen, "check_tokens() must detect the fault " .. name)
end
local broken = complete("broken words=2000")
await_events(broken, 5)
fault(engine, {fault = "close"})
await_end(broken)
expect(not read_answer(broken).is_done, "a stream that was closed must not have [DONE]")
request{address = engine.ports[""], method = "DELETE",
        path = "/v1/generations/" .. read_answer(broken).tokens[1].generation}
expect_equal(standin_runs(engine).running, 0, "running requests after the cancel")
report("faults and cancel")

-- A cut link retains bytes and delivers them after it is healed.
local relayed = start_standin{kind = "engine", name = "runner-2", domain = "kapana", flags = {"--token-ms", "5"}}
expect_equal(request{address = relayed.relays[""], path = "/v1/load"}.status, 200, "status through the relay")
local relayed_stream = stream{address = relayed.relays[""], path = "/v1/completions",
                       body = {model = "planner", prompt = "relayed words=100"}}
await_events(relayed_stream, 3)
cut_one_way({relayed}, {RUNNER})
local cut_response = request{address = relayed.relays[""], path = "/v1/load", timeout_ms = 300}
expect_equal(cut_response.error, "timeout", "result over a cut link")
eventually("the engine to finish while the link is cut", function()
    return standin_runs(relayed).running == 0
end)
expect(stream_state(relayed_stream).count < 101, "the end of the stream must not pass the cut link")
heal({relayed}, {RUNNER})
check_engine_answer(relayed_stream, "relayed words=100", 100)

-- A draining engine refuses new requests and finishes the accepted ones; then the relay's port refuses connections.
local last = stream{address = relayed.ports[""], path = "/v1/completions",
                    body = {model = "planner", prompt = "last words=300"}}
await_events(last, 1)
term(relayed)
local refused = eventually("a refusal by a draining engine", function()
    local answer = request{address = relayed.ports[""], method = "POST", path = "/v1/completions",
                           body = {model = "planner", prompt = "late words=1"}}
    return answer.status == 503 and answer
end)
expect_equal(refused.headers["x-leaving"], "1", "X-Leaving")
check_engine_answer(last, "last words=300", 300)
expect_equal(await_exit(relayed), 0, "exit code after a drain")
eventually("refused connections", function()
    return request{address = relayed.relays[""], path = "/v1/load"}.status == 0
end)
report("drain")

-- The crash marker aborts the process; the journal still has the run.
local crashing = complete("doomed CRASH-ENGINE words=10", {request_id = "r-crash"})
expect(await_exit(engine) ~= 0, "the crash marker must abort the engine")
await_end(crashing)
expect_equal(runs_of("r-crash", {engine}), 1, "runs of the request that crashed the engine")

-- The service counts each run, also when its response is lost.
fault(service, {fault = "run-then-close"})
local function reserve()
    return request{address = service.ports[""], method = "POST", path = "/reservations",
                   headers = {["Idempotency-Key"] = "k-1"}, body = {tray = 7}}
end
expect_equal(reserve().status, 0, "status of a response that was lost")
expect_equal(reserve().status, 201, "status of a reservation")
fault(service, {fault = "refuse"})
expect_equal(reserve().headers["x-not-run"], "1", "X-Not-Run")
expect_equal(runs_of("k-1", {service}), 2, "runs of k-1")

-- The VM list can return to an older version and be unavailable.
set_vms(list, {service})
set_vms(list, {}, {service})
local function listed()
    return request{address = list.ports[""], path = "/vms"}
end
expect_equal(listed().json.version, 2, "list version")
fault(list, {fault = "older"})
expect_equal(listed().json.vms[1].state, "live", "state in the older list")
fault(list, {fault = "unavailable"})
expect_equal(listed().status, 503, "status of an unavailable list")
report("service and VM list")
