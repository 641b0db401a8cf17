#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

TEST_CASE("A splitter returns only complete events for any size of reads", "[eventsplitter]")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    const size_t step = GENERATE(1, 2, 3, 7, 100);
    EventSplitter splitter;
    std::string events;
    for (size_t at = 0; at < stream.size(); at += step)
        events += splitter.feed(std::string_view(stream).substr(at, step));
    CHECK(events == stream);
    CHECK(splitter.eventCount() == 3);
    CHECK(splitter.lastId() == "3");
    CHECK_FALSE(splitter.hasPartialEvent());
}

// Guards against an event that is assembled from parts sent by two runners.
TEST_CASE("An incomplete event is discarded when its runner stops", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.hasPartialEvent());
    CHECK(splitter.lastId() == "1");
    splitter.discardPartialEvent();
    CHECK(splitter.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");
}

// Guards against a runner that never ends an event: the buffered bytes were searched from the start with each
// read, and 31 MB took 8 s of processor time.
TEST_CASE("An event beyond the limit is too large, and one at the limit is not", "[eventsplitter]")
{
    EventSplitter splitter;
    const std::string line(1024, 'a');
    splitter.feed("id: 1\n\n");
    for (size_t size = 0; size + line.size() <= EventSplitter::MaxEventBytes; size += line.size())
        splitter.feed(line);
    CHECK_FALSE(splitter.isTooLarge());
    splitter.feed("b");
    CHECK(splitter.isTooLarge());
    splitter.discardPartialEvent();
    CHECK_FALSE(splitter.isTooLarge());
    CHECK(splitter.feed("id: 2\n\nid:") == "id: 2\n\n");
    CHECK(splitter.lastId() == "2");
}
