#include "Rattandeck/eventstream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace Rattandeck;

class EventStreamTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventStreamTest);
    CPPUNIT_TEST(eventsAreTheSameWhereverTheBytesAreSplit);
    CPPUNIT_TEST(incompleteEventIsPending);
    CPPUNIT_TEST(eventInSmallPiecesTakesLinearTime);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::string> split(const std::string& text, std::size_t pieceSize)
    {
        EventSplitter splitter;
        std::vector<std::string> events;
        for (std::size_t start = 0; start < text.size(); start += pieceSize) {
            splitter.add(std::string_view(text).substr(start, pieceSize));
            while (const auto event = splitter.next())
                events.push_back(std::string(event->id) + "|" + event->data + "|" + std::string(event->bytes));
        }
        return events;
    }

    void eventsAreTheSameWhereverTheBytesAreSplit()
    {
        const std::string text
            = "id: 1\ndata: a\n\n\n:comment\r\ndata:b\r\ndata: c\r\n\r\nevent: x\nid:2\n\nid: 3\ndata: d\n";
        const auto whole = split(text, text.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), whole.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1|a|id: 1\ndata: a\n\n"), whole[0]);
        CPPUNIT_ASSERT_EQUAL(std::string("||\n"), whole[1]);
        CPPUNIT_ASSERT(whole[2].starts_with("|b\nc|"));
        for (std::size_t pieceSize = 1; pieceSize < text.size(); ++pieceSize)
            CPPUNIT_ASSERT(split(text, pieceSize) == whole);
    }

    void incompleteEventIsPending()
    {
        EventSplitter splitter;
        splitter.add("data: a\n\ndata: b\n");
        CPPUNIT_ASSERT(splitter.next().has_value());
        CPPUNIT_ASSERT(!splitter.next().has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), splitter.pendingBytes());
    }

    void eventInSmallPiecesTakesLinearTime()
    {
        EventSplitter splitter;
        constexpr int pieces = 500000;
        for (int i = 0; i < pieces; ++i) {
            splitter.add("x");
            CPPUNIT_ASSERT(!splitter.next().has_value());
        }
        splitter.add("\n\n");
        CPPUNIT_ASSERT(splitter.next().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);
