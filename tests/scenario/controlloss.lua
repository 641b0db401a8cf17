-- Guards against accepted rules that are lost, applied twice or reverted when control members are paused, are
-- killed or lose their disk, or when all entries restart.

local fleet = start_fleet{controls = true}

--- Waits for a control member with a lease and returns it.
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

local function running_members()
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

--- Rules with an additional account that identifies the change.
local function changed_rules(number)
    return fleet_rules("account extra-" .. number .. " key-sha256=" .. runner.sha256("extra-" .. number)
                       .. " domain=kapana rate=1 burst=1 concurrent=1 share=1 classes=label services=stock  # test: change")
end

await_everywhere(1)

-- The leader is paused: the others elect a new leader, and the old one must not act as leader when it is resumed.
local paused = leader()
paused.is_down = true
pause_process(paused)
apply_rules(running_members(), changed_rules(2), "--base", "1", "--change-id", runner.uuid())
await_everywhere(2)
resume_process(paused)
paused.is_down = false
eventually("the resumed leader to become a follower", function()
    local state = state_of(paused)
    return state and not state.has_lease and state.rules_version == 2, state and state.rules_version
end)
report("a change was accepted while the leader was paused, and the resumed one became a follower")

-- The leader is killed. The same change is sent twice with one change id and gets the same answer; another change on
-- the same base is a conflict.
local killed = leader()
killed.is_down = true
kill(killed)
local id = runner.uuid()
apply_rules(running_members(), changed_rules(3), "--base", "2", "--change-id", id)
apply_rules(running_members(), changed_rules(3), "--base", "2", "--change-id", id)
await_everywhere(3)
local other = command(running_members(), "apply", runner.folder() .. "/submitted.rules", "--author", "scenario",
                      "--base", "2", "--change-id", runner.uuid())
expect_equal(other.code, 3, "exit code of a second change on the same base: " .. other.output)
report("a change sent twice became one version, another change on the same base was a conflict")

-- The killed member's disk is lost and a new member replaces it. Then a second member is killed; no accepted change
-- may be lost.
wipe_data(killed)
local survivor = running_members()[1]
local replacement = start_control{name = killed.name .. "-new", domain = killed.domain, vm_list = fleet.vm_list,
                                  weight_store = fleet.weight_store, join = {survivor}}
table.insert(fleet.controls, replacement)
eventually("the new member to become a voter", function()
    local result = command(running_members(), "members", "--json")
    local voters = select(2, result.output:gsub('"voter": ?true', ""))
    return result.code == 0 and voters == 4, result.output
end)
local listing = command(running_members(), "members", "--json")
for _, member in ipairs(runner.decode(listing.output).members or {}) do
    if not member.live and member.id then
        local removed = command(running_members(), "members", "remove", member.id, "--author", "scenario")
        expect_equal(removed.code, 0, "exit code of the removal of a lost member: " .. removed.output)
    end
end
local second = running_members()[1]
second.is_down = true
kill(second)
apply_rules(running_members(), changed_rules(4), "--base", "3", "--change-id", runner.uuid())
await_everywhere(4)
local shown = command(running_members(), "show")
expect(shown.output:find("extra-4", 1, true), "the shown rules are not the last accepted ones: " .. shown.output)
report("a second member was killed right after the replacement and no accepted change was lost")

-- All entries restart and must have the last accepted rules.
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
