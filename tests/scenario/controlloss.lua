-- Guards against accepted rules that are lost, doubled or reverted when control members freeze, die, lose their
-- disk, or when every entry restarts.

local fleet = start_fleet{controls = true}

local function leader()
    return eventually("a leader with a lease", function()
        for _, control in ipairs(fleet.controls) do
            local is_usable = not control.is_down
            local state = is_usable and state_of(control)
            if state and state.has_lease then
                return control
            end
        end
        return false, "no member has a lease"
    end)
end

local function running()
    local members = {}
    for _, control in ipairs(fleet.controls) do
        if not control.is_down then
            table.insert(members, control)
        end
    end
    return members
end

local function await_everywhere(version)
    for _, entry in ipairs(fleet.entries) do
        await_rules(entry, version)
    end
end

local function change(number)
    return fleet_rules("account extra-" .. number .. " key-sha256=" .. runner.sha256("extra-" .. number)
                       .. " domain=kapana rate=1 burst=1 concurrent=1 share=1 classes=label services=stock  # test: change")
end

await_everywhere(1)

-- A frozen leader: the others elect a new one, and the old one does not answer as current when it wakes.
local frozen = leader()
frozen.is_down = true
freeze(frozen)
apply_rules(running(), change(2), "--base", "1", "--change-id", runner.uuid())
await_everywhere(2)
thaw(frozen)
frozen.is_down = false
eventually("the woken leader follows", function()
    local state = state_of(frozen)
    return state and not state.has_lease and state.rules_version == 2, state and state.rules_version
end)
report("a change was accepted while the leader was frozen, and the woken one follows")

-- The leader dies; the same change is sent again with its id and gets the first answer.
local killed = leader()
killed.is_down = true
kill(killed)
local id = runner.uuid()
apply_rules(running(), change(3), "--base", "2", "--change-id", id)
apply_rules(running(), change(3), "--base", "2", "--change-id", id)
await_everywhere(3)
local other = command(running(), "apply", runner.folder() .. "/submitted.rules", "--author", "scenario", "--base", "2",
                      "--change-id", runner.uuid())
expect_equal(other.code, 3, "exit code of a second change on the same base: " .. other.output)
report("a change sent twice became one version, another one on the same base a conflict")

-- Its disk is lost: it comes back as a new member; then a second member is lost and nothing accepted is.
wipe_data(killed)
local survivor = running()[1]
local replacement = start_control{name = killed.name .. "-new", domain = killed.domain, vm_list = fleet.vm_list,
                                  weight_store = fleet.weight_store, join = {survivor}}
table.insert(fleet.controls, replacement)
eventually("the new member votes", function()
    local result = command(running(), "members", "--json")
    local voters = select(2, result.output:gsub('"voter": ?true', ""))
    return result.code == 0 and voters == 4, result.output
end)
local old = command(running(), "members", "--json")
for _, member in ipairs(runner.decode(old.output).members or {}) do
    if not member.live and member.id then
        local removed = command(running(), "members", "remove", member.id, "--author", "scenario")
        expect_equal(removed.code, 0, "exit code of the removal of a lost member: " .. removed.output)
    end
end
local second = running()[1]
second.is_down = true
kill(second)
apply_rules(running(), change(4), "--base", "3", "--change-id", runner.uuid())
await_everywhere(4)
local shown = command(running(), "show")
expect(shown.output:find("extra-4", 1, true), "the shown rules are not the last ones: " .. shown.output)
report("a second member was lost right after the repair and nothing accepted was")

-- Every entry restarts and has the last rules.
for i, entry in ipairs(fleet.entries) do
    term(entry)
    await_exit(entry)
    fleet.entries[i] = restart(entry)
end
await_everywhere(4)
for _, entry in ipairs(fleet.entries) do
    expect_equal(state_of(entry).rules.version, 4, "version at " .. entry.name)
end
report("all entries restarted with version 4")
