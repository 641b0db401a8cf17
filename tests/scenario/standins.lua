-- Guards against stand-ins or runner steps that do not do what the other scenarios rely on.

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

-- A stream is complete, and a part of it can be read again under its id.
local first = complete("first words=40", {request_id = "r-1"})
local generation = check_engine_answer(first, "first words=40", 40)
local again = stream{address = engine.ports[""], method = "GET",
                     path = "/v1/generations/" .. generation .. "?from=31"}
await_end(again)
local rest = read_answer(again).tokens
expect_equal(#rest, 9, "tokens from index 31")
check_tokens(rest, "first words=40", 31, generation)
expect_equal(runs_of("r-1", {engine}), 1, "runs of r-1")
report("stream and resume at the exact index")

-- Two requests that outgrow the memory: the less important one is preempted and still completes.
local important = complete("important words=300", {priority = 1})
local other = complete("other words=300", {priority = 8})
check_engine_answer(important, "important words=300", 300)
check_engine_answer(other, "other words=300", 300)
local runs = standin_runs(engine)
expect(runs.preemptions > 0, "memory of 400 tokens must preempt one of two requests of 300")
expect(runs.memory_peak <= 400, "the batch must stay within its memory")
report("preempted %d times, at most %d tokens in memory", runs.preemptions, runs.memory_peak)

-- Faults reach the caller.
for _, name in ipairs{"foreign", "duplicate", "skip"} do
    local caller = complete("faulty " .. name .. " words=200")
    await_events(caller, 5)
    fault(engine, {fault = name})
    await_end(caller)
    local seen = pcall(check_tokens, read_answer(caller).tokens, "faulty " .. name .. " words=200", 0)
    expect(not seen, "the check must notice the fault " .. name)
end
local broken = complete("broken words=2000")
await_events(broken, 5)
fault(engine, {fault = "close"})
await_end(broken)
expect(not read_answer(broken).is_done, "a closed stream has no end")
request{address = engine.ports[""], method = "DELETE",
        path = "/v1/generations/" .. read_answer(broken).tokens[1].generation}
expect_equal(standin_runs(engine).running, 0, "requests that run after the cancel")
report("faults and cancel")

-- A cut link holds bytes back and delivers them after it is healed.
local relayed = start_standin{kind = "engine", name = "runner-2", domain = "kapana", flags = {"--token-ms", "5"}}
expect_equal(request{address = relayed.relays[""], path = "/v1/load"}.status, 200, "status through the relay")
local through = stream{address = relayed.relays[""], path = "/v1/completions",
                       body = {model = "planner", prompt = "relayed words=100"}}
await_events(through, 3)
cut_one_way({relayed}, {RUNNER})
local cut_answer = request{address = relayed.relays[""], path = "/v1/load", timeout_ms = 300}
expect_equal(cut_answer.error, "timeout", "result over a cut link")
eventually("the engine ran on behind the cut", function()
    return standin_runs(relayed).running == 0
end)
expect(stream_state(through).count < 101, "the cut must hold the end of the stream back")
heal({relayed}, {RUNNER})
check_engine_answer(through, "relayed words=100", 100)

-- A drain refuses new work and finishes the rest; the relay's port then refuses connections.
local last = stream{address = relayed.ports[""], path = "/v1/completions",
                    body = {model = "planner", prompt = "last words=300"}}
await_events(last, 1)
term(relayed)
local refused = eventually("refusal by a draining engine", function()
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

-- The crash marker aborts the process; the journal still tells what ran.
local doomed = complete("doomed CRASH-ENGINE words=10", {request_id = "r-crash"})
expect(await_exit(engine) ~= 0, "the crash marker must abort the engine")
await_end(doomed)
expect_equal(runs_of("r-crash", {engine}), 1, "runs of the request that crashed the engine")

-- The service counts each run, also when its answer is lost.
fault(service, {fault = "run-then-close"})
local function reserve()
    return request{address = service.ports[""], method = "POST", path = "/reservations",
                   headers = {["Idempotency-Key"] = "k-1"}, body = {tray = 7}}
end
expect_equal(reserve().status, 0, "status of an answer that was lost")
expect_equal(reserve().status, 201, "status of a reservation")
fault(service, {fault = "refuse"})
expect_equal(reserve().headers["x-not-run"], "1", "X-Not-Run")
expect_equal(runs_of("k-1", {service}), 2, "runs of k-1")

-- The VM list can go back and be unavailable.
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
