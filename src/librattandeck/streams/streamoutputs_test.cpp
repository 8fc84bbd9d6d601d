#include "Rattandeck/streamoutputs.h"

#include "Rattandeck/messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Rattandeck;

namespace {

const TurnId someStream { "r1" };
constexpr Milliseconds retention { 3000 };

StreamPassedOn part(const std::string& request, std::uint64_t offset, const std::string& text, const std::string& event)
{
    return { someStream, TurnId(request), offset, text, { { event, offset + text.size() } }, retention };
}

}

/// What journals know of the output of streams.
class StreamOutputsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamOutputsTest);
    CPPUNIT_TEST(outputEndsWithTheEvent);
    CPPUNIT_TEST(repeatedTextIsIgnored);
    CPPUNIT_TEST(textAfterAGapIsNotKept);
    CPPUNIT_TEST(requestThatBeganLastCounts);
    CPPUNIT_TEST(outputExpires);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(journalsAreSentWhatTheyLack);
    CPPUNIT_TEST(journalWhoseLinkWasDownIsSentEverything);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    StreamOutputTable table { this->timers };

    std::string known(const std::string& event) const
    {
        return this->table.find(someStream, event).value_or("unknown");
    }

    void outputEndsWithTheEvent()
    {
        this->table.put(part("r1", 0, "one\n", "1"));
        this->table.put(part("r1", 4, "two\n", "2"));
        CPPUNIT_ASSERT_EQUAL(std::string("one\n"), this->known("1"));
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), this->known("2"));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), this->known("3"));
        CPPUNIT_ASSERT(!this->table.find(TurnId("other"), "1"));
    }

    void repeatedTextIsIgnored()
    {
        this->table.put(part("r1", 0, "one\n", "1"));
        StreamPassedOn everything = part("r1", 0, "one\ntwo\n", "2");
        everything.events.insert(everything.events.begin(), StreamMark { "1", 4 });
        for (int i = 0; i < 2; ++i)
            this->table.put(everything);
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), this->known("2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), this->table.bytes());
    }

    /// An output that lacks something in between must not be taken for whole.
    void textAfterAGapIsNotKept()
    {
        this->table.put(part("r1", 0, "one\n", "1"));
        this->table.put(part("r1", 8, "three\n", "3"));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), this->known("3"));
        CPPUNIT_ASSERT_EQUAL(std::string("one\n"), this->known("1"));
    }

    void requestThatBeganLastCounts()
    {
        this->table.put(part("r1", 0, "one\n", "1"));
        this->table.put(part("r2", 0, "one\n", "1"));
        this->table.put(part("r2", 4, "zwei\n", "2"));
        // The request before has not noticed yet that its caller has gone.
        this->table.put(part("r1", 4, "two\n", "2"));
        CPPUNIT_ASSERT_EQUAL(std::string("one\nzwei\n"), this->known("2"));
    }

    void outputExpires()
    {
        this->table.put(part("r1", 0, "one\n", "1"));
        this->timers.advanceTo(this->timers.now() + retention / 2);
        this->table.put(part("r1", 4, "two\n", "2"));
        this->timers.advanceTo(this->timers.now() + retention / 2);
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), this->known("2"));
        this->timers.advanceTo(this->timers.now() + retention / 2);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), this->known("2"));
        this->table.put({ TurnId("other"), TurnId("other"), 0, "x\n", {}, Milliseconds(0) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->table.bytes());
    }

    void memoryIsBounded()
    {
        StreamOutputLimits limits;
        limits.maxBytes = 1000;
        StreamOutputTable bounded(this->timers, limits);
        for (int number = 0; number < 100; ++number) {
            const TurnId stream("s" + std::to_string(number));
            bounded.put(
                { stream, stream, 0, std::string(100, 'x'), { { "1", 100 } }, retention + Milliseconds(number) });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), bounded.bytes());
        CPPUNIT_ASSERT(bounded.find(TurnId("s99"), "1") && !bounded.find(TurnId("s0"), "1"));
    }

    // Sender ---------------------------------------------------------------------------------------------------------

    std::vector<std::pair<NodeId, StreamPassedOn>> sent;
    std::set<NodeId> unlinked;

    bool take(const NodeId& node, const Message& message)
    {
        if (this->unlinked.contains(node))
            return false;
        this->sent.emplace_back(node, std::get<StreamPassedOn>(message));
        return true;
    }

    void journalsAreSentWhatTheyLack()
    {
        StreamOutputSender sender(
            [this](const NodeId& node, const Message& message) { return this->take(node, message); });
        const std::vector<NodeId> journals { NodeId("j1"), NodeId("j2") };
        std::vector<StreamMark> events { { "1", 4 } };
        this->unlinked.insert(NodeId("j2"));
        sender.send({ someStream, someStream, "one\n", events, retention }, journals);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sent.size());
        this->unlinked.clear();
        this->sent.clear();
        events.push_back({ "2", 8 });
        sender.send({ someStream, someStream, "one\ntwo\n", events, retention }, journals);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sent.size());
        CPPUNIT_ASSERT(
            (this->sent[0].second == StreamPassedOn { someStream, someStream, 4, "two\n", { { "2", 8 } }, retention }));
        CPPUNIT_ASSERT(
            (this->sent[1].second == StreamPassedOn { someStream, someStream, 0, "one\ntwo\n", events, retention }));
        sender.send({ someStream, someStream, "one\ntwo\n", events, retention }, journals);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sent.size());
    }

    void journalWhoseLinkWasDownIsSentEverything()
    {
        StreamOutputSender sender(
            [this](const NodeId& node, const Message& message) { return this->take(node, message); });
        const std::vector<NodeId> journals { NodeId("j1") };
        const std::vector<StreamMark> events { { "1", 4 } };
        sender.send({ someStream, someStream, "one\n", events, retention }, journals);
        sender.onLinkDown(NodeId("j1"));
        sender.send({ someStream, someStream, "one\n", events, retention }, journals);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sent.size());
        CPPUNIT_ASSERT(this->sent[0].second == this->sent[1].second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOutputsTest);
