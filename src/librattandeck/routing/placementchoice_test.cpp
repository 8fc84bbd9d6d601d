#include "Rattandeck/endpoints.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Rattandeck;

/// Choice among instances that are expected to be nearly equally fast, and between failure domains.
class PlacementChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementChoiceTest);
    CPPUNIT_TEST(gatewaysWithTheSameReportsChooseDifferentInstances);
    CPPUNIT_TEST(clearlyBetterInstanceIsChosenByAll);
    CPPUNIT_TEST(programsInstanceIsChosenAmongNearEqualOnes);
    CPPUNIT_TEST(openConnectionIsReusedBeforeAnotherIsOpened);
    CPPUNIT_TEST(callsOverflowBeforeTheyQueueAndReturn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t slots = 16;
    static constexpr int count = 8;

    static EndpointId idOf(int number) { return EndpointId("i" + std::to_string(number)); }

    static void addInstance(EndpointTable& table, int number, const char* domain = "here")
    {
        EndpointInstance instance;
        instance.id = idOf(number);
        instance.service = ServiceName("engine");
        instance.address = "host:" + std::to_string(number);
        instance.domain = FailureDomain(domain);
        instance.slots = slots;
        table.put(instance, {});
    }

    static EndpointCosts costsWith(std::uint64_t seed)
    {
        EndpointCosts costs;
        costs.seed = seed;
        return costs;
    }

    static PlacementQuery query()
    {
        PlacementQuery query;
        query.service = ServiceName("engine");
        query.domain = FailureDomain("here");
        return query;
    }

    /// The instances that 40 gateways choose, all of which know the same loads.
    static std::set<EndpointId> chosenBy40(std::uint64_t firstSeed, std::uint32_t loadOfTheFirst)
    {
        std::set<EndpointId> chosen;
        for (std::uint64_t i = 0; i < 40; ++i) {
            EndpointTable table(costsWith(firstSeed == 0 ? 0 : firstSeed + i));
            for (int k = 0; k < count; ++k) {
                addInstance(table, k);
                table.onLoad(idOf(k), { k == 0 ? loadOfTheFirst : 4, 0, slots }, {});
            }
            chosen.insert(table.choose(query(), {})->endpoint);
        }
        return chosen;
    }

    /// Guards against a crowd at the instance that the last report made the best one by a little.
    void gatewaysWithTheSameReportsChooseDifferentInstances()
    {
        CPPUNIT_ASSERT(chosenBy40(1, 4).size() >= 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosenBy40(0, 4).size());
    }

    void clearlyBetterInstanceIsChosenByAll() { CPPUNIT_ASSERT(chosenBy40(1, 2) == std::set<EndpointId> { idOf(0) }); }

    void programsInstanceIsChosenAmongNearEqualOnes()
    {
        PlacementQuery turn = query();
        turn.prefixKey = "p";
        turn.prompt = { { PromptPartId("shared"), TokenCount(100) } };
        std::set<EndpointId> chosen;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            EndpointTable table(costsWith(seed));
            for (int k = 0; k < count; ++k)
                addInstance(table, k);
            chosen.insert(table.choose(turn, {})->endpoint);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
    }

    /// Guards against new connections, which are expensive, where one is idle to an instance that is as good.
    void openConnectionIsReusedBeforeAnotherIsOpened()
    {
        ConnectionKnowledge connections;
        connections.hasIdle = [](const std::string& address) { return address == "host:5"; };
        EndpointTable table(costsWith(3), connections);
        for (int k = 0; k < count; ++k)
            addInstance(table, k);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(table.choose(query(), {})->endpoint == idOf(5));
        // Not at any price.
        table.onLoad(idOf(5), { 4, 0, slots }, {});
        CPPUNIT_ASSERT(table.choose(query(), {})->endpoint != idOf(5));
    }

    static bool staysHere(std::uint32_t runningHere, std::uint32_t runningThere)
    {
        EndpointTable table(costsWith(3));
        for (int k = 0; k < count; ++k) {
            addInstance(table, k, k < count / 2 ? "here" : "there");
            table.onLoad(idOf(k), { k < count / 2 ? runningHere : runningThere, 0, slots }, {});
        }
        return table.find(table.choose(query(), {})->endpoint)->domain == FailureDomain("here");
    }

    /// Demand moves between failure domains: calls cross before they would wait for a slot.
    void callsOverflowBeforeTheyQueueAndReturn()
    {
        CPPUNIT_ASSERT(staysHere(4, 4));
        CPPUNIT_ASSERT(!staysHere(slots, 4));
        CPPUNIT_ASSERT(!staysHere(slots - 1, 8));
        CPPUNIT_ASSERT(staysHere(6, 8));
        CPPUNIT_ASSERT(staysHere(slots, slots));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementChoiceTest);
