#include "Rattandeck/journalstate.h"
#include "Rattandeck/journaltransfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };
constexpr std::size_t manyNames = 1000000;

RetainedTurn makeTurn(std::size_t number) { return { TurnId(std::to_string(number)), {}, "in", "out", retention }; }

}

/// The single steps of a transfer from one source; the test is network, disk and source.
class JournalTransferStepsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalTransferStepsTest);
    CPPUNIT_TEST(equalRecordsTakeOneStep);
    CPPUNIT_TEST(lackingRecordsAreRequestedAndConfirmed);
    CPPUNIT_TEST(roundCountsForTheEpochOfTheFirstAnswer);
    CPPUNIT_TEST(epochOfALaterComparisonDoesNotCount);
    CPPUNIT_TEST(answerThatCameTwiceCountsOnce);
    CPPUNIT_TEST(roundIsNotCompleteBeforeItsRecordsAreDurable);
    CPPUNIT_TEST(unansweredStepIsRepeated);
    CPPUNIT_TEST(answerToAnEarlierStepIsIgnored);
    CPPUNIT_TEST(answerToAnEarlierRoundIsIgnored);
    CPPUNIT_TEST(recordsReceivedFromAnotherSourceAreNotRequested);
    CPPUNIT_TEST(nextRoundComparesAgain);
    CPPUNIT_TEST(pagesOfAnEarlierVersionArePassedOn);
    CPPUNIT_TEST_SUITE_END();

    JournalState own;
    JournalState other;
    Epoch otherEpoch { 2 };
    std::vector<CopyRequest> requests;
    std::unique_ptr<JournalTransfer> transfer;
    const NodeId source { "s" };
    const TimePoint now;

public:
    void setUp() override
    {
        JournalTransfer::Io io;
        io.digests = [this] { return this->own.digests(); };
        io.lackingNames = [this](std::string_view names) { return this->own.lackingNames(names); };
        io.send = [this](const NodeId&, const CopyRequest& request) {
            this->requests.push_back(request);
            return true;
        };
        this->transfer = std::make_unique<JournalTransfer>(io);
    }

private:
    /// Requests the next step of a round and returns it.
    CopyRequest request(std::uint64_t round)
    {
        CPPUNIT_ASSERT(this->transfer->requestPage(this->source, { round, 0 }));
        return this->requests.back();
    }

    /// The source's answer.
    CopyPage answer(const CopyRequest& request, std::size_t maxNames = manyNames) const
    {
        CopyPage page = request.digests.empty() ? this->other.recordsOf(request.wanted)
                                                : this->other.compare(request.digests, request.firstBucket, maxNames);
        page.round = request.round;
        page.cursor = request.cursor;
        page.epoch = this->otherEpoch;
        return page;
    }

    void store(const CopyPage& page)
    {
        for (const TurnId& turn : page.turns)
            this->own.apply(*this->other.turn(turn), this->now);
    }

    /// Accepts and stores a page. Returns what is reported.
    std::optional<CopyPage> receive(CopyPage page)
    {
        if (!this->transfer->accept(this->source, page))
            return std::nullopt;
        this->store(page);
        return this->transfer->onStored(this->source, page);
    }

    /// Runs a round to its end. Returns the last report.
    CopyPage finish(std::uint64_t round, std::size_t maxNames = manyNames)
    {
        for (int steps = 0; steps < 1000; ++steps) {
            const auto report = this->receive(this->answer(this->request(round), maxNames));
            CPPUNIT_ASSERT(report && report->round == round);
            if (report->isLast)
                return *report;
        }
        CPPUNIT_FAIL("the round does not end");
        return {};
    }

    void equalRecordsTakeOneStep()
    {
        this->own.apply(makeTurn(1), this->now);
        this->other.apply(makeTurn(1), this->now);
        CPPUNIT_ASSERT(this->finish(1).epoch == Epoch(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests.size());
    }

    void lackingRecordsAreRequestedAndConfirmed()
    {
        constexpr std::size_t turns = 2000;
        for (std::size_t i = 0; i < turns; ++i)
            this->other.apply(makeTurn(i), this->now);
        constexpr std::size_t maxNames = 300;
        this->finish(1, maxNames);
        CPPUNIT_ASSERT_EQUAL(turns, this->own.turnCount());
        CPPUNIT_ASSERT(this->requests.back().isCopied && this->requests.back().copiedEpoch == Epoch(2));
    }

    void roundCountsForTheEpochOfTheFirstAnswer()
    {
        this->other.apply(makeTurn(1), this->now);
        this->receive(this->answer(this->request(1)));
        // The source receives a record under the old set after the comparison, then learns of the new set.
        this->other.apply(makeTurn(2), this->now);
        this->otherEpoch = Epoch(3);
        CPPUNIT_ASSERT(this->finish(1).epoch == Epoch(2));
        CPPUNIT_ASSERT(!this->own.hasTurn(TurnId("2")));
        CPPUNIT_ASSERT(this->requests.back().copiedEpoch == Epoch(2));
    }

    void epochOfALaterComparisonDoesNotCount()
    {
        constexpr std::size_t turns = 2000;
        constexpr std::size_t maxNames = 300;
        for (std::size_t i = 0; i < turns; ++i)
            this->other.apply(makeTurn(i), this->now);
        this->receive(this->answer(this->request(1), maxNames));
        this->otherEpoch = Epoch(3);
        CPPUNIT_ASSERT(this->finish(1, maxNames).epoch == Epoch(2));
        CPPUNIT_ASSERT_EQUAL(turns, this->own.turnCount());
    }

    void answerThatCameTwiceCountsOnce()
    {
        constexpr std::size_t turns = 1000;
        for (std::size_t i = 0; i < turns; ++i)
            this->other.apply(makeTurn(i), this->now);
        this->receive(this->answer(this->request(1)));
        CopyPage first = this->answer(this->request(1));
        CopyPage again = this->answer(this->request(1));
        CPPUNIT_ASSERT(this->transfer->accept(this->source, first) && this->transfer->accept(this->source, again));
        this->store(first);
        CPPUNIT_ASSERT(this->transfer->onStored(this->source, first));
        const CopyRequest next = this->request(1);
        CPPUNIT_ASSERT(!this->transfer->onStored(this->source, again));
        CPPUNIT_ASSERT(this->request(1) == next && !next.wanted.empty());
    }

    void roundIsNotCompleteBeforeItsRecordsAreDurable()
    {
        this->other.apply(makeTurn(1), this->now);
        this->receive(this->answer(this->request(1)));
        CopyPage page = this->answer(this->request(1));
        CPPUNIT_ASSERT(!page.turns.empty());
        CPPUNIT_ASSERT(this->transfer->accept(this->source, page));
        // The records are not stored yet: a repeated request is one for the same records, not a confirmation.
        CPPUNIT_ASSERT(!this->request(1).isCopied);
        this->store(page);
        CPPUNIT_ASSERT(!this->transfer->onStored(this->source, page)->isLast);
        CPPUNIT_ASSERT(this->request(1).isCopied);
    }

    void unansweredStepIsRepeated()
    {
        this->other.apply(makeTurn(1), this->now);
        CPPUNIT_ASSERT(this->request(1) == this->request(1));
        this->receive(this->answer(this->request(1)));
        const CopyRequest wanted = this->request(1);
        CPPUNIT_ASSERT(!wanted.wanted.empty());
        CPPUNIT_ASSERT(this->request(1) == wanted);
    }

    void answerToAnEarlierStepIsIgnored()
    {
        constexpr std::size_t turns = 1000;
        for (std::size_t i = 0; i < turns; ++i)
            this->other.apply(makeTurn(i), this->now);
        const CopyPage compared = this->answer(this->request(1));
        CPPUNIT_ASSERT(this->receive(compared));
        CPPUNIT_ASSERT(!this->receive(compared));
        const CopyPage firstRecords = this->answer(this->request(1));
        CPPUNIT_ASSERT(this->receive(firstRecords));
        // It must not replace the page that is being stored.
        CopyPage late = firstRecords;
        CPPUNIT_ASSERT(!this->transfer->accept(this->source, late));
        CPPUNIT_ASSERT(this->finish(1).isLast);
        CPPUNIT_ASSERT_EQUAL(turns, this->own.turnCount());
        // The next round has begun; an answer about later buckets of the last one must not make them count as compared.
        this->request(1);
        late = compared;
        late.firstBucket = 1;
        CPPUNIT_ASSERT(!this->receive(late));
    }

    void answerToAnEarlierRoundIsIgnored()
    {
        const CopyPage compared = this->answer(this->request(1));
        this->request(2);
        CPPUNIT_ASSERT(!this->receive(compared));
        this->transfer->onLinkDown(this->source);
        CPPUNIT_ASSERT(!this->receive(this->answer(this->requests.back())));
    }

    void recordsReceivedFromAnotherSourceAreNotRequested()
    {
        this->other.apply(makeTurn(1), this->now);
        this->receive(this->answer(this->request(1)));
        this->own.apply(makeTurn(1), this->now);
        CPPUNIT_ASSERT(this->request(1).isCopied);
    }

    void nextRoundComparesAgain()
    {
        this->finish(1);
        this->other.apply(makeTurn(1), this->now);
        this->otherEpoch = Epoch(3);
        CPPUNIT_ASSERT(!this->request(1).digests.empty());
        CPPUNIT_ASSERT(this->finish(1).epoch == Epoch(3));
        CPPUNIT_ASSERT(this->own.hasTurn(TurnId("1")));
    }

    void pagesOfAnEarlierVersionArePassedOn()
    {
        this->other.apply(makeTurn(1), this->now);
        this->other.apply(makeTurn(2), this->now);
        this->request(1);
        CopyPage page = this->other.page(0, 1);
        page.round = 1;
        const auto report = this->receive(page);
        CPPUNIT_ASSERT(report && *report == page);
        CPPUNIT_ASSERT(this->transfer->requestPage(this->source, { 1, report->cursor }));
        CPPUNIT_ASSERT_EQUAL(page.cursor, this->requests.back().cursor);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTransferStepsTest);
