-- Stand-ins, control members, entries and operator commands.

local RESUME_KEY = "scenario-resume-key-0123456789abcdef"
local ADMIN_KEY = "scenario-admin-key-0123456789abcdef"
local SECRETS = {EELGRASSLIFT_ADMIN_KEY = ADMIN_KEY, EELGRASSLIFT_RESUME_KEY = RESUME_KEY}

DOMAINS = {"trakiya", "kapana", "maritsa"}

local function append(list, ...)
    for _, value in ipairs{...} do
        table.insert(list, tostring(value))
    end
end

local function addresses(group, port)
    local list = {}
    for _, process in ipairs(group) do
        table.insert(list, process.relays[port])
    end
    return table.concat(list, ",")
end

--- Starts a stand-in: kind "engine", "service", "weightstore" or "vmlist", name, domain, flags (list).
-- A free address is its relay's, which goes into the VM list.
function start_standin(arguments)
    local journal_path = runner.folder() .. "/" .. arguments.name .. ".journal"
    local args = {runner.standins .. "/standin-" .. arguments.kind, "--listen", "127.0.0.1:0"}
    if arguments.kind == "engine" or arguments.kind == "service" then
        append(args, "--journal", journal_path)
    end
    append(args, table.unpack(arguments.flags or {}))
    local standin = start{name = arguments.name, args = args, ports = {""}}
    standin.domain = arguments.domain
    standin.journal = journal_path
    standin.arguments = arguments
    return standin
end

--- Starts an ended stand-in again under the same address.
function restart_standin(standin)
    return start_standin(standin.arguments)
end

--- Sets a fault of a stand-in.
function fault(standin, document)
    local answer = request{address = standin.ports[""], method = "POST", path = "/standin/fault", body = document}
    expect_equal(answer.status, 200, "answer of " .. standin.name .. " to a fault")
end

function standin_runs(standin)
    return request{address = standin.ports[""], path = "/standin/runs"}.json
end

--- Sets the VM list. Each member of `live` and `leaving` is a stand-in with a domain.
function set_vms(vm_list, live, leaving)
    local vms = array{}
    for state, group in pairs{live = live, leaving = leaving or {}} do
        for _, standin in ipairs(group) do
            table.insert(vms, {id = standin.name, address = standin.relays[""], domain = standin.domain,
                               state = state})
        end
    end
    local answer = request{address = vm_list.ports[""], method = "POST", path = "/vms", body = {vms = vms}}
    expect_equal(answer.status, 200, "answer of the VM list")
    return answer.json.version
end

local function listen_flags(args, process, ports)
    for _, port in ipairs(ports) do
        append(args, "--" .. port .. "-listen", "127.0.0.1:0")
    end
    append(args, "--advertise-peer", process.relays.peer)
end

--- Starts a control member: name, domain, vm_list, weight_store, init (first member of a new cluster),
-- join (list of members). The data folder is kept over restarts.
function start_control(arguments)
    local data = runner.folder() .. "/data-" .. arguments.name
    local process = start{
        name = arguments.name,
        ports = {"operator", "peer"},
        env = SECRETS,
        args = function(process)
            local args = {runner.program, "control", "--data", data, "--domain", arguments.domain}
            listen_flags(args, process, {"operator", "peer"})
            append(args, "--advertise-operator", process.relays.operator)
            if arguments.join and #arguments.join > 0 then
                append(args, "--join", addresses(arguments.join, "peer"), "--seeds",
                       addresses(arguments.join, "peer"))
            end
            if arguments.vm_list then
                append(args, "--vm-list", "http://" .. arguments.vm_list.relays[""])
            end
            if arguments.weight_store then
                append(args, "--weight-store", "http://" .. arguments.weight_store.relays[""])
            end
            return args
        end,
    }
    process.data = data
    process.domain = arguments.domain
    return process
end

--- Creates the identity of a new cluster in the data folder of the member with this name.
function init_control(name)
    local data = runner.folder() .. "/data-" .. name
    local result = run_program("control-init", "--data", data)
    expect_equal(result.code, 0, "exit code of control-init: " .. result.output)
end

--- Starts an entry: name, domain, slot, entries_per_domain, seeds (processes), vm_list, flags, keeps_rules.
function start_entry(arguments)
    local data = runner.folder() .. "/data-" .. arguments.name
    local process = start{
        name = arguments.name,
        ports = {"caller", "operator", "peer"},
        env = SECRETS,
        args = function(process)
            local args = {runner.program, "entry", "--domain", arguments.domain}
            listen_flags(args, process, {"caller", "operator", "peer"})
            append(args, "--seeds", addresses(arguments.seeds, "peer"), "--vm-list",
                   "http://" .. arguments.vm_list.relays[""], "--record-slot", arguments.slot or 1,
                   "--entries-per-domain", arguments.entries_per_domain or 1)
            if arguments.keeps_rules then
                append(args, "--data", data)
            end
            append(args, table.unpack(arguments.flags or {}))
            return args
        end,
    }
    process.data = data
    process.domain = arguments.domain
    return process
end

-- Operator commands and observation -------------------------------------------------------------------------

--- Runs the program to its end and returns code and output.
function run_program(...)
    run_count = (run_count or 0) + 1
    local args = {runner.program}
    append(args, ...)
    local process = {name = "command-" .. run_count}
    process.id = runner.spawn{name = process.name, args = args, env = SECRETS}
    local code = await_exit(process)
    return {code = code, output = output(process)}
end

--- Runs an operator command against the given control members.
function command(controls, ...)
    local args = {...}
    local list = {}
    for _, control in ipairs(controls) do
        table.insert(list, control.relays.operator)
    end
    append(args, "--control", table.concat(list, ","))
    return run_program(table.unpack(args))
end

--- Writes the text to a file and submits it for acceptance; fails unless it is accepted.
function apply_rules(controls, text, ...)
    local path = runner.folder() .. "/submitted.rules"
    runner.write_file{path = path, text = text}
    local flags = {...}
    return eventually("acceptance of rules", function()
        local result = command(controls, "apply", path, table.unpack(flags))
        -- 4: no leader can be reached yet.
        expect(result.code == 0 or result.code == 4, "apply: " .. result.code .. " " .. result.output)
        return result.code == 0 and result, result.output
    end)
end

--- State dump of a control member or entry, or nothing while it does not answer.
function state_of(process)
    local answer = request{address = process.ports.operator, path = "/state", timeout_ms = 5000}
    return answer.status == 200 and answer.json or nil
end

function is_healthy(process)
    return request{address = process.ports.operator, path = "/healthz", timeout_ms = 5000}.status == 200
end

--- Waits until the entry has accepted rules of at least this version.
function await_rules(entry, version)
    eventually(entry.name .. " has rules version " .. version, function()
        local state = state_of(entry)
        return state and state.rules.version >= version, state and state.rules.version
    end)
end

--- Waits until the entry knows each of the stand-ins as a live target.
function await_targets(entry, standins)
    eventually(entry.name .. " knows its targets", function()
        local state = state_of(entry)
        local live = {}
        for _, target in ipairs(state and state.targets or {}) do
            live[target.id] = target.state == "live"
        end
        for _, standin in ipairs(standins) do
            if not live[standin.name] then
                return false, standin.name
            end
        end
        return true
    end)
end
