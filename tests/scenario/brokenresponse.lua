-- Guards against a service's response with an invalid status, a malformed head or a reset that reaches a caller, is kept for
-- its key, or holds up the caller until its call times out.

local LIMIT_MS = 2500 -- half the service's timeout

local fleet = start_fleet{engines = 1, services = 1}
local service = fleet.services[1]

-- The relay in front of the service would turn its reset into the end of the connection.
service.relays[""] = service.ports[""]
set_vms(fleet.vm_list, fleet.targets)
for _, entry in ipairs(fleet.entries) do
    eventually(entry.name .. " to use the address of the service itself", function()
        for _, target in ipairs((state_of(entry) or {}).targets or {}) do
            if target.id == service.name then
                return target.address == service.ports[""] and target.state == "live", target.state
            end
        end
    end)
end

--- Sends a request through the entry while the service responds with the fault of the row to the next `count` requests.
local function call(entry, row, count, method, path, body, key)
    fault(service, {fault = row.fault, status = row.status, bytes = row.bytes, reset = row.reset, count = count})
    local started = runner.unix_now()
    local response = request{address = entry.ports.caller, method = method, path = "/services/stock" .. path,
                             headers = {Authorization = authorization("clerk"), ["Idempotency-Key"] = key}, body = body,
                             timeout_ms = 60000}
    local elapsed = runner.unix_now() - started
    fault(service, {fault = "none"})
    expect(elapsed < LIMIT_MS, string.format("%s %s took %d ms, %s", method, path, elapsed, row.name))
    return response
end

local function check_unknown(response, what)
    expect_equal(response.status, 504, "status of " .. what .. ": " .. response.body .. (response.error or ""))
    expect_equal(response.headers["eelgrasslift-outcome"], "unknown", "outcome of " .. what)
    expect_equal(response.json.error.code, "outcome-unknown", "error of " .. what)
end

--- The retry budget is a tenth of the requests. Successes also keep the service from being ejected.
local function earn_retries(entry, count)
    for _ = 1, 10 * count do
        local response = call(entry, {name = "no fault", fault = "none"}, 0, "GET", "/shelves")
        expect_equal(response.status, 200, "status without a fault")
    end
end

local function check_row(entry, row)
    local name = row.name
    local body = string.format('{"tray":"%s"}', name)
    local key = runner.uuid()
    check_unknown(call(entry, row, 1, "POST", "/reservations", body, key), "a reservation, " .. name)
    check_unknown(call(entry, row, 0, "POST", "/reservations", body, key), "a repeated reservation, " .. name)
    expect_equal(runs_of(body, {service}), 1, "runs of a reservation, " .. name)
    check_unknown(call(entry, row, 1, "POST", "/confirmations", body), "a confirmation without a key, " .. name)
    expect_equal(runs_of(body, {service}), 2, "runs of a reservation and a confirmation, " .. name)

    earn_retries(entry, 1)
    local again = call(entry, row, 1, "GET", "/shelves")
    expect_equal(again.status, 200, "status of an idempotent request, " .. name .. ": " .. again.body)
    expect(again.json and again.json.shelves, "body of an idempotent request, " .. name)
    report(name)
end

local function status_row(fault_name, status)
    return {name = string.format("%s %03d", fault_name, status), fault = fault_name, status = status}
end

local rows = {}
for _, status in ipairs{0, 1, 99, 101, 600, 999} do
    table.insert(rows, status_row("status", status))
end
for _, status in ipairs{0, 99, 600} do
    table.insert(rows, status_row("status-open", status))
end
local malformed_lines = {"X A: b", "X-A : b", "X-A\t: b", "X\0A: b", "X\1A: b", "X\x0bA: b", "X\x7fA: b", "X\u{e9}: b", ": b",
                         "X-A", "Content-Length : 3", "Content Length: 3", "Transfer-Encoding : chunked"}
for _, line in ipairs(malformed_lines) do
    for name, framing in pairs{["length"] = "Content-Length: 2\r\n", ["no length"] = ""} do
        table.insert(rows, {name = string.format("%q, %s", line, name), fault = "raw",
                            bytes = "HTTP/1.1 201 Created\r\n" .. framing .. line .. "\r\n\r\n{}"})
    end
end
for name, head in pairs{["no length"] = "HTTP/1.1 201 Created\r\n", ["HTTP/1.0"] = "HTTP/1.0 201 Created\r\n",
                        ["404"] = "HTTP/1.1 404 Not Found\r\n"} do
    table.insert(rows, {name = "reset, " .. name, fault = "raw", bytes = head .. "\r\n{}", reset = true})
end
for _, row in ipairs(rows) do
    check_row(fleet.entries[1], row)
end

for name, framing in pairs{["length"] = "Content-Length: 2\r\n", ["no length"] = ""} do
    local row = {name = "sound, " .. name, fault = "raw", bytes = "HTTP/1.1 201 Created\r\n" .. framing .. "\r\n{}"}
    local response = call(fleet.entries[1], row, 1, "POST", "/confirmations", row.name)
    expect_equal(response.status, 201, "status of a whole response, " .. row.name)
    expect_equal(response.body, "{}", "body of a whole response, " .. row.name)
end

-- Each attempt fails, after which the entry ejects the service.
for i, status in ipairs{0, 101, 600} do
    local row = status_row("status", status)
    earn_retries(fleet.entries[i], 2)
    check_unknown(call(fleet.entries[i], row, 100, "GET", "/shelves"), "an idempotent request without an answer, " .. status)
    report("status %03d in each attempt", status)
end
