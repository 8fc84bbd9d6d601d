#include "Rattandeck/quotarefusals.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class QuotaRefusalsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaRefusalsTest);
    CPPUNIT_TEST(linesAreSpacedAndCount);
    CPPUNIT_TEST(theMetricNamesTheLargest);
    CPPUNIT_TEST_SUITE_END();

    void linesAreSpacedAndCount()
    {
        QuotaRefusals refusals;
        const OrganisationId a("a");
        const TimePoint start { std::chrono::seconds(1) };
        CPPUNIT_ASSERT(refusals.note(a, start) == 1);
        CPPUNIT_ASSERT(!refusals.note(a, start + Milliseconds(1)));
        CPPUNIT_ASSERT(refusals.note(OrganisationId("b"), start) == 1);
        CPPUNIT_ASSERT(refusals.note(a, start + Milliseconds(1000)) == 2);
    }

    void theMetricNamesTheLargest()
    {
        QuotaRefusals refusals;
        for (int i = 0; i < 30; ++i) {
            for (int call = 0; call <= i; ++call)
                refusals.note(OrganisationId(std::to_string(i)), {});
        }
        const auto largest = refusals.largest(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), largest.size());
        CPPUNIT_ASSERT(largest.front().first == OrganisationId("29") && largest.front().second == 30);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(55), refusals.countBeyond(20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaRefusalsTest);
