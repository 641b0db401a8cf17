-- Guards against a service's response with an invalid status that reaches a caller, is kept for its key, or holds up the
-- caller until its call times out.

local LIMIT_MS = 2500 -- half the service's timeout

local fleet = start_fleet{engines = 1, services = 1}
local service = fleet.services[1]

--- Sends a request through the entry while the service responds with the status to the next `count` requests.
local function call(entry, row, count, method, path, body, key)
    fault(service, {fault = row.fault, status = row.status, count = count})
    local started = runner.unix_now()
    local response = request{address = entry.ports.caller, method = method, path = "/services/stock" .. path,
                             headers = {Authorization = authorization("clerk"), ["Idempotency-Key"] = key}, body = body,
                             timeout_ms = 60000}
    local elapsed = runner.unix_now() - started
    fault(service, {fault = "none"})
    expect(elapsed < LIMIT_MS, string.format("%s %s took %d ms, %s %03d", method, path, elapsed, row.fault, row.status))
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
        local response = call(entry, {fault = "none", status = 200}, 0, "GET", "/shelves")
        expect_equal(response.status, 200, "status without a fault")
    end
end

local function check_row(entry, row)
    local name = string.format("%s %03d", row.fault, row.status)
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

local rows = {}
for _, status in ipairs{0, 1, 99, 101, 600, 999} do
    table.insert(rows, {fault = "status", status = status})
end
for _, status in ipairs{0, 99, 600} do
    table.insert(rows, {fault = "status-open", status = status})
end
for _, row in ipairs(rows) do
    check_row(fleet.entries[1], row)
end

-- Each attempt fails, after which the entry ejects the service.
for i, status in ipairs{0, 101, 600} do
    local row = {fault = "status", status = status}
    earn_retries(fleet.entries[i], 2)
    check_unknown(call(fleet.entries[i], row, 100, "GET", "/shelves"), "an idempotent request without an answer, " .. status)
    report("status %03d in each attempt", status)
end
