#include "Rattandeck/ratelimit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Rattandeck;

namespace {

std::vector<JournalMember> journals(int count)
{
    std::vector<JournalMember> members;
    for (int number = 1; number <= count; ++number)
        members.push_back({ NodeId("j" + std::to_string(number)), {} });
    return members;
}

TimePoint at(int milliseconds) { return TimePoint() + Milliseconds(milliseconds); }

}

class RateLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RateLimitTest);
    CPPUNIT_TEST(bucketFillsAtItsRateUpToItsSize);
    CPPUNIT_TEST(returnedTokensDoNotExceedTheSize);
    CPPUNIT_TEST(timeToNextTokenFollowsTheRate);
    CPPUNIT_TEST(issuersAreDistinctAndSpreadOverTheJournals);
    CPPUNIT_TEST(aRemovedJournalMovesOnlyItsInstances);
    CPPUNIT_TEST(onlyTheIssuersHaveARate);
    CPPUNIT_TEST(bothIssuersTogetherStayWithinTheBound);
    CPPUNIT_TEST(laterProcessesAndNewerStatementsSupersede);
    CPPUNIT_TEST_SUITE_END();

    const PermitSettings settings {};

    void bucketFillsAtItsRateUpToItsSize()
    {
        TokenBucket bucket;
        refill(bucket, CallRate(10), this->settings, at(150));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, bucket.tokens, 1e-9);
        refill(bucket, CallRate(10), this->settings, at(10000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, bucket.tokens, 1e-9);
        refill(bucket, CallRate(10), this->settings, at(5000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, bucket.tokens, 1e-9);
    }

    void returnedTokensDoNotExceedTheSize()
    {
        TokenBucket bucket;
        giveBack(bucket, 1, CallRate(10), this->settings);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, bucket.tokens, 1e-9);
        giveBack(bucket, 100, CallRate(10), this->settings);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, bucket.tokens, 1e-9);
    }

    void timeToNextTokenFollowsTheRate()
    {
        CPPUNIT_ASSERT(timeToNextToken({ 0, {} }, CallRate(4)) == Milliseconds(250));
        CPPUNIT_ASSERT(timeToNextToken({ 1.5, {} }, CallRate(4)) == Milliseconds(0));
    }

    void issuersAreDistinctAndSpreadOverTheJournals()
    {
        std::map<NodeId, int> primaries;
        constexpr int instances = 300;
        for (int number = 0; number < instances; ++number) {
            const PermitIssuers issuers = issuersOf(journals(5), EndpointId("e" + std::to_string(number)));
            CPPUNIT_ASSERT(issuers.primary != issuers.standby && !issuers.standby.value.empty());
            ++primaries[issuers.primary];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), primaries.size());
        for (const auto& [node, count] : primaries)
            CPPUNIT_ASSERT(count > instances / 10);
        CPPUNIT_ASSERT(issuersOf({}, EndpointId("e")).primary.value.empty());
        CPPUNIT_ASSERT(issuersOf(journals(1), EndpointId("e")).standby.value.empty());
    }

    void aRemovedJournalMovesOnlyItsInstances()
    {
        for (int number = 0; number < 100; ++number) {
            const EndpointId endpoint("e" + std::to_string(number));
            const PermitIssuers before = issuersOf(journals(5), endpoint);
            const PermitIssuers after = issuersOf(journals(4), endpoint);
            if (before.primary == NodeId("j5"))
                CPPUNIT_ASSERT(after.primary == before.standby);
            else
                CPPUNIT_ASSERT(after.primary == before.primary);
        }
    }

    void onlyTheIssuersHaveARate()
    {
        const PermitIssuers issuers { NodeId("j1"), NodeId("j2") };
        CPPUNIT_ASSERT_EQUAL(10.0, issuingRate(issuers, NodeId("j1"), CallRate(10), this->settings).value);
        CPPUNIT_ASSERT_EQUAL(2.0, issuingRate(issuers, NodeId("j2"), CallRate(10), this->settings).value);
        CPPUNIT_ASSERT_EQUAL(0.0, issuingRate(issuers, NodeId("j3"), CallRate(10), this->settings).value);
        // A limit of zero lets a call through now and then, so that its end is noticed.
        CPPUNIT_ASSERT_EQUAL(
            this->settings.minRate.value, issuingRate(issuers, NodeId("j1"), CallRate(0), this->settings).value);
    }

    /// What both issuers can have issued for use in any 4 s, against 1.5 times the limit and five calls.
    void bothIssuersTogetherStayWithinTheBound()
    {
        const PermitIssuers issuers { NodeId("j1"), NodeId("j2") };
        for (const double limit : { 0.5, 2.0, 6.5, 50.0, 200.0, 5000.0 }) {
            double most = 0;
            for (const NodeId& issuer : { issuers.primary, issuers.standby }) {
                const CallRate rate = issuingRate(issuers, issuer, CallRate(limit), this->settings);
                const std::chrono::duration<double> time = Milliseconds(4000) + this->settings.permitLifetime;
                most += bucketSize(rate, this->settings) + rate.value * time.count();
            }
            CPPUNIT_ASSERT(most <= 1.5 * limit * 4 + 5);
        }
    }

    void laterProcessesAndNewerStatementsSupersede()
    {
        const StatedLimit known { 5, CallRate(3), at(100) };
        CPPUNIT_ASSERT(supersedes({ 5, std::nullopt, at(101) }, known));
        CPPUNIT_ASSERT(!supersedes({ 5, CallRate(9), at(100) }, known));
        CPPUNIT_ASSERT(supersedes({ 6, CallRate(9), at(0) }, known));
        CPPUNIT_ASSERT(!supersedes({ 4, CallRate(9), at(900) }, known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);
