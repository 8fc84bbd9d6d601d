#include "Rattandeck/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Rattandeck;

class LimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitsTest);
    CPPUNIT_TEST(limitStaysWithinItsBounds);
    CPPUNIT_TEST(limitGrowsOnlyWhileItIsUsed);
    CPPUNIT_TEST(limitDecreasesWhenServiceTimeExceedsTolerance);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(retryAfterHasJitterAndIsNeverZero);
    CPPUNIT_TEST_SUITE_END();

    void limitStaysWithinItsBounds()
    {
        CPPUNIT_ASSERT(rc::check("minimum <= limit <= maximum", [] {
            ConcurrencyLimit limit;
            const auto milliseconds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5000));
            for (const int serviceTime : milliseconds) {
                limit = *rc::gen::arbitrary<bool>()
                    ? limitAfterCall(limit, serviceTime / 1000.0, *rc::gen::inRange(0U, 100U))
                    : limitAfterRejection(limit, *rc::gen::inRange(0U, 100U));
                RC_ASSERT(limit.limit >= limit.minLimit);
                RC_ASSERT(limit.limit <= limit.maxLimit);
            }
        }));
    }

    void limitGrowsOnlyWhileItIsUsed()
    {
        const ConcurrencyLimit start;
        CPPUNIT_ASSERT_EQUAL(start.limit, limitAfterCall(start, 0.02, 1).limit);
        CPPUNIT_ASSERT(limitAfterCall(start, 0.02, 8).limit > start.limit);
    }

    void limitDecreasesWhenServiceTimeExceedsTolerance()
    {
        ConcurrencyLimit limit = limitAfterCall({}, 0.02, 8);
        const double before = limit.limit;
        for (int i = 0; i < 50; ++i)
            limit = limitAfterCall(limit, 0.02 * 2 * serviceTimeTolerance, 8);
        CPPUNIT_ASSERT(limit.limit < before);
    }

    void retriesStayWithinBudget()
    {
        RetryBudget budget;
        int retries = 0;
        constexpr int firstAttempts = 1000;
        for (int i = 0; i < firstAttempts; ++i) {
            depositFirstAttempt(budget);
            while (tryWithdrawRetry(budget))
                ++retries;
        }
        CPPUNIT_ASSERT(retries <= budget.maxTokens + budget.ratio * firstAttempts);
        CPPUNIT_ASSERT(retries >= budget.ratio * firstAttempts);
    }

    void retryAfterHasJitterAndIsNeverZero()
    {
        CPPUNIT_ASSERT(retryAfter(0, 0) > Milliseconds(0));
        CPPUNIT_ASSERT(retryAfter(1e30, 0) > Milliseconds(0));
        CPPUNIT_ASSERT(retryAfter(10, 1) != retryAfter(10, 700));
        CPPUNIT_ASSERT(retryAfter(10, 1) > retryAfter(1, 1));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
