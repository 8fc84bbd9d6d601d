#include "Rattandeck/timer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Rattandeck;

class TimerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TimerTest);
    CPPUNIT_TEST(callbacksRunInOrderOfTimeThenScheduling);
    CPPUNIT_TEST(cancelledCallbackDoesNotRun);
    CPPUNIT_TEST(callbackScheduledByCallbackRunsInSameAdvance);
    CPPUNIT_TEST_SUITE_END();

    void callbacksRunInOrderOfTimeThenScheduling()
    {
        TimerService timers;
        std::string calls;
        timers.subscribeAfter(Milliseconds(2), [&] { calls += 'c'; });
        timers.subscribeAfter(Milliseconds(1), [&] { calls += 'a'; });
        timers.subscribeAfter(Milliseconds(1), [&] { calls += 'b'; });
        timers.advanceTo(TimePoint(Milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), calls);
        timers.advanceTo(TimePoint(Milliseconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), calls);
        CPPUNIT_ASSERT(timers.now() == TimePoint(Milliseconds(5)));
    }

    void cancelledCallbackDoesNotRun()
    {
        TimerService timers;
        bool called = false;
        const TimerId id = timers.subscribeAfter(Milliseconds(1), [&] { called = true; });
        timers.cancel(id);
        timers.cancel(id);
        timers.advanceTo(TimePoint(Milliseconds(2)));
        CPPUNIT_ASSERT(!called);
        CPPUNIT_ASSERT(!timers.nextDue());
    }

    void callbackScheduledByCallbackRunsInSameAdvance()
    {
        TimerService timers;
        TimePoint seen;
        timers.subscribeAfter(
            Milliseconds(1), [&] { timers.subscribeAfter(Milliseconds(1), [&] { seen = timers.now(); }); });
        timers.advanceTo(TimePoint(Milliseconds(10)));
        CPPUNIT_ASSERT(seen == TimePoint(Milliseconds(2)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TimerTest);
