#include "Rattandeck/admissionrecord.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

using namespace Rattandeck;

class AdmissionOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionOrderTest);
    CPPUNIT_TEST(orderWithoutOrganisationsIsThatOfEarlierVersions);
    CPPUNIT_TEST(eachRuleOfTheOrderOutranksTheNext);
    CPPUNIT_TEST(shareIsJudgedByWeight);
    CPPUNIT_TEST(fewCallsTellNothingOfAShare);
    CPPUNIT_TEST(hotOrganisationAmongTwoIsFound);
    CPPUNIT_TEST(onlyOrganisationIsNeverAboveItsShare);
    CPPUNIT_TEST(organisationServedLessThanAQuarterAsOftenIsOwed);
    CPPUNIT_TEST(waitFollowsFromTheQueue);
    CPPUNIT_TEST(retriesAreSpreadAndHonoured);
    CPPUNIT_TEST(recordTellsWhoIsFarAboveItsShare);
    CPPUNIT_TEST(recordForgets);
    CPPUNIT_TEST(queueRateCountsTheTimeInWhichCallsWait);
    CPPUNIT_TEST_SUITE_END();

    static TimePoint at(double seconds)
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
    }

    void orderWithoutOrganisationsIsThatOfEarlierVersions()
    {
        const auto former
            = [](const AdmissionCall& call) { return std::tuple(!call.isResumption, call.rank, call.isFirstTurn); };
        std::vector<AdmissionCall> calls;
        for (const bool isResumption : { false, true })
            for (const std::uint32_t rank : { 0U, 3U, 9U })
                for (const bool isFirstTurn : { false, true })
                    calls.push_back({ isResumption, rank, isFirstTurn });
        for (const AdmissionCall& a : calls)
            for (const AdmissionCall& b : calls)
                CPPUNIT_ASSERT((admissionOrder(a) < admissionOrder(b)) == (former(a) < former(b)));
    }

    void eachRuleOfTheOrderOutranksTheNext()
    {
        const auto order = [](bool isResumption, bool isFirstTurn, bool isOwed, std::uint32_t rank, bool isFarAbove) {
            return admissionOrder({ isResumption, rank, isFirstTurn }, { isFarAbove, isOwed });
        };
        CPPUNIT_ASSERT(order(true, true, false, 9, true) < order(false, false, true, 0, false));
        CPPUNIT_ASSERT(order(false, false, false, 9, true) < order(false, true, true, 0, false));
        CPPUNIT_ASSERT(order(false, true, true, 9, true) < order(false, true, false, 0, false));
        CPPUNIT_ASSERT(order(false, true, false, 0, true) < order(false, true, false, 1, false));
        CPPUNIT_ASSERT(order(false, true, false, 1, false) < order(false, true, false, 1, true));
    }

    // Share ----------------------------------------------------------------------------------------------------------

    static OrganisationCalls offered(double calls, double weight)
    {
        OrganisationCalls use;
        use.firstTurns.offered = calls / 4;
        use.others.offered = calls - calls / 4;
        use.weight = weight;
        return use;
    }

    /// Use of organisations of weight 1 with so many calls each.
    static TotalUse together(const std::vector<double>& calls)
    {
        TotalUse all;
        for (const double count : calls)
            all.weighedCalls += count;
        all.organisations = calls.size();
        return all;
    }

    void shareIsJudgedByWeight()
    {
        // 20 organisations, one of which has ten times the allowance of the others and uses it as they do.
        const TotalUse all = together(std::vector<double>(20, 10));
        CPPUNIT_ASSERT(!isFarAboveShare(offered(100, 10), all));
        CPPUNIT_ASSERT(!isFarAboveShare(offered(10, 1), all));
        // Three of 80 send 3, 5 and 8 times their usual rate.
        std::vector<double> calls(77, 10);
        calls.insert(calls.end(), { 30, 50, 80 });
        const TotalUse hot = together(calls);
        for (const double count : { 30.0, 50.0, 80.0 })
            CPPUNIT_ASSERT(isFarAboveShare(offered(count, 1), hot));
        CPPUNIT_ASSERT(!isFarAboveShare(offered(10, 1), hot));
        CPPUNIT_ASSERT(!isFarAboveShare(offered(20, 1), hot));
    }

    void fewCallsTellNothingOfAShare()
    {
        // 3 requests a second over 22 gateways.
        std::vector<double> calls(79, 0.5);
        calls.push_back(2.5);
        CPPUNIT_ASSERT(!isFarAboveShare(offered(2.5, 1), together(calls)));
        calls.back() = 5;
        CPPUNIT_ASSERT(isFarAboveShare(offered(5, 1), together(calls)));
    }

    void hotOrganisationAmongTwoIsFound()
    {
        CPPUNIT_ASSERT(isFarAboveShare(offered(80, 1), together({ 80, 10 })));
        CPPUNIT_ASSERT(!isFarAboveShare(offered(10, 1), together({ 80, 10 })));
    }

    void onlyOrganisationIsNeverAboveItsShare()
    {
        CPPUNIT_ASSERT(!isFarAboveShare(offered(1000, 1), together({ 1000 })));
        CPPUNIT_ASSERT(!isFarAboveShare(offered(1000, 1), {}));
    }

    void organisationServedLessThanAQuarterAsOftenIsOwed()
    {
        const OfferedCalls all { 1000, 800 };
        CPPUNIT_ASSERT(isOwed({ 100, 0 }, all));
        CPPUNIT_ASSERT(isOwed({ 100, 20 }, all));
        CPPUNIT_ASSERT(!isOwed({ 100, 40 }, all));
        CPPUNIT_ASSERT(!isOwed({ 2, 0 }, all));
        CPPUNIT_ASSERT(!isOwed({ 100, 0 }, { 100, 0 }));
        CPPUNIT_ASSERT(!isOwed({}, {}));
    }

    // Refusal --------------------------------------------------------------------------------------------------------

    void waitFollowsFromTheQueue()
    {
        CPPUNIT_ASSERT(expectedQueueWait({ 0, std::nullopt }) == Milliseconds(0));
        CPPUNIT_ASSERT(expectedQueueWait({ 0, 0.0 }) == Milliseconds(0));
        CPPUNIT_ASSERT(!expectedQueueWait({ 5, std::nullopt }));
        CPPUNIT_ASSERT(expectedQueueWait({ 5, 20.0 }) == Milliseconds(250));
        CPPUNIT_ASSERT(*expectedQueueWait({ 5, 0.0 }) > Milliseconds(60000));
        CPPUNIT_ASSERT(!isWaitTooLong(Milliseconds(100), Milliseconds(100)));
        CPPUNIT_ASSERT(isWaitTooLong(Milliseconds(201), Milliseconds(100)));
    }

    void retriesAreSpreadAndHonoured()
    {
        const bool passes = rc::check([] {
            RetryInput input;
            input.least = Milliseconds(*rc::gen::inRange(1, 1000));
            input.expectedWait = Milliseconds(*rc::gen::inRange(0, 100000));
            input.timeLeft = Milliseconds(*rc::gen::inRange(0, 30000));
            input.position = *rc::gen::inRange<std::uint64_t>(0, 2 * retryPositions);
            const Milliseconds delay = spreadRetry(input);
            RC_ASSERT(delay <= input.timeLeft / 3);
            RC_ASSERT(delay >= std::min(input.least, input.timeLeft / 3));
            RC_ASSERT(delay <= input.least + std::max(input.least, input.expectedWait));
        });
        CPPUNIT_ASSERT(passes);
        std::set<Milliseconds> delays;
        for (std::uint64_t position = 0; position < retryPositions; ++position)
            delays.insert(spreadRetry({ Milliseconds(250), Milliseconds(2000), Milliseconds(30000), position }));
        CPPUNIT_ASSERT(delays.size() > retryPositions / 2);
        CPPUNIT_ASSERT(*delays.begin() == Milliseconds(250) && *delays.rbegin() > Milliseconds(2200));
    }

    // Records --------------------------------------------------------------------------------------------------------

    static Organisation organisation(const std::string& name, double rate)
    {
        Organisation organisation;
        organisation.id = OrganisationId(name);
        if (rate > 0)
            organisation.allowance = CallAllowance { CallRate(rate), 0 };
        return organisation;
    }

    void recordTellsWhoIsFarAboveItsShare()
    {
        OrganisationRecord record;
        const Organisation large = organisation("large", 100);
        const Organisation hot = organisation("hot", 10);
        const Organisation plain = organisation("plain", 0);
        double now = 0;
        for (; now < 10; now += 0.1) {
            for (int call = 0; call < 6; ++call) {
                record.onOffered(&large, false, at(now));
                record.onServed(&large, false, at(now));
            }
            for (int call = 0; call < 4; ++call)
                record.onOffered(&hot, true, at(now));
            record.onOffered(&plain, false, at(now));
            record.onOffered(nullptr, false, at(now));
        }
        CPPUNIT_ASSERT(!record.standing(&large, false, at(now)).isFarAboveShare);
        CPPUNIT_ASSERT(record.standing(&hot, true, at(now)).isFarAboveShare);
        CPPUNIT_ASSERT(record.standing(&hot, false, at(now)).isFarAboveShare);
        // Organisations without an allowance count as an average one.
        CPPUNIT_ASSERT(!record.standing(&plain, false, at(now)).isFarAboveShare);
        CPPUNIT_ASSERT(record.standing(&plain, false, at(now)).isOwed);
        CPPUNIT_ASSERT(!record.standing(&large, false, at(now)).isOwed);
    }

    void recordForgets()
    {
        OrganisationRecord record;
        const Organisation hot = organisation("hot", 10);
        const Organisation other = organisation("other", 10);
        for (int call = 0; call < 50; ++call)
            record.onOffered(&hot, true, at(1));
        record.onOffered(&other, true, at(1));
        CPPUNIT_ASSERT(record.standing(&hot, true, at(1)).isFarAboveShare);
        CPPUNIT_ASSERT(!record.standing(&hot, true, at(20)).isFarAboveShare);
    }

    void queueRateCountsTheTimeInWhichCallsWait()
    {
        QueueRate rate;
        CPPUNIT_ASSERT(!rate.servedPerSecond(at(1)));
        // Calls wait in every second half second only; then 20 a second leave.
        double now = 1;
        for (int round = 0; round < 6; ++round) {
            for (int call = 0; call < 10; ++call)
                rate.onEnqueued(at(now));
            for (int call = 0; call < 10; ++call)
                rate.onLeft(true, at(now += 0.05));
            now += 0.5;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, *rate.servedPerSecond(at(now)), 3);
        CPPUNIT_ASSERT(!rate.servedPerSecond(at(now + 30)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionOrderTest);
