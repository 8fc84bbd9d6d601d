#include "Rattandeck/cachepolicy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class CachePolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CachePolicyTest);
    CPPUNIT_TEST(prefixWithCheaperRebuildIsEvictedFirst);
    CPPUNIT_TEST(prefixIsKeptDuringPause);
    CPPUNIT_TEST_SUITE_END();

    void prefixWithCheaperRebuildIsEvictedFirst()
    {
        PausedPrefix small;
        small.rebuildTime = Milliseconds(200);
        PausedPrefix large;
        large.rebuildTime = Milliseconds(900);
        CPPUNIT_ASSERT(evictionValue(small) < evictionValue(large));
    }

    void prefixIsKeptDuringPause()
    {
        const PausedPrefix prefix { TokenCount(5000), std::chrono::seconds(30), Milliseconds(600), Milliseconds(90) };
        const CachePressure full { TokenCount(10000), TokenCount(10000), TokenCount(4000) };
        CPPUNIT_ASSERT(choosePrefixAction(prefix, full) == PrefixAction::Keep);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CachePolicyTest);
