#include "libserving/generationstream.h"

#include <catch2/catch.hpp>

#include <string>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

template <typename Action>
std::vector<Action> actionsOf(const std::vector<StreamAction> &actions)
{
    std::vector<Action> found;
    for (const StreamAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

/// A stream whose attempt on target "t" has delivered the given number of tokens of generation "g".
struct RunningStream
{
    explicit RunningStream(StreamSettings settings = {}, uint64_t tokens = 3)
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
TEST_CASE("Only the next token of the stream's own generation is delivered")
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
    RunningStream runningStream;
    const auto actions = runningStream.token(row.connection, row.index, row.generation);
    CHECK(actionsOf<DeliverToken>(actions).size() == row.delivered);
    CHECK(runningStream.stream.counters().foreignTokens == row.foreign);
    CHECK(runningStream.stream.counters().duplicateTokens == row.duplicate);
    CHECK(runningStream.stream.counters().gaps == row.gaps);
    CHECK(actionsOf<OpenResume>(actions).size() == row.gaps);
}

// Guards against a second generation for a caller that already has tokens of the first one, and against the
// failure of a request that could have been restarted.
TEST_CASE("A failed attempt is restarted only while the caller has no token")
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
    RunningStream runningStream{settings, row.tokens};
    StreamEvent failure = event;
    std::visit(
            [&](auto &alternative) {
                if constexpr (requires { alternative.mayRetry; })
                    alternative.mayRetry = row.mayRetry;
            },
            failure);
    const auto actions = runningStream.stream.handle(failure, Start);
    CHECK(actionsOf<OpenAttempt>(actions).size() == (row.restarts ? 1 : 0));
    const auto incomplete = actionsOf<FinishIncomplete>(actions);
    REQUIRE(incomplete.size() == (row.restarts ? 0 : 1));
    if (!row.restarts)
        CHECK(incomplete[0].delivered == (row.delivery == Delivery::Whole ? 0 : row.tokens));
}

// Guards against tokens of a lost generation in the response of delivery=whole.
TEST_CASE("A whole response contains only the last generation")
{
    StreamSettings settings;
    settings.delivery = Delivery::Whole;
    RunningStream runningStream{settings, 3};
    runningStream.stream.handle(StreamTargetDied{"t", true}, Start);
    runningStream.stream.handle(AttemptStarted{2, "u", "h"}, Start);
    CHECK(runningStream.token(1, 3).empty());
    runningStream.token(2, 0, "h");
    const auto actions = runningStream.stream.handle(EngineFinished{2, "h", 1}, Start);
    REQUIRE(actionsOf<DeliverToken>(actions).size() == 1);
    CHECK(actionsOf<DeliverToken>(actions)[0].generation == "h");
    CHECK(actionsOf<FinishComplete>(actions).size() == 1);
}

// Guards against a response that is reported as complete although its last tokens are missing, or that is
// ended by the message of another generation.
TEST_CASE("A response is complete only with all tokens of its generation")
{
    struct Row
    {
        std::string generation;
        uint64_t count;
        size_t complete, resumes, incomplete;
    };
    const auto row = GENERATE(
            values<Row>({{"g", 3, 1, 0, 0}, {"g", 5, 0, 1, 0}, {"g", 2, 0, 0, 1}, {"other", 3, 0, 0, 0}}));
    RunningStream runningStream;
    const auto actions = runningStream.stream.handle(EngineFinished{1, row.generation, row.count}, Start);
    CHECK(actionsOf<FinishComplete>(actions).size() == row.complete);
    CHECK(actionsOf<OpenResume>(actions).size() == row.resumes);
    CHECK(actionsOf<FinishIncomplete>(actions).size() == row.incomplete);
}

// Guards against a stream that waits for the stall limit although no connection remains.
TEST_CASE("The generation is resumed at once when the last connection ends")
{
    RunningStream runningStream;
    CHECK(actionsOf<OpenResume>(runningStream.token(1, 4)).size() == 1);
    CHECK(runningStream.stream.handle(ResumeRefused{2, true}, Start).empty());
    CHECK(actionsOf<OpenResume>(runningStream.stream.handle(EngineFinished{1, "g", 5}, Start)).size() == 1);
}

// Guards against a stalled connection that delays the caller although the engine continues.
TEST_CASE("A stall opens a second connection at the next index")
{
    RunningStream runningStream;
    CHECK(runningStream.stream.handle(StallCheck{}, Start + 1999ms).empty());
    const auto resumes = actionsOf<OpenResume>(runningStream.stream.handle(StallCheck{}, Start + 2s));
    REQUIRE(resumes.size() == 1);
    CHECK(resumes[0].fromIndex == 3);
    CHECK(resumes[0].generation == "g");
    const auto actions = runningStream.token(resumes[0].connection, 3);
    CHECK(actionsOf<DeliverToken>(actions).size() == 1);
    CHECK(actionsOf<CloseConnection>(actions).size() == 1);
}

// Guards against endless resumes at an engine that accepts connections and closes them.
TEST_CASE("Consecutive failed resumes end the response")
{
    RunningStream runningStream;
    uint32_t connection = 1;
    int resumes = 0;
    while (!runningStream.stream.isFinished() && resumes < 100) {
        for (const OpenResume &resume : actionsOf<OpenResume>(
                     runningStream.stream.handle(StreamConnectionLost{connection, true}, Start))) {
            connection = resume.connection;
            ++resumes;
        }
    }
    CHECK(resumes == 4);
    CHECK(runningStream.stream.currentState() == GenerationStream::State::Incomplete);
}

// Guards against unbounded buffers for a slow caller, and against tokens lost while reading was paused.
TEST_CASE("A slow caller pauses reading and loses no token")
{
    StreamSettings settings;
    settings.maxBufferedTokens = 8;
    RunningStream runningStream{settings, 5};
    CHECK(actionsOf<PauseReading>(runningStream.token(1, 5)).size() == 1);
    runningStream.token(1, 6);
    runningStream.token(1, 7);
    CHECK(actionsOf<DeliverToken>(runningStream.token(1, 8)).empty());
    for (uint64_t index = 9; index < 20; ++index)
        CHECK(runningStream.token(1, index).empty());
    CHECK_FALSE(runningStream.stream.isFinished());
    CHECK_FALSE(runningStream.stream.nextTick());
    CHECK(runningStream.stream.handle(CallerAccepted{4, 4}, Start).empty());
    const auto actions = runningStream.stream.handle(CallerAccepted{4, 4}, Start);
    CHECK(actionsOf<ResumeReading>(actions).size() == 1);
    REQUIRE(actionsOf<OpenResume>(actions).size() == 1);
    CHECK(actionsOf<OpenResume>(actions)[0].fromIndex == 8);
}

// Guards against an engine that continues a generation for a disconnected caller.
TEST_CASE("The generation of a disconnected caller is cancelled")
{
    RunningStream runningStream;
    const auto cancels =
            actionsOf<CancelGeneration>(runningStream.stream.handle(StreamCallerDisconnected{}, Start));
    REQUIRE(cancels.size() == 1);
    CHECK(cancels[0].generation == "g");
    CHECK(runningStream.stream.isFinished());
}

// Guards against "not-run" for a request that an engine accepted.
TEST_CASE("Not-run is reported only if no engine accepted the request")
{
    const bool isAcceptedFirst = GENERATE(true, false);
    GenerationStream stream{StreamSettings{}};
    stream.start(Start);
    uint32_t connection = 1;
    if (isAcceptedFirst) {
        stream.handle(AttemptStarted{1, "t", "g"}, Start);
        connection = actionsOf<OpenAttempt>(stream.handle(EngineFailed{1, true}, Start))[0].connection;
    }
    const auto actions = stream.handle(AttemptRefused{connection, false}, Start);
    CHECK(actionsOf<FailNotRun>(actions).size() == (isAcceptedFirst ? 0 : 1));
    CHECK(actionsOf<FinishIncomplete>(actions).size() == (isAcceptedFirst ? 1 : 0));
}

// Guards against duplicate tokens, or tokens of another generation, for a caller that resumes.
TEST_CASE("A resumed stream continues its generation or is reported as incomplete")
{
    GenerationStream stream{StreamSettings{}, StreamPosition{"t", "g", 7}};
    const auto resumes = actionsOf<OpenResume>(stream.start(Start));
    REQUIRE(resumes.size() == 1);
    CHECK(resumes[0].fromIndex == 7);
    CHECK(actionsOf<DeliverToken>(stream.handle(TokenReceived{1, "g", 6, "x"}, Start)).empty());
    const bool isKnown = GENERATE(true, false);
    const auto actions = isKnown ? stream.handle(TokenReceived{1, "g", 7, "x"}, Start)
                                 : stream.handle(ResumeRefused{1, true}, Start);
    CHECK(actionsOf<DeliverToken>(actions).size() == (isKnown ? 1 : 0));
    CHECK(actionsOf<FinishIncomplete>(actions).size() == (isKnown ? 0 : 1));
    CHECK(actionsOf<OpenAttempt>(actions).empty());
}

// Guards against a restart from the beginning for a caller that resumes, before its first new token.
TEST_CASE("A resumed stream without tokens is not restarted")
{
    GenerationStream stream{StreamSettings{}, StreamPosition{"t", "g", 0}};
    stream.start(Start);
    CHECK(actionsOf<OpenAttempt>(stream.handle(StreamTargetDied{"t", true}, Start)).empty());
    CHECK(stream.currentState() == GenerationStream::State::Incomplete);
}
