#include "RattandeckApp/daemon.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;
using namespace RattandeckApp;

class DaemonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonTest);
    CPPUNIT_TEST(stopsOnceDrainedAndClosed);
    CPPUNIT_TEST(stopsAfterCloseLimitIfPeersStayConnected);
    CPPUNIT_TEST(advertisesTheBoundPortUnlessConfigured);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    bool drained = false;
    bool closed = false;
    std::string calls;

    void begin()
    {
        PlannedStop steps;
        steps.isDrained = [this] { return this->drained; };
        steps.close = [this] { this->calls += "close "; };
        steps.isClosed = [this] { return this->closed; };
        steps.stop = [this] { this->calls += "stop "; };
        runPlannedStop(this->timers, std::move(steps));
    }

    void stopsOnceDrainedAndClosed()
    {
        this->begin();
        this->timers.advanceTo(TimePoint(Milliseconds(60000)));
        CPPUNIT_ASSERT_EQUAL(std::string(), this->calls);
        this->drained = true;
        this->timers.advanceTo(TimePoint(Milliseconds(60100)));
        CPPUNIT_ASSERT_EQUAL(std::string("close "), this->calls);
        this->closed = true;
        this->timers.advanceTo(TimePoint(Milliseconds(60200)));
        CPPUNIT_ASSERT_EQUAL(std::string("close stop "), this->calls);
        CPPUNIT_ASSERT(!this->timers.nextDue());
    }

    void stopsAfterCloseLimitIfPeersStayConnected()
    {
        this->drained = true;
        this->begin();
        this->timers.advanceTo(TimePoint(closeLimit - Milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("close "), this->calls);
        this->timers.advanceTo(TimePoint(closeLimit));
        CPPUNIT_ASSERT_EQUAL(std::string("close stop "), this->calls);
        CPPUNIT_ASSERT(!this->timers.nextDue());
    }

    void advertisesTheBoundPortUnlessConfigured()
    {
        InstanceSettings settings;
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:4711"), peersAddress(settings, 4711));
        settings.peersAdvertise = "127.0.0.2:80";
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.2:80"), peersAddress(settings, 4711));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);
