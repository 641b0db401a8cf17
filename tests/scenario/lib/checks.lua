-- Verdicts from what callers and stand-ins saw.

--- Reads the recorded events of a stream: tokens (list of index, text, id, generation), is_complete, error
-- (decoded data of the error event), last_id and token_count as announced by the complete event.
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

--- Checks that the tokens have the indexes from `from` on without gap or repeat, belong to the prompt, and
-- come from one generation. Returns the generation's name in the token text.
function check_tokens(tokens, prompt, from, generation)
    local digest = runner.digest(prompt)
    for position, token in ipairs(tokens) do
        local wanted = from + position - 1
        expect_equal(token.index, wanted, "token index of " .. prompt)
        local index, text_digest, text_generation = token.text:match("^(%d+)%-(%x+)%-(%S+) $")
        expect(index, "token text is malformed: " .. token.text)
        expect_equal(tonumber(index), wanted, "index in the token text of " .. prompt)
        expect_equal(text_digest, digest, "prompt of the token text")
        generation = generation or text_generation
        expect_equal(text_generation, generation, "generation of token " .. wanted)
    end
    return generation
end

--- Checks that a stream delivered its whole answer: all tokens from index 0, then complete and [DONE].
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

--- Checks the text of an answer that was delivered as a whole.
function check_whole(text, prompt, words)
    local tokens = {}
    for piece in text:gmatch("%S+") do
        table.insert(tokens, {index = #tokens, text = piece .. " "})
    end
    expect_equal(#tokens, words, "number of tokens of " .. prompt)
    check_tokens(tokens, prompt, 0)
end

--- Lines of a stand-in's journal; they outlive a killed stand-in.
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

function journal_events(standin, event)
    local found = {}
    for _, entry in ipairs(journal(standin)) do
        if entry.event == event then
            table.insert(found, entry)
        end
    end
    return found
end

--- Number of runs over the given stand-ins whose prompt, body, request id or idempotency key is or contains
-- the key.
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

--- Checks that an interrupted stream says so: the tokens are in order from `from` on, an error event tells
-- that the answer is incomplete and how many tokens were delivered, and no end is claimed.
function check_incomplete(caller, prompt, from)
    await_end(caller)
    local answer = read_answer(caller)
    check_tokens(answer.tokens, prompt, from or 0)
    expect(not answer.is_complete, "an interrupted answer must not be called complete")
    expect(answer.error, "an interrupted answer must end with an error event")
    expect_equal(answer.error.outcome, "incomplete", "outcome of an interrupted answer")
    expect_equal(answer.error.delivered, (from or 0) + #answer.tokens, "number of delivered tokens in the error")
    return answer
end
