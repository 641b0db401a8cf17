#include "libserving/generationstream.h"

#include <catch2/catch.hpp>

#include <string>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

template <typename Action>
std::vector<Action> only(const std::vector<StreamAction> &actions)
{
    std::vector<Action> found;
    for (const StreamAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

/// A stream whose attempt on target "t" has delivered the given number of tokens of generation "g".
struct Running
{
    explicit Running(StreamSettings settings = {}, uint64_t tokens = 3)
        : stream(settings)
    {
        this->stream.start(Start);
        this->stream.handle(AttemptStarted{1, "t", "g"}, Start);
        for (uint64_t i = 0; i < tokens; ++i)
            this->token(1, i);
    }

    std::vector<StreamAction> token(uint32_t connection, uint64_t index, const std::string &generation = "g")
    {
        return this->stream.handle(TokenReceived{connection, generation, index, "x"}, Start);
    }

    GenerationStream stream;
};

} // namespace

// Guards against tokens that reach the caller twice, out of order, or from another caller's generation.
TEST_CASE("Only the next token of the own generation is delivered")
{
    struct Row
    {
        uint32_t connection;
        std::string generation;
        uint64_t index;
        size_t delivered;
        uint64_t foreign, duplicate, gaps;
    };
    const auto row = GENERATE(values<Row>({{1, "g", 3, 1, 0, 0, 0},
                                           {1, "g", 2, 0, 0, 1, 0},
                                           {1, "g", 0, 0, 0, 1, 0},
                                           {1, "other", 3, 0, 1, 0, 0},
                                           {7, "g", 3, 0, 1, 0, 0},
                                           {1, "g", 5, 0, 0, 0, 1}}));
    Running running;
    const auto actions = running.token(row.connection, row.index, row.generation);
    CHECK(only<DeliverToken>(actions).size() == row.delivered);
    CHECK(running.stream.counters().foreignTokens == row.foreign);
    CHECK(running.stream.counters().duplicateTokens == row.duplicate);
    CHECK(running.stream.counters().gaps == row.gaps);
    CHECK(only<OpenResume>(actions).size() == row.gaps);
}

// Guards against a second generation for a caller that already has tokens of the first one, and against a
// lost request that could still have been restarted.
TEST_CASE("A failed attempt restarts only while the caller has no token")
{
    struct Row
    {
        Delivery delivery;
        uint64_t tokens;
        bool mayRetry;
        bool restarts;
    };
    const auto row = GENERATE(values<Row>({{Delivery::Stream, 0, true, true},
                                           {Delivery::Stream, 0, false, false},
                                           {Delivery::Stream, 1, true, false},
                                           {Delivery::Whole, 3, true, true},
                                           {Delivery::Whole, 3, false, false}}));
    StreamSettings settings;
    settings.delivery = row.delivery;
    const StreamEvent event = GENERATE(as<int>{}, 0, 1) == 0 ? StreamEvent{StreamTargetDied{"t", true}}
                                                             : StreamEvent{EngineFailed{1, true}};
    Running running{settings, row.tokens};
    StreamEvent failure = event;
    std::visit(
            [&](auto &alternative) {
                if constexpr (requires { alternative.mayRetry; })
                    alternative.mayRetry = row.mayRetry;
            },
            failure);
    const auto actions = running.stream.handle(failure, Start);
    CHECK(only<OpenAttempt>(actions).size() == (row.restarts ? 1 : 0));
    const auto incomplete = only<FinishIncomplete>(actions);
    REQUIRE(incomplete.size() == (row.restarts ? 0 : 1));
    if (!row.restarts)
        CHECK(incomplete[0].delivered == (row.delivery == Delivery::Whole ? 0 : row.tokens));
}

// Guards against parts of a lost generation in the answer of delivery=whole.
TEST_CASE("A whole answer comes from the last generation only")
{
    StreamSettings settings;
    settings.delivery = Delivery::Whole;
    Running running{settings, 3};
    running.stream.handle(StreamTargetDied{"t", true}, Start);
    running.stream.handle(AttemptStarted{2, "u", "h"}, Start);
    CHECK(running.token(1, 3).empty());
    running.token(2, 0, "h");
    const auto actions = running.stream.handle(EngineFinished{2, "h", 1}, Start);
    REQUIRE(only<DeliverToken>(actions).size() == 1);
    CHECK(only<DeliverToken>(actions)[0].generation == "h");
    CHECK(only<FinishComplete>(actions).size() == 1);
}

// Guards against an answer that is called complete although its last tokens are missing, or that ends by the
// message of another generation.
TEST_CASE("An answer is complete only with all tokens of its generation")
{
    struct Row
    {
        std::string generation;
        uint64_t count;
        size_t complete, resumes, incomplete;
    };
    const auto row = GENERATE(
            values<Row>({{"g", 3, 1, 0, 0}, {"g", 5, 0, 1, 0}, {"g", 2, 0, 0, 1}, {"other", 3, 0, 0, 0}}));
    Running running;
    const auto actions = running.stream.handle(EngineFinished{1, row.generation, row.count}, Start);
    CHECK(only<FinishComplete>(actions).size() == row.complete);
    CHECK(only<OpenResume>(actions).size() == row.resumes);
    CHECK(only<FinishIncomplete>(actions).size() == row.incomplete);
}

// Guards against a stream that waits for the stall limit although no connection is left.
TEST_CASE("The end of the last connection resumes at once")
{
    Running running;
    CHECK(only<OpenResume>(running.token(1, 4)).size() == 1);
    CHECK(running.stream.handle(ResumeRefused{2, true}, Start).empty());
    CHECK(only<OpenResume>(running.stream.handle(EngineFinished{1, "g", 5}, Start)).size() == 1);
}

// Guards against a stalled link that holds up the caller although the engine goes on.
TEST_CASE("A stall opens a second connection at the exact index")
{
    Running running;
    CHECK(running.stream.handle(StallCheck{}, Start + 1999ms).empty());
    const auto resumes = only<OpenResume>(running.stream.handle(StallCheck{}, Start + 2s));
    REQUIRE(resumes.size() == 1);
    CHECK(resumes[0].fromIndex == 3);
    CHECK(resumes[0].generation == "g");
    const auto actions = running.token(resumes[0].connection, 3);
    CHECK(only<DeliverToken>(actions).size() == 1);
    CHECK(only<CloseConnection>(actions).size() == 1);
}

// Guards against endless resumes at an engine that accepts connections and drops them.
TEST_CASE("Resumes that fail in a row end the answer")
{
    Running running;
    uint32_t connection = 1;
    int resumes = 0;
    while (!running.stream.isFinished() && resumes < 100) {
        for (const OpenResume &resume :
             only<OpenResume>(running.stream.handle(StreamConnectionLost{connection, true}, Start))) {
            connection = resume.connection;
            ++resumes;
        }
    }
    CHECK(resumes == 4);
    CHECK(running.stream.currentState() == GenerationStream::State::Incomplete);
}

// Guards against unbounded memory for a slow caller, and against tokens lost while reading was paused.
TEST_CASE("A slow caller pauses the engine and loses nothing")
{
    StreamSettings settings;
    settings.maxBufferedTokens = 8;
    Running running{settings, 5};
    CHECK(only<PauseReading>(running.token(1, 5)).size() == 1);
    running.token(1, 6);
    running.token(1, 7);
    CHECK(only<DeliverToken>(running.token(1, 8)).empty());
    for (uint64_t index = 9; index < 20; ++index)
        CHECK(running.token(1, index).empty());
    CHECK_FALSE(running.stream.isFinished());
    CHECK_FALSE(running.stream.nextTick());
    CHECK(running.stream.handle(CallerAccepted{4, 4}, Start).empty());
    const auto actions = running.stream.handle(CallerAccepted{4, 4}, Start);
    CHECK(only<ResumeReading>(actions).size() == 1);
    REQUIRE(only<OpenResume>(actions).size() == 1);
    CHECK(only<OpenResume>(actions)[0].fromIndex == 8);
}

// Guards against an engine that works on for a caller that has left.
TEST_CASE("A caller that leaves cancels its generation")
{
    Running running;
    const auto cancels = only<CancelGeneration>(running.stream.handle(StreamCallerDisconnected{}, Start));
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].generation == "g");
    CHECK(running.stream.isFinished());
}

// Guards against "not-run" for a request that an engine has taken.
TEST_CASE("Not-run is said only if no engine took the request")
{
    const bool isTakenFirst = GENERATE(true, false);
    GenerationStream stream{StreamSettings{}};
    stream.start(Start);
    uint32_t connection = 1;
    if (isTakenFirst) {
        stream.handle(AttemptStarted{1, "t", "g"}, Start);
        connection = only<OpenAttempt>(stream.handle(EngineFailed{1, true}, Start))[0].connection;
    }
    const auto actions = stream.handle(AttemptRefused{connection, false}, Start);
    CHECK(only<FailNotRun>(actions).size() == (isTakenFirst ? 0 : 1));
    CHECK(only<FinishIncomplete>(actions).size() == (isTakenFirst ? 1 : 0));
}

// Guards against a returning caller that gets tokens again, or another generation.
TEST_CASE("A returning caller continues its generation or is told that it is incomplete")
{
    GenerationStream stream{StreamSettings{}, StreamPosition{"t", "g", 7}};
    const auto resumes = only<OpenResume>(stream.start(Start));
    REQUIRE(resumes.size() == 1);
    CHECK(resumes[0].fromIndex == 7);
    CHECK(only<DeliverToken>(stream.handle(TokenReceived{1, "g", 6, "x"}, Start)).empty());
    const bool isKnown = GENERATE(true, false);
    const auto actions = isKnown ? stream.handle(TokenReceived{1, "g", 7, "x"}, Start)
                                 : stream.handle(ResumeRefused{1, true}, Start);
    CHECK(only<DeliverToken>(actions).size() == (isKnown ? 1 : 0));
    CHECK(only<FinishIncomplete>(actions).size() == (isKnown ? 0 : 1));
    CHECK(only<OpenAttempt>(actions).empty());
}

// Guards against a restart of a returning caller's request from the beginning, before its first new token.
TEST_CASE("A returning caller without tokens is not restarted")
{
    GenerationStream stream{StreamSettings{}, StreamPosition{"t", "g", 0}};
    stream.start(Start);
    CHECK(only<OpenAttempt>(stream.handle(StreamTargetDied{"t", true}, Start)).empty());
    CHECK(stream.currentState() == GenerationStream::State::Incomplete);
}
