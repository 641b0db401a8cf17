-- Guards against a request that crashes one engine after another while each engine is back at once under the same
-- address, and against losing the requests that run on the same engines.

check_crashing_request({"--token-ms", "5", "--respawn"}, function() end)
