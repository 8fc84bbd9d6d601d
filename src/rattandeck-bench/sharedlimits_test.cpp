#include "sharedlimits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckBench;

class SharedLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SharedLimitsTest);
    CPPUNIT_TEST(permitsStayWithinTheBoundAndUseTheLimit);
    CPPUNIT_TEST(equalSplitWastesTheLimitWhenCallersAreUneven);
    CPPUNIT_TEST(equalSeedsGiveEqualResults);
    CPPUNIT_TEST_SUITE_END();

    void permitsStayWithinTheBoundAndUseTheLimit()
    {
        for (const int gateways : { 5, 350 }) {
            for (const DemandShape shape : { DemandShape::Even, DemandShape::Skewed, DemandShape::Moving }) {
                const auto result = playSharedLimit({ SharingRule::Permits, shape, gateways, 6.5, 3 }, 1);
                CPPUNIT_ASSERT(result.worstSpan < 1);
                CPPUNIT_ASSERT(result.used > 0.9);
            }
        }
    }

    void equalSplitWastesTheLimitWhenCallersAreUneven()
    {
        const auto split = playSharedLimit({ SharingRule::EqualSplit, DemandShape::Moving, 20, 50, 0.8 }, 1);
        const auto permits = playSharedLimit({ SharingRule::Permits, DemandShape::Moving, 20, 50, 0.8 }, 1);
        CPPUNIT_ASSERT(split.used < permits.used);
    }

    void equalSeedsGiveEqualResults()
    {
        const SharedLimitSpec spec { SharingRule::DemandSplit, DemandShape::Skewed, 20, 6.5, 2 };
        CPPUNIT_ASSERT_EQUAL(playSharedLimit(spec, 3).used, playSharedLimit(spec, 3).used);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedLimitsTest);
