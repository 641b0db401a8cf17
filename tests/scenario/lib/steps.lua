-- Basic functions of the scenario language: waiting, expectations, processes, links, callers.
-- docs/scenarios.md describes the language.

local POLL_MS = 20
local DEFAULT_LIMIT_MS = 60000 -- long enough for a slow shared machine; no check depends on it
local SIGNAL = {kill = 9, term = 15, cont = 18, stop = 19}

--- The scenario runner as one end of a link, for its own requests through a relay.
RUNNER = {name = ""}

local processes = {} -- by name; the one that was started last with that name

--- Calls condition until it returns a true value and returns that value; fails after limit_ms. A second result
-- of condition is added to the failure message.
function eventually(what, condition, limit_ms)
    local deadline = runner.now() + (limit_ms or DEFAULT_LIMIT_MS)
    while true do
        local value, detail = condition()
        if value then
            return value
        end
        if runner.now() > deadline then
            error("timed out waiting for: " .. what .. (detail and (" (" .. tostring(detail) .. ")") or ""), 2)
        end
        runner.pause{ms = POLL_MS}
    end
end

--- Fails the scenario if the condition is false.
function expect(condition, message)
    if not condition then
        error("expectation failed: " .. message, 2)
    end
end

--- Fails the scenario if the values differ.
function expect_equal(actual, expected, what)
    if actual ~= expected then
        error(string.format("expectation failed: %s is %s, expected %s", what, tostring(actual), tostring(expected)), 2)
    end
end

--- Marks a table as a JSON array even if it is empty.
function array(values)
    return setmetatable(values, {array = true})
end

--- Prints a line with the time since the start of the scenario.
function report(format, ...)
    print(string.format("%6.2f s  " .. format, (runner.now() - started_at) / 1000, ...))
    io.stdout:flush()
end
started_at = runner.now()

-- Processes -----------------------------------------------------------------------------------------------

--- Starts a process and waits until it listens on all its ports.
-- spec.name, spec.args (list, or a function that returns it), spec.env (table), spec.ports (list of names; ""
-- for the only port). Other processes connect to a relay for each port, so that links can be cut; a process that
-- is started again with the same name keeps its relay addresses.
function start(spec)
    local previous = processes[spec.name]
    local process = {name = spec.name, spec = spec, ports = {}, relays = previous and previous.relays or {}}
    for _, port in ipairs(spec.ports) do
        process.relays[port] = process.relays[port] or runner.relay{name = spec.name}
    end
    local args = type(spec.args) == "function" and spec.args(process) or spec.args
    process.id = runner.spawn{name = spec.name, args = args, env = spec.env}
    processes[spec.name] = process
    for _, port in ipairs(spec.ports) do
        process.ports[port] = eventually(spec.name .. " to listen on port " .. port, function()
            local code = runner.exit_code{process = process.id}
            if code then
                error(string.format("%s ended with exit code %d:\n%s", spec.name, code, output(process)), 0)
            end
            return runner.listening{process = process.id, port = port}
        end)
        runner.relay_target{relay = process.relays[port], target = process.ports[port]}
    end
    return process
end

--- Starts an ended process again with the same flags and relay addresses.
function restart(process)
    return start(process.spec)
end

--- The process that was started last with this name.
function find_process(name)
    return processes[name]
end

--- Output of the process so far.
function output(process)
    return runner.output{process = process.id}
end

--- Exit code, or 128 + signal number; nil while the process runs.
function exit_code(process)
    return runner.exit_code{process = process.id}
end

local function send_signal(process, name)
    runner.signal{process = process.id, number = SIGNAL[name]}
end

--- Kills the process with SIGKILL and waits until it has ended.
function kill(process)
    send_signal(process, "kill")
    await_exit(process)
end

--- Sends SIGTERM; await_exit() waits for the end.
function term(process)
    send_signal(process, "term")
end

--- Pauses the process with SIGSTOP.
function pause_process(process)
    send_signal(process, "stop")
end

--- Resumes a paused process with SIGCONT.
function resume_process(process)
    send_signal(process, "cont")
end

--- Waits until the process has ended and returns its exit code.
function await_exit(process, limit_ms)
    return eventually(process.name .. " to end", function()
        return exit_code(process)
    end, limit_ms)
end

--- Removes the data folder of an ended process.
function wipe_data(process)
    expect(exit_code(process), process.name .. " must have ended before its data is removed")
    runner.remove_data(process.data)
end

-- Links -----------------------------------------------------------------------------------------------------

local function for_links(from, to, both, step)
    for _, source in ipairs(from) do
        for _, target in ipairs(to) do
            step{from = source.name, to = target.name}
            if both then
                step{from = target.name, to = source.name}
            end
        end
    end
end

--- Cuts all links between two groups (lists) of processes in both directions.
function cut(group, others)
    for_links(group, others, true, runner.cut)
end

--- Cuts only the direction from the first group to the second.
function cut_one_way(from, to)
    for_links(from, to, false, runner.cut)
end

--- Restores all links between two groups in both directions and forwards the retained bytes.
function heal(group, others)
    for_links(group, others, true, runner.heal)
    runner.resume_links()
end

-- Callers ---------------------------------------------------------------------------------------------------

--- Sends an HTTP request: address, method, path, headers, body (a table is sent as JSON), timeout_ms. The
-- response has status (0: no response, see error), headers, body and json.
function request(arguments)
    if type(arguments.body) == "table" then
        arguments.body = runner.encode(arguments.body)
    end
    local response = runner.request(arguments)
    response.json = response.body and response.body ~= "" and runner.decode(response.body) or nil
    return response
end

--- Sends a request in the background and records each event of its response. Arguments as for request().
function stream(arguments)
    if type(arguments.body) == "table" then
        arguments.body = runner.encode(arguments.body)
    end
    arguments.method = arguments.method or "POST"
    return {id = runner.open_stream(arguments), arguments = arguments}
end

--- State of a stream: status, headers, body, error, count (of events) and ended.
function stream_state(caller)
    return runner.stream_state{stream = caller.id}
end

--- Events from this position on (default 0): a list of id, type, data and at (the runner's clock, in ms).
function stream_events(caller, from)
    return runner.stream_events{stream = caller.id, from = from or 0}
end

--- Closes the connection of a stream, as a caller that disconnects.
function close_stream(caller)
    runner.close_stream{stream = caller.id}
end

--- Waits until the stream has this many events; fails if it ends before.
function await_events(caller, count, limit_ms)
    eventually(count .. " events of a stream", function()
        local state = stream_state(caller)
        if state.ended and state.count < count then
            error(string.format("the stream ended after %d events: status %d %s %s", state.count, state.status,
                                state.body or "", state.error or ""), 0)
        end
        return state.count >= count
    end, limit_ms)
end

--- Waits until the stream has ended and returns its state.
function await_end(caller, limit_ms)
    return eventually("the end of a stream", function()
        local state = stream_state(caller)
        return state.ended and state
    end, limit_ms)
end
