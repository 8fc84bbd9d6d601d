#include "programadmission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class OpeningGateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OpeningGateTest);
    CPPUNIT_TEST(idleServiceLetsEverybodyIn);
    CPPUNIT_TEST(fullServiceRefusesWithATimeToComeBack);
    CPPUNIT_TEST(underPressureTheSmallOrganisationGoesFirst);
    CPPUNIT_TEST_SUITE_END();

    ProgramAdmission gate;
    TimePoint now { std::chrono::hours(1) };

    bool letsIn(const char* organisation, ServicePressure pressure)
    {
        return !this->gate.decide(OrganisationId(organisation), pressure, this->now, 1).has_value();
    }

    void idleServiceLetsEverybodyIn()
    {
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(this->letsIn("large", { 0.2, 0.1 }));
    }

    void fullServiceRefusesWithATimeToComeBack()
    {
        const auto refused = this->gate.decide(OrganisationId("o"), { 5, 0.1 }, this->now, 1);
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT(refused->count() > 0);
    }

    void underPressureTheSmallOrganisationGoesFirst()
    {
        for (int i = 0; i < 50; ++i)
            this->letsIn("large", { 0.2, 0.1 });
        int large = 0;
        int small = 0;
        for (int i = 0; i < 10; ++i) {
            large += this->letsIn("large", { 0.95, 0.1 }) ? 1 : 0;
            small += this->letsIn("small", { 0.95, 0.1 }) ? 1 : 0;
        }
        CPPUNIT_ASSERT(small > large);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OpeningGateTest);
