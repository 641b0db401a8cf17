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

--- Starts a stand-in: kind "engine", "service", "weightstore" or "vmlist", name, domain, flags (list). Other
-- processes reach it at its relay's address, which is also the address in the VM list.
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

--- Starts an ended stand-in again at the same relay address.
function restart_standin(standin)
    return start_standin(standin.arguments)
end

--- Sets a fault of a stand-in, such as {fault = "stall", ms = 100}.
function fault(standin, document)
    local response = request{address = standin.ports[""], method = "POST", path = "/standin/fault", body = document}
    expect_equal(response.status, 200, "status of " .. standin.name .. " when a fault is set")
end

--- What a stand-in reports at /standin/runs.
function standin_runs(standin)
    return request{address = standin.ports[""], path = "/standin/runs"}.json
end

--- Sets the VM list to the given live and leaving stand-ins, which must have a domain. Returns its version.
function set_vms(vm_list, live, leaving)
    local vms = array{}
    for state, group in pairs{live = live, leaving = leaving or {}} do
        for _, standin in ipairs(group) do
            table.insert(vms, {id = standin.name, address = standin.relays[""], domain = standin.domain,
                               state = state})
        end
    end
    local response = request{address = vm_list.ports[""], method = "POST", path = "/vms", body = {vms = vms}}
    expect_equal(response.status, 200, "status of the VM list when it is set")
    return response.json.version
end

local function listen_flags(args, process, ports)
    for _, port in ipairs(ports) do
        append(args, "--" .. port .. "-listen", "127.0.0.1:0")
    end
    append(args, "--advertise-peer", process.relays.peer)
end

--- Starts a control member: name, domain, vm_list, weight_store, init (first member of a new cluster),
-- join (list of members). A restart uses the same data folder.
function start_control(arguments)
    local data = runner.folder() .. "/data-" .. arguments.name
    local is_initialised = false
    local process = start{
        name = arguments.name,
        ports = {"operator", "peer"},
        env = SECRETS,
        args = function(process)
            if arguments.init and not is_initialised then
                is_initialised = true
                local result = run_program("control-init", "--data", data, "--peer-listen", process.relays.peer)
                expect_equal(result.code, 0, "exit code of control-init: " .. result.output)
            end
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

--- Starts an entry: name, domain, slot, entries_per_domain, seeds (processes), vm_list, flags, keeps_rules (with
-- a data folder, in which it stores accepted rules).
function start_entry(arguments)
    local data = runner.folder() .. "/data-" .. arguments.name
    local process = start{
        name = arguments.name,
        ports = {"caller", "operator", "peer"},
        env = SECRETS,
        args = function(process)
            local args = {runner.program, "entry", "--domain", arguments.domain}
            listen_flags(args, process, {"caller", "operator", "peer"})
            local seeds = #arguments.seeds > 0 and addresses(arguments.seeds, "peer") or process.relays.peer
            append(args, "--seeds", seeds, "--vm-list", "http://" .. arguments.vm_list.relays[""],
                   "--record-slot", arguments.slot or 1, "--entries-per-domain", arguments.entries_per_domain or 1)
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

-- Fleets ----------------------------------------------------------------------------------------------------

local KEYS = {planner = "scenario-planner-key", clerk = "scenario-clerk-key", cashier = "scenario-cashier-key"}

--- Rules of a small fleet: accounts planner (trakiya; reports, labels), cashier (kapana; labels) and clerk
-- (maritsa; stock). `extra` is appended.
function fleet_rules(extra)
    local function sha(name)
        return runner.sha256(KEYS[name])
    end
    return table.concat({
        "fleet plovdiv stall-weight=80 leave-bound=3s  # test: scenario",
        "domain trakiya  # test: scenario",
        "domain kapana  # test: scenario",
        "domain maritsa  # test: scenario",
        "model planner max-tokens=40000 memory-per-token=1  # test: scenario",
        "class report models=planner priority=2 delivery=stream deadline=60s stall-limit=2s queue=200 restarts=2  # test: scenario",
        "class label models=planner priority=1 delivery=whole deadline=60s stall-limit=1s queue=400 restarts=2  # test: scenario",
        "service stock timeout=5s records=domain keep=24h  # test: scenario",
        "route stock-shelves service=stock method=GET path=/shelves idempotent=yes  # test: scenario",
        "targets planners match=runner-* kind=engine models=planner fencing=yes slots=16 memory=60000  # test: scenario",
        "targets stock match=stock-* kind=service service=stock slots=64  # test: scenario",
        "account planner key-sha256=" .. sha("planner") .. " domain=trakiya rate=500 burst=500 concurrent=200 share=3 classes=report,label services=stock  # test: scenario",
        "account cashier key-sha256=" .. sha("cashier") .. " domain=kapana rate=500 burst=500 concurrent=200 share=2 classes=label services=stock  # test: scenario",
        "account clerk key-sha256=" .. sha("clerk") .. " domain=maritsa rate=500 burst=500 concurrent=200 share=1 classes=label services=stock  # test: scenario",
        "retry default budget=10% attempts=3 backoff=50ms..2s  # test: scenario",
        "quarantine default deaths=2 hold=1h  # test: scenario",
        "weights store rate=60 burst=10  # test: scenario",
        extra or "",
    }, "\n") .. "\n"
end

--- Starts stand-ins and entries: entries (per domain, default 1), engines (3), services (3), engine_flags,
-- entry_flags, service_flags, list_flags, extra_rules. With `controls`, three control members accept the rules
-- first; without, each entry starts with a stored copy of the accepted rules. Targets and entries are assigned to
-- the domains in turn.
function start_fleet(arguments)
    arguments = arguments or {}
    local fleet = {engines = {}, services = {}, entries = {}, controls = {}}
    fleet.vm_list = start_standin{kind = "vmlist", name = "vm-list", flags = arguments.list_flags}
    for i = 1, arguments.engines or 3 do
        table.insert(fleet.engines, start_standin{kind = "engine", name = "runner-" .. i, flags = arguments.engine_flags,
                                                  domain = DOMAINS[(i - 1) % 3 + 1]})
    end
    for i = 1, arguments.services or 3 do
        table.insert(fleet.services, start_standin{kind = "service", name = "stock-" .. i, flags = arguments.service_flags,
                                                   domain = DOMAINS[(i - 1) % 3 + 1]})
    end
    fleet.targets = {table.unpack(fleet.engines)}
    table.move(fleet.services, 1, #fleet.services, #fleet.targets + 1, fleet.targets)
    set_vms(fleet.vm_list, fleet.targets)
    if arguments.controls then
        start_controls(fleet, arguments)
    end
    start_entries(fleet, arguments)
    return fleet
end

--- Starts three control members, one per domain, and submits the rules for acceptance.
function start_controls(fleet, arguments)
    fleet.weight_store = start_standin{kind = "weightstore", name = "weight-store"}
    for i, domain in ipairs(DOMAINS) do
        table.insert(fleet.controls, start_control{name = "control-" .. i, domain = domain, vm_list = fleet.vm_list,
                                                   weight_store = fleet.weight_store, init = i == 1,
                                                   join = {fleet.controls[1]}})
    end
    await_voters(fleet.controls, 3)
    apply_rules(fleet.controls, fleet_rules(arguments.extra_rules))
end

--- Starts the entries of a fleet and waits until they have rules, targets and peers and accept reservations.
function start_entries(fleet, arguments)
    local per_domain = arguments.entries or 1
    local seeds = {table.unpack(fleet.controls)}
    for i, domain in ipairs(DOMAINS) do
        for slot = 1, per_domain do
            local name = string.format("entry-%d-%d", i, slot)
            if not arguments.controls then
                runner.write_accepted_rules{folder = runner.folder() .. "/data-" .. name, version = 1,
                                            text = fleet_rules(arguments.extra_rules)}
            end
            local entry = start_entry{name = name, domain = domain, slot = slot, entries_per_domain = per_domain,
                                      seeds = seeds, vm_list = fleet.vm_list, flags = arguments.entry_flags,
                                      keeps_rules = true}
            table.insert(fleet.entries, entry)
            seeds = #fleet.controls > 0 and fleet.controls or {fleet.entries[1]}
        end
    end
    for _, entry in ipairs(fleet.entries) do
        await_rules(entry, 1)
        await_targets(entry, fleet.targets)
        await_records(entry, #fleet.entries)
    end
    for _, entry in ipairs(fleet.entries) do
        await_reservation(entry)
    end
end

--- Waits until a reservation with a new key runs. Right after the start of a fleet, keys that were created within
-- the allowed clock skew of the start are not granted, because a previous process may have granted them.
function await_reservation(entry)
    eventually(entry.name .. " to accept reservations", function()
        local response = reserve(entry, runner.uuid(), {probe = entry.name})
        return response.status == 201, response.body
    end)
end

--- Authorization header of an account.
function authorization(account)
    return "Bearer " .. KEYS[account]
end

--- Opens a streamed completion at an entry. options: class, headers, key (name of the account).
function complete(entry, prompt, options)
    options = options or {}
    local headers = options.headers or {}
    headers.Authorization = authorization(options.key or "planner")
    local body = {model = "planner", prompt = prompt, class = options.class or "report", stream = true}
    return stream{address = entry.ports.caller, path = "/v1/completions", headers = headers, body = body}
end

--- Resumes an interrupted stream at another entry by the header Last-Event-ID.
function resume(entry, prompt, last_id, options)
    options = options or {}
    options.headers = {["Last-Event-ID"] = last_id}
    return complete(entry, prompt, options)
end

--- Sends a completion that is not streamed and returns the response. options: class, key, timeout_ms.
function complete_whole(entry, prompt, options)
    options = options or {}
    return request{address = entry.ports.caller, method = "POST", path = "/v1/completions",
                   timeout_ms = options.timeout_ms or 60000,
                   headers = {Authorization = authorization(options.key or "planner")},
                   body = {model = "planner", prompt = prompt, class = options.class or "label"}}
end

--- Sends a reservation to the stock application through an entry, with an Idempotency-Key.
function reserve(entry, key, body, options)
    options = options or {}
    return request{address = entry.ports.caller, method = "POST", path = "/services/stock/reservations",
                   timeout_ms = 60000, body = body,
                   headers = {Authorization = authorization(options.key or "clerk"), ["Idempotency-Key"] = key}}
end

--- Waits until an engine of the fleet has started to run the prompt and returns it.
function engine_of(fleet, prompt)
    return eventually("an engine to run " .. prompt, function()
        for _, engine in ipairs(fleet.engines) do
            if not exit_code(engine) and runs_of(prompt, {engine}) > 0 then
                return engine
            end
        end
    end)
end

-- Operator commands and observation -------------------------------------------------------------------------

--- Runs the eelgrasslift program until it exits and returns its exit code (code) and output.
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
        local result = command(controls, "apply", path, "--author", "scenario", table.unpack(flags))
        -- 4: no leader can be reached yet.
        expect(result.code == 0 or result.code == 4, "apply: " .. result.code .. " " .. result.output)
        return result.code == 0 and result, result.output
    end)
end

--- State dump of a control member or entry; nil if it does not respond.
function state_of(process)
    local response = request{address = process.ports.operator, path = "/state", timeout_ms = 5000}
    return response.status == 200 and response.json or nil
end

--- Whether the health check of a control member or entry succeeds.
function is_healthy(process)
    return request{address = process.ports.operator, path = "/healthz", timeout_ms = 5000}.status == 200
end

--- Waits until the entry has accepted rules of at least this version.
function await_rules(entry, version)
    eventually(entry.name .. " to have rules version " .. version, function()
        local state = state_of(entry)
        return state and state.rules.version >= version, state and state.rules.version
    end)
end

--- Waits until the entry is registered as a replica of idempotency records and has the given number of entries,
-- itself included, in its peer list.
function await_records(entry, entries)
    eventually(entry.name .. " to be registered as a replica of records", function()
        local state = state_of(entry)
        local known = 0
        for _, peer in ipairs(state and state.peers or {}) do
            known = known + (peer.is_entry and 1 or 0)
        end
        return state and state.records.registered and known >= entries - 1, state and runner.encode(state.records) .. " peers " .. known
    end)
end

--- Waits until at least the given number of control members are voters.
function await_voters(controls, count)
    eventually(count .. " voting control members", function()
        local result = command(controls, "members", "--json")
        local members = result.code == 0 and runner.decode(result.output)
        return members and select(2, result.output:gsub("voter", "")) >= count, result.output
    end)
end

--- Waits until the entry lists each of the stand-ins as a live target.
function await_targets(entry, standins)
    eventually(entry.name .. " to list its targets as live", function()
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
