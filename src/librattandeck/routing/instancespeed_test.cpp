#include "Rattandeck/instancespeed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>
#include <vector>

using namespace Rattandeck;

class InstanceSpeedTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InstanceSpeedTest);
    CPPUNIT_TEST(noiseOfAlikeInstancesDoesNotCount);
    CPPUNIT_TEST(fewObservationsDoNotCount);
    CPPUNIT_TEST(lastingSlownessIsLearnt);
    CPPUNIT_TEST(slowStartIsForgottenSoon);
    CPPUNIT_TEST(singleOutlierDoesNotCount);
    CPPUNIT_TEST(instanceThatIsSlowForAWhileIsFollowed);
    CPPUNIT_TEST(shortSlownessDoesNotCount);
    CPPUNIT_TEST(instanceThatChangesForGoodIsFollowed);
    CPPUNIT_TEST(statedPaceCountsLessTheOlderItIs);
    CPPUNIT_TEST(noPaceIsAsUsual);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937 random { 7 };
    WorkSpread spread;
    TimePoint now {};
    std::vector<InstanceSpeed> others { 7 };

    /// Observes an instance ten times a second, beside usual ones of its service.
    void observe(InstanceSpeed& speed, double deviation, double noise, int count)
    {
        std::normal_distribution<double> drawn(deviation, noise);
        for (int i = 0; i < count; ++i) {
            this->now += Milliseconds(100);
            observeWork(speed, this->spread, drawn(this->random), this->now);
            for (InstanceSpeed& other : this->others)
                observeWork(other, this->spread, drawn(this->random) - deviation, this->now);
        }
    }

    /// Guards against placement by noise in a fleet whose instances are alike.
    void noiseOfAlikeInstancesDoesNotCount()
    {
        for (const double noise : { 0.05, 0.2, 0.7 }) {
            this->spread = {};
            std::vector<InstanceSpeed> fleet(42);
            int checks = 0;
            int misjudged = 0;
            for (int round = 0; round < 400; ++round) {
                for (InstanceSpeed& speed : fleet) {
                    this->observe(speed, 0, noise, 1);
                    ++checks;
                    misjudged += std::abs(std::log(expectedWorkTime(speed, this->now))) > 0.2 ? 1 : 0;
                }
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(noise) + ": " + std::to_string(misjudged), misjudged * 100 < checks);
        }
    }

    void fewObservationsDoNotCount()
    {
        InstanceSpeed speed;
        this->observe(speed, 1.5, 0, minSpeedObservations - 1);
        CPPUNIT_ASSERT_EQUAL(1.0, expectedWorkTime(speed, this->now));
    }

    void lastingSlownessIsLearnt()
    {
        std::vector<InstanceSpeed> fleet(8);
        for (int i = 0; i < 40; ++i) {
            for (std::size_t k = 0; k < fleet.size(); ++k)
                this->observe(fleet[k], k < 2 ? std::log(2.18) : 0, 0.1, 1);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.18, expectedWorkTime(fleet[0], this->now), 0.3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, expectedWorkTime(fleet[5], this->now), 0.1);
        // It lasts without observations, but not for ever: the instance may have changed.
        CPPUNIT_ASSERT(expectedWorkTime(fleet[0], this->now + Milliseconds(10000)) > 1.6);
        CPPUNIT_ASSERT_EQUAL(1.0, expectedWorkTime(fleet[0], this->now + Milliseconds(60000)));
    }

    /// Guards against an instance that was slow while it started, and then gets no calls that would show the contrary.
    void slowStartIsForgottenSoon()
    {
        InstanceSpeed speed;
        this->observe(speed, std::log(5), 0.1, 30);
        CPPUNIT_ASSERT(expectedWorkTime(speed, this->now) > 4);
        CPPUNIT_ASSERT_EQUAL(1.0, expectedWorkTime(speed, this->now + Milliseconds(6000)));
    }

    void singleOutlierDoesNotCount()
    {
        InstanceSpeed speed;
        this->observe(speed, 0, 0.05, 60);
        observeWork(speed, this->spread, 2, this->now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, expectedWorkTime(speed, this->now), 1e-9);
    }

    void instanceThatIsSlowForAWhileIsFollowed()
    {
        InstanceSpeed speed;
        this->observe(speed, 0, 0.1, 60);
        this->observe(speed, std::log(5), 0.1, 25);
        CPPUNIT_ASSERT(expectedWorkTime(speed, this->now) > 4);
        // Without calls it is believed to have recovered, so that it gets calls again.
        CPPUNIT_ASSERT_EQUAL(1.0, expectedWorkTime(speed, this->now + Milliseconds(6000)));
        this->observe(speed, 0, 0.1, 3);
        CPPUNIT_ASSERT_EQUAL(1.0, expectedWorkTime(speed, this->now));
    }

    /// Guards against avoiding those that have recovered, in favour of those that have become slow meanwhile.
    void shortSlownessDoesNotCount()
    {
        InstanceSpeed speed;
        this->observe(speed, 0, 0.1, 60);
        this->observe(speed, std::log(5), 0.1, 6);
        CPPUNIT_ASSERT_EQUAL(1.0, expectedWorkTime(speed, this->now));
    }

    void instanceThatChangesForGoodIsFollowed()
    {
        InstanceSpeed speed;
        this->observe(speed, 0, 0.05, 60);
        this->observe(speed, std::log(3), 0.05, 200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, expectedWorkTime(speed, this->now + Milliseconds(5000)), 0.5);
    }

    void statedPaceCountsLessTheOlderItIs()
    {
        InstanceSpeed speed;
        for (int i = 0; i < 40; ++i) {
            this->now += Milliseconds(100);
            observePace(speed, WorkTimePercent(i % 2 == 0 ? 100 : 200), this->now);
        }
        observePace(speed, WorkTimePercent(300), this->now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, expectedPace(speed, this->now), 1e-9);
        const double after = expectedPace(speed, this->now + Milliseconds(200));
        CPPUNIT_ASSERT(after < 2.4 && after > 1.8);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, expectedPace(speed, this->now + Milliseconds(400)), 0.15);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, expectedPace(speed, this->now + Milliseconds(10000)), 1e-9);
    }

    void noPaceIsAsUsual()
    {
        InstanceSpeed speed;
        CPPUNIT_ASSERT_EQUAL(1.0, expectedPace(speed, this->now));
        observePace(speed, WorkTimePercent(100), this->now);
        CPPUNIT_ASSERT_EQUAL(1.0, expectedPace(speed, this->now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceSpeedTest);
