#include "Rattandeck/stalls.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class StallsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StallsTest);
    CPPUNIT_TEST(usualInstancesHaveTheUsualTimeout);
    CPPUNIT_TEST(slowInstancesHaveLonger);
    CPPUNIT_TEST(timeoutIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static Duration timeout(double workTime, double expectedMs)
    {
        return stallTimeout({ Milliseconds(700), workTime, expectedMs });
    }

    void usualInstancesHaveTheUsualTimeout()
    {
        CPPUNIT_ASSERT(timeout(1, 0) == Milliseconds(700));
        CPPUNIT_ASSERT(timeout(1, 400) == Milliseconds(700));
        // A fast one isn't judged by its speed: that would move calls which are not late for their callers.
        CPPUNIT_ASSERT(timeout(0.5, 10) == Milliseconds(700));
    }

    /// Guards against calls that are moved away from sound instances because those are slow.
    void slowInstancesHaveLonger()
    {
        CPPUNIT_ASSERT(timeout(2, 0) == Milliseconds(1400));
        CPPUNIT_ASSERT(timeout(1, 1000) == Milliseconds(1500));
        CPPUNIT_ASSERT(timeout(2, 1200) == Milliseconds(1800));
    }

    /// Guards against calls that stay at an instance that hangs and was believed to be slow.
    void timeoutIsBounded()
    {
        CPPUNIT_ASSERT(timeout(8, 0) == Milliseconds(2800));
        CPPUNIT_ASSERT(timeout(1, 60000) == Milliseconds(2800));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StallsTest);
