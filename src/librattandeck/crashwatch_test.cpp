#include "Rattandeck/crashwatch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class CrashWatchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashWatchTest);
    CPPUNIT_TEST(threeCrashesHoldARequest);
    CPPUNIT_TEST(lostAnswersAloneProveNothing);
    CPPUNIT_TEST(lateDeathProvesNothing);
    CPPUNIT_TEST(sameCrashCountsOnce);
    CPPUNIT_TEST(answeredRequestIsInnocent);
    CPPUNIT_TEST(reportsFromElsewhereCount);
    CPPUNIT_TEST(crashesAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    CrashWatch watch;
    const Fingerprint request { "f" };
    TimePoint now { std::chrono::seconds(1000) };

    std::vector<CrashReport> crash(const std::string& instance, Milliseconds after = Milliseconds(100))
    {
        this->watch.onLost(this->request, EndpointId(instance), 1, this->now);
        this->now += after;
        return this->watch.onDead(EndpointId(instance), this->now);
    }

    void threeCrashesHoldARequest()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->crash("e1").size());
        this->crash("e2");
        CPPUNIT_ASSERT(!this->watch.isHeld(this->request, this->now));
        this->crash("e3");
        CPPUNIT_ASSERT(this->watch.isHeld(this->request, this->now));
        CPPUNIT_ASSERT(!this->watch.isHeld(Fingerprint("other"), this->now));
    }

    void lostAnswersAloneProveNothing()
    {
        for (const char* instance : { "e1", "e2", "e3", "e4" })
            this->watch.onLost(this->request, EndpointId(instance), 1, this->now);
        this->watch.onDead(EndpointId("e5"), this->now);
        CPPUNIT_ASSERT(!this->watch.isHeld(this->request, this->now));
    }

    void lateDeathProvesNothing()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            CPPUNIT_ASSERT(this->crash(instance, Milliseconds(6000)).empty());
        CPPUNIT_ASSERT(!this->watch.isHeld(this->request, this->now));
    }

    void sameCrashCountsOnce()
    {
        for (int i = 0; i < 3; ++i)
            this->crash("e1");
        CPPUNIT_ASSERT(!this->watch.isHeld(this->request, this->now));
    }

    void answeredRequestIsInnocent()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->crash(instance);
        this->watch.onAnswered(this->request);
        CPPUNIT_ASSERT(!this->watch.isHeld(this->request, this->now));
        CPPUNIT_ASSERT(this->watch.isEmpty());
    }

    void reportsFromElsewhereCount()
    {
        this->crash("e1");
        this->watch.onReport({ this->request, "e2/1", Milliseconds(60000) }, this->now);
        this->watch.onReport({ this->request, "e3/1", Milliseconds(60000) }, this->now);
        CPPUNIT_ASSERT(this->watch.isHeld(this->request, this->now));
    }

    void crashesAreForgotten()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->crash(instance);
        CPPUNIT_ASSERT(!this->watch.isHeld(this->request, this->now + Milliseconds(600001)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);
