#include "Rattandeck/quotapolicy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class QuotaPolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaPolicyTest);
    CPPUNIT_TEST(sharesAddUpToTheAllowance);
    CPPUNIT_TEST(advanceRequestsLeaveTheLowerHalf);
    CPPUNIT_TEST(waitingCallsGetTheWholeBucket);
    CPPUNIT_TEST(firstTurnsAreLimitedWhileTheBucketIsLow);
    CPPUNIT_TEST(oneCallDoesNotMakeASmallBucketLow);
    CPPUNIT_TEST(returnedTokensAddNoMoreThanIfTheyHadNotBeenIssued);
    CPPUNIT_TEST(severalReturnsShareTheRoom);
    CPPUNIT_TEST(manyIssuesAreRememberedInBoundedMemory);
    CPPUNIT_TEST(theWaitIsTheTimeToTheNextToken);
    CPPUNIT_TEST(theLengthOfProgramsIsLearned);
    CPPUNIT_TEST(demandFollowsArrivalsAndEnds);
    CPPUNIT_TEST_SUITE_END();

    QuotaSettings settings;
    TimePoint start { std::chrono::seconds(1000) };

    QuotaShare share(double rate, double burst) const { return shareOf({ CallRate(rate), burst }, 6, this->settings); }

    QuotaBucket fullBucket(const QuotaShare& share) const
    {
        QuotaBucket bucket;
        refill(bucket, share, 8, this->start);
        return bucket;
    }

    QuotaDecision ask(QuotaBucket& bucket, const QuotaShare& share, QuotaDecision wanted, std::uint64_t stamp,
        Milliseconds at = Milliseconds(0)) const
    {
        refill(bucket, share, 8, this->start + at);
        return grant(bucket, share, wanted, stamp, this->start + at, this->settings);
    }

    void sharesAddUpToTheAllowance()
    {
        const QuotaShare small = this->share(5, 5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, 6 * small.rate, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(17, 6 * small.size, 1e-9);
    }

    void advanceRequestsLeaveTheLowerHalf()
    {
        const QuotaShare share = this->share(60, 60);
        QuotaBucket bucket = this->fullBucket(share);
        CPPUNIT_ASSERT_EQUAL(6U, this->ask(bucket, share, { 0, 0, 100, false }, 1).advance);
        CPPUNIT_ASSERT_EQUAL(0U, this->ask(bucket, share, { 0, 0, 100, false }, 2).advance);
    }

    void waitingCallsGetTheWholeBucket()
    {
        const QuotaShare share = this->share(60, 60);
        QuotaBucket bucket = this->fullBucket(share);
        const QuotaDecision granted = this->ask(bucket, share, { 100, 5, 5, false }, 1);
        CPPUNIT_ASSERT_EQUAL(12U, granted.waiting);
        CPPUNIT_ASSERT_EQUAL(0U, granted.waitingFirstTurns + granted.advance);
    }

    void firstTurnsAreLimitedWhileTheBucketIsLow()
    {
        const QuotaShare share = this->share(60, 60);
        QuotaBucket bucket = this->fullBucket(share);
        CPPUNIT_ASSERT(this->ask(bucket, share, { 3, 0, 0, false }, 1).includesFirstTurns);
        CPPUNIT_ASSERT(!this->ask(bucket, share, { 1, 0, 0, false }, 2).includesFirstTurns);
        // One is saved up; then they come at the rate at which programs can be completed, 10 / 8 a second.
        CPPUNIT_ASSERT_EQUAL(1U, this->ask(bucket, share, { 0, 5, 0, false }, 3).waitingFirstTurns);
        std::uint32_t firstTurns = 0;
        std::uint32_t calls = 0;
        for (int i = 1; i <= 80; ++i) {
            const QuotaDecision granted = this->ask(bucket, share, { 5, 5, 0, false }, 3 + i, Milliseconds(100 * i));
            firstTurns += granted.waitingFirstTurns;
            calls += granted.waiting;
        }
        CPPUNIT_ASSERT(firstTurns <= 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80, firstTurns + calls, 8);
    }

    void oneCallDoesNotMakeASmallBucketLow()
    {
        const QuotaShare share = this->share(5, 5);
        QuotaBucket bucket = this->fullBucket(share);
        CPPUNIT_ASSERT(this->ask(bucket, share, { 1, 0, 0, false }, 1).includesFirstTurns);
    }

    void returnedTokensAddNoMoreThanIfTheyHadNotBeenIssued()
    {
        const QuotaShare share = this->share(60, 60);
        QuotaBucket bucket = this->fullBucket(share);
        this->ask(bucket, share, { 12, 0, 0, false }, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12, giveBack(bucket, 12, 1), 1e-9);
        this->ask(bucket, share, { 12, 0, 0, false }, 2);
        // After 1.2 s the bucket is full again: what comes back then has lapsed.
        refill(bucket, share, 8, this->start + Milliseconds(600));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, giveBack(bucket, 12, 2), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12, bucket.tokens, 1e-6);
        refill(bucket, share, 8, this->start + Milliseconds(1300));
        this->ask(bucket, share, { 12, 0, 0, false }, 3, Milliseconds(1300));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, giveBack(bucket, 12, 2), 1e-6);
    }

    void severalReturnsShareTheRoom()
    {
        const QuotaShare share = this->share(60, 60);
        QuotaBucket bucket = this->fullBucket(share);
        this->ask(bucket, share, { 6, 0, 0, false }, 1);
        this->ask(bucket, share, { 6, 0, 0, false }, 2);
        // The room is at least 12 - 9 = 3 since both.
        refill(bucket, share, 8, this->start + Milliseconds(900));
        this->ask(bucket, share, { 9, 0, 0, false }, 3, Milliseconds(900));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, giveBack(bucket, 2, 1), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, giveBack(bucket, 6, 2), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, giveBack(bucket, 6, 1), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9, giveBack(bucket, 9, 3), 1e-6);
    }

    void manyIssuesAreRememberedInBoundedMemory()
    {
        const QuotaShare share = this->share(600, 600);
        QuotaBucket bucket = this->fullBucket(share);
        for (std::uint64_t i = 1; i <= 1000; ++i)
            this->ask(bucket, share, { 1, 0, 0, false }, i, Milliseconds(i));
        CPPUNIT_ASSERT(bucket.rooms.size() <= 40);
        CPPUNIT_ASSERT(giveBack(bucket, 1, 1000) > 0);
    }

    void theWaitIsTheTimeToTheNextToken()
    {
        const QuotaShare share = this->share(60, 60);
        QuotaBucket bucket = this->fullBucket(share);
        this->ask(bucket, share, { 12, 0, 0, false }, 1);
        CPPUNIT_ASSERT(timeToNext(bucket, share, QuotaKind::Call, 8, this->settings) == Duration(Milliseconds(100)));
        bucket.firstTurns = 0;
        CPPUNIT_ASSERT(
            timeToNext(bucket, share, QuotaKind::FirstTurn, 8, this->settings) == Duration(Milliseconds(800)));
    }

    void theLengthOfProgramsIsLearned()
    {
        QuotaPrograms programs;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, meanCalls(programs, this->settings), 1e-9);
        for (int i = 0; i < 600; ++i)
            notePrograms(programs, 40, 10, this->start + Milliseconds(100 * i), this->settings);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, meanCalls(programs, this->settings), 0.1);
    }

    void demandFollowsArrivalsAndEnds()
    {
        QuotaArrivals arrivals;
        TimePoint now = this->start;
        for (int i = 0; i < 500; ++i) {
            now += Milliseconds(10);
            noteArrival(arrivals, now);
        }
        const std::uint32_t busy = expectedDemand(arrivals, now, this->settings);
        // 15 calls and two standard deviations.
        CPPUNIT_ASSERT(busy >= 21 && busy <= 25);
        const std::uint32_t last = expectedDemand(arrivals, now + Milliseconds(1990), this->settings);
        CPPUNIT_ASSERT(last >= 1 && last <= 6);
        CPPUNIT_ASSERT_EQUAL(0U, expectedDemand(arrivals, now + Milliseconds(2010), this->settings));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaPolicyTest);
