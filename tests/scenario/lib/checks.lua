-- Checks of the answers that callers received and of the requests that stand-ins ran.

--- Collects the recorded events of a stream: tokens (list of index, text, id, generation), is_complete, complete
-- (decoded data of the complete event), error (from the error event), last_id, is_done.
function read_answer(caller)
    local answer = {tokens = {}, is_complete = false, is_done = false}
    for _, event in ipairs(stream_events(caller)) do
        if event.id ~= "" then
            answer.last_id = event.id
        end
        if event.type == "error" then
            answer.error = runner.decode(event.data).error
        elseif event.type == "complete" then
            answer.is_complete = true
            answer.complete = runner.decode(event.data)
        elseif event.data == "[DONE]" then
            answer.is_done = true
        else
            local data = runner.decode(event.data)
            table.insert(answer.tokens, {index = data.index, text = data.choices[1].text, generation = data.id,
                                         id = event.id})
        end
    end
    return answer
end

--- Checks that the token indexes start at `from` and have no gap or repeat, that the tokens belong to the prompt
-- and that they come from one generation. Returns the generation's id from the token text.
function check_tokens(tokens, prompt, from, generation)
    local digest = runner.digest(prompt)
    for position, token in ipairs(tokens) do
        local expected_index = from + position - 1
        expect_equal(token.index, expected_index, "token index of " .. prompt)
        local index, text_digest, text_generation = token.text:match("^(%d+)%-(%x+)%-(%S+) $")
        expect(index, "token text is malformed: " .. token.text)
        expect_equal(tonumber(index), expected_index, "index in the token text of " .. prompt)
        expect_equal(text_digest, digest, "prompt of the token text")
        generation = generation or text_generation
        expect_equal(text_generation, generation, "generation of token " .. expected_index)
    end
    return generation
end

--- Waits for the end of a stream and checks that its answer is complete: all tokens from index 0, the complete
-- event and [DONE].
function check_complete(caller, prompt, words)
    local state = await_end(caller)
    local answer = read_answer(caller)
    local cause = answer.error and runner.encode(answer.error) or ((state.error or "") .. (state.body or ""))
    expect_equal(state.status, 200, "status of " .. prompt .. " " .. (state.body or ""))
    expect_equal(#answer.tokens, words, "number of tokens of " .. prompt .. " " .. cause)
    check_tokens(answer.tokens, prompt, 0)
    expect(answer.is_complete and answer.is_done, "the stream must end with complete and [DONE]: " .. cause)
    return answer
end

--- Checks the text of an answer that was not streamed.
function check_whole(text, prompt, words)
    local tokens = {}
    for piece in text:gmatch("%S+") do
        table.insert(tokens, {index = #tokens, text = piece .. " "})
    end
    expect_equal(#tokens, words, "number of tokens of " .. prompt)
    check_tokens(tokens, prompt, 0)
end

--- Entries of a stand-in's journal, which remain after the stand-in was killed.
function journal(standin)
    local entries = {}
    for line in runner.read_file(standin.journal):gmatch("[^\n]+") do
        local entry = runner.decode(line)
        if entry then
            table.insert(entries, entry)
        end
    end
    return entries
end

--- Entries of a stand-in's journal with this event.
function journal_events(standin, event)
    local found = {}
    for _, entry in ipairs(journal(standin)) do
        if entry.event == event then
            table.insert(found, entry)
        end
    end
    return found
end

--- Number of runs at the given stand-ins whose request id or idempotency key equals the key, or whose prompt or
-- body contains it.
function runs_of(key, standins)
    local count = 0
    for _, standin in ipairs(standins) do
        for _, entry in ipairs(journal(standin)) do
            local text = (entry.prompt or "") .. (entry.body or "")
            local matches = entry.request_id == key or entry.key == key or text:find(key, 1, true)
            if entry.event == "run" and matches then
                count = count + 1
            end
        end
    end
    return count
end

--- Waits for the end of a stream and checks that it is reported as interrupted: the tokens are in order from
-- index `from` on, an error event has the outcome "incomplete" and the number of delivered tokens, and there is
-- no complete event.
function check_incomplete(caller, prompt, from)
    await_end(caller)
    local answer = read_answer(caller)
    check_tokens(answer.tokens, prompt, from or 0)
    expect(not answer.is_complete, "an interrupted answer must not have a complete event")
    expect(answer.error, "an interrupted answer must end with an error event")
    expect_equal(answer.error.outcome, "incomplete", "outcome of an interrupted answer")
    expect_equal(answer.error.delivered, (from or 0) + #answer.tokens, "number of delivered tokens in the error")
    return answer
end
