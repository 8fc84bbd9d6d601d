#include "Rattandeck/ordering.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Rattandeck;

class OrderingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderingTest);
    CPPUNIT_TEST(priorityIsRelativeToTheLatencyTarget);
    CPPUNIT_TEST(starvingCallsRunFirstInOrderOfTheirWait);
    CPPUNIT_TEST(emptyQueueHasNoNextCall);
    CPPUNIT_TEST_SUITE_END();

    void priorityIsRelativeToTheLatencyTarget()
    {
        using std::chrono::seconds;
        const double longHalfway = callPriority({ seconds(50), seconds(100) }, {});
        const double shortHalfway = callPriority({ seconds(5), seconds(10) }, {});
        const double shortLate = callPriority({ seconds(11), seconds(10) }, {});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(longHalfway, shortHalfway, 1e-9);
        CPPUNIT_ASSERT(shortLate < longHalfway);
        CPPUNIT_ASSERT(shortLate < 0);
    }

    void starvingCallsRunFirstInOrderOfTheirWait()
    {
        CPPUNIT_ASSERT(rc::check("no call that waits longer than the limit is passed by a younger one", [] {
            const auto waits = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60)));
            std::vector<QueuedCall> queue;
            for (const int wait : waits) {
                QueuedCall call;
                call.priority = *rc::gen::inRange(-5, 5);
                call.waited = std::chrono::seconds(wait);
                queue.push_back(call);
            }
            const OrderingSettings settings;
            const QueuedCall& next = queue[nextCall(queue, settings).value()];
            for (const QueuedCall& call : queue) {
                RC_ASSERT(call.waited < settings.starvationLimit || next.waited >= call.waited);
                if (next.waited < settings.starvationLimit)
                    RC_ASSERT(next.priority <= call.priority);
            }
        }));
    }

    void emptyQueueHasNoNextCall() { CPPUNIT_ASSERT(!nextCall({}, {})); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderingTest);
