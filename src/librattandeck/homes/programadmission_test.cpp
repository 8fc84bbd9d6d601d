#include "programadmission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class ProgramAdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramAdmissionTest);
    CPPUNIT_TEST(idleServiceAdmitsEveryProgram);
    CPPUNIT_TEST(fullServiceRefusesWithARetryDelay);
    CPPUNIT_TEST(organisationWithLessUseIsPreferredUnderPressure);
    CPPUNIT_TEST_SUITE_END();

    ProgramAdmission admission;
    TimePoint now { std::chrono::hours(1) };

    bool admits(const char* organisation, ServicePressure pressure)
    {
        return !this->admission.decide(OrganisationId(organisation), pressure, this->now, 1).has_value();
    }

    void idleServiceAdmitsEveryProgram()
    {
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(this->admits("large", { 0.2, 0.1 }));
    }

    void fullServiceRefusesWithARetryDelay()
    {
        const auto refused = this->admission.decide(OrganisationId("o"), { 5, 0.1 }, this->now, 1);
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT(refused->count() > 0);
    }

    void organisationWithLessUseIsPreferredUnderPressure()
    {
        for (int i = 0; i < 50; ++i)
            this->admits("large", { 0.2, 0.1 });
        int large = 0;
        int small = 0;
        for (int i = 0; i < 10; ++i) {
            large += this->admits("large", { 0.95, 0.1 }) ? 1 : 0;
            small += this->admits("small", { 0.95, 0.1 }) ? 1 : 0;
        }
        CPPUNIT_ASSERT(small > large);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ProgramAdmissionTest);
