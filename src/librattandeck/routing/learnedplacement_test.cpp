#include "Rattandeck/endpoints.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Rattandeck;

/// Guards against deployments whose instances are alike being placed by learned speeds that nobody asked for.
class LearnedPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LearnedPlacementTest);
    CPPUNIT_TEST(speedsDontCountWhereNoInstanceStatesItsPace);
    CPPUNIT_TEST(speedsCountOnceAnInstanceStatesItsPace);
    CPPUNIT_TEST(speedsCountEverywhereIfAskedFor);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int instances = 8;
    const ServiceName service { "service" };

    static EndpointId id(int number) { return EndpointId("i" + std::to_string(number)); }

    /// Instance 0 takes four times as long as the others.
    void observe(EndpointTable& table, TimePoint& now) const
    {
        constexpr int rounds = 100;
        constexpr double usualMs = 20;
        for (int number = 0; number < instances; ++number) {
            EndpointInstance instance;
            instance.id = id(number);
            instance.service = this->service;
            instance.address = "host:" + std::to_string(number);
            instance.slots = 16;
            table.put(instance, now);
        }
        for (int round = 0; round < rounds; ++round) {
            now += Milliseconds(100);
            for (int number = 0; number < instances; ++number)
                table.onWork(id(number), { number == 0 ? 4 * usualMs : usualMs, usualMs, 0, false }, now);
        }
    }

    static EndpointCosts costs(bool learnsEverywhere)
    {
        EndpointCosts costs;
        costs.learnsEverywhere = learnsEverywhere;
        return costs;
    }

public:
    void speedsDontCountWhereNoInstanceStatesItsPace()
    {
        EndpointTable table(costs(false));
        TimePoint now {};
        this->observe(table, now);
        table.onLoad(id(1), { 1, 0, 16 }, now);
        CPPUNIT_ASSERT(!table.isLearned(this->service));
        CPPUNIT_ASSERT_EQUAL(1.0, table.workTime(id(0), now));
    }

    void speedsCountOnceAnInstanceStatesItsPace()
    {
        EndpointTable table(costs(false));
        TimePoint now {};
        this->observe(table, now);
        table.onLoad(id(1), { 1, 0, 16, WorkTimePercent(100) }, now);
        CPPUNIT_ASSERT(table.isLearned(this->service));
        CPPUNIT_ASSERT(table.workTime(id(0), now) > 1.5);
    }

    void speedsCountEverywhereIfAskedFor()
    {
        EndpointTable table(costs(true));
        TimePoint now {};
        this->observe(table, now);
        CPPUNIT_ASSERT(table.workTime(id(0), now) > 1.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearnedPlacementTest);
