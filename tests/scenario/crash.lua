-- Guards against a request that crashes one engine after another, and against losing the requests that run on the
-- same engines.

check_crashing_request({"--token-ms", "5"}, function(fleet)
    for i, engine in ipairs(fleet.engines) do
        if exit_code(engine) then
            fleet.engines[i] = restart_standin(engine)
        end
    end
end)
