#include "Rattandeck/crashwatch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class CrashWatchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashWatchTest);
    CPPUNIT_TEST(threeCrashesQuarantineARequest);
    CPPUNIT_TEST(lostAnswersWithoutFailureAreNotCrashes);
    CPPUNIT_TEST(failureAfterTheEvidenceWindowIsNotACrash);
    CPPUNIT_TEST(sameCrashIsCountedOnce);
    CPPUNIT_TEST(answerClearsTheRecordOfARequest);
    CPPUNIT_TEST(reportsOfOtherGatewaysAreCounted);
    CPPUNIT_TEST(crashesExpire);
    CPPUNIT_TEST_SUITE_END();

    CrashWatch watch;
    const Fingerprint request { "f" };
    TimePoint now { std::chrono::seconds(1000) };

    std::vector<CrashReport> crash(const std::string& instance, Milliseconds after = Milliseconds(100))
    {
        this->watch.onAnswerLost(this->request, EndpointId(instance), 1, this->now);
        this->now += after;
        return this->watch.onInstanceFailed(EndpointId(instance), this->now);
    }

    void threeCrashesQuarantineARequest()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->crash("e1").size());
        this->crash("e2");
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
        this->crash("e3");
        CPPUNIT_ASSERT(this->watch.isQuarantined(this->request, this->now));
        CPPUNIT_ASSERT(!this->watch.isQuarantined(Fingerprint("other"), this->now));
    }

    void lostAnswersWithoutFailureAreNotCrashes()
    {
        for (const char* instance : { "e1", "e2", "e3", "e4" })
            this->watch.onAnswerLost(this->request, EndpointId(instance), 1, this->now);
        this->watch.onInstanceFailed(EndpointId("e5"), this->now);
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
    }

    void failureAfterTheEvidenceWindowIsNotACrash()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            CPPUNIT_ASSERT(this->crash(instance, Milliseconds(6000)).empty());
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
    }

    void sameCrashIsCountedOnce()
    {
        for (int i = 0; i < 3; ++i)
            this->crash("e1");
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
    }

    void answerClearsTheRecordOfARequest()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->crash(instance);
        this->watch.onAnswered(this->request);
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
        CPPUNIT_ASSERT(this->watch.isEmpty());
    }

    void reportsOfOtherGatewaysAreCounted()
    {
        this->crash("e1");
        this->watch.onReport({ this->request, "e2/1", Milliseconds(60000) }, this->now);
        this->watch.onReport({ this->request, "e3/1", Milliseconds(60000) }, this->now);
        CPPUNIT_ASSERT(this->watch.isQuarantined(this->request, this->now));
    }

    void crashesExpire()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->crash(instance);
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now + Milliseconds(600001)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);
