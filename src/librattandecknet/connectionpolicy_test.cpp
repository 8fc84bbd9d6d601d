#include "RattandeckNet/connectionpolicy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckNet;
using std::chrono::milliseconds;

/// Which connections are closed when memory or connections are spent.
class ConnectionPolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionPolicyTest);
    CPPUNIT_TEST(nothingIsClosedWithoutNeed);
    CPPUNIT_TEST(requestsThatRunAndIdleConnectionsAreLeftAlone);
    CPPUNIT_TEST(requestsThatArriveSteadilyAreLeftAlone);
    CPPUNIT_TEST(stalledComesBeforeSlow);
    CPPUNIT_TEST(costliestComesFirstAndNoMoreThanNeeded);
    CPPUNIT_TEST(smallConnectionsAreLeftAlone);
    CPPUNIT_TEST(newcomersReplaceConnectionsThatDoNothing);
    CPPUNIT_TEST(newcomersDoNotReplaceConnectionsThatCallersReuse);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024UL * 1024;

    static ConnectionUse use(ConnectionStage stage, std::size_t bytes, int ageMs, int sinceProgressMs)
    {
        return { stage, bytes, milliseconds(ageMs), milliseconds(sinceProgressMs) };
    }

    using Indexes = std::vector<std::size_t>;

    void nothingIsClosedWithoutNeed()
    {
        CPPUNIT_ASSERT(chooseConnectionsToClose({ use(ConnectionStage::Receiving, megabyte, 9000, 9000) }, 0).empty());
        CPPUNIT_ASSERT(chooseConnectionsToClose({}, megabyte).empty());
    }

    void requestsThatRunAndIdleConnectionsAreLeftAlone()
    {
        const std::vector<ConnectionUse> uses { use(ConnectionStage::Running, 8 * megabyte, 20000, 20000),
            use(ConnectionStage::Idle, megabyte, 20000, 20000) };
        CPPUNIT_ASSERT(chooseConnectionsToClose(uses, megabyte).empty());
    }

    void requestsThatArriveSteadilyAreLeftAlone()
    {
        const std::vector<ConnectionUse> uses { use(ConnectionStage::Receiving, 4 * megabyte, 3000, 400),
            use(ConnectionStage::Sending, megabyte, 3000, 400) };
        CPPUNIT_ASSERT(chooseConnectionsToClose(uses, megabyte).empty());
    }

    void stalledComesBeforeSlow()
    {
        const std::vector<ConnectionUse> uses { use(ConnectionStage::Receiving, 4 * megabyte, 60000, 10),
            use(ConnectionStage::Sending, megabyte, 2000, 1500) };
        CPPUNIT_ASSERT(chooseConnectionsToClose(uses, 2 * megabyte) == Indexes({ 1, 0 }));
    }

    void costliestComesFirstAndNoMoreThanNeeded()
    {
        const std::vector<ConnectionUse> uses { use(ConnectionStage::Receiving, megabyte, 5000, 5000),
            use(ConnectionStage::Receiving, 4 * megabyte, 2000, 2000),
            use(ConnectionStage::Receiving, 2 * megabyte, 6000, 6000) };
        CPPUNIT_ASSERT(chooseConnectionsToClose(uses, megabyte) == Indexes({ 2 }));
        CPPUNIT_ASSERT(chooseConnectionsToClose(uses, 3 * megabyte) == Indexes({ 2, 1 }));
    }

    void smallConnectionsAreLeftAlone()
    {
        CPPUNIT_ASSERT(
            chooseConnectionsToClose({ use(ConnectionStage::Receiving, 1000, 9000, 9000) }, megabyte).empty());
    }

    void newcomersReplaceConnectionsThatDoNothing()
    {
        std::vector<ConnectionUse> uses { use(ConnectionStage::Idle, 2048, 2000, 2000),
            use(ConnectionStage::Receiving, 2048, 7000, 7000), use(ConnectionStage::Running, 2048, 30000, 30000) };
        CPPUNIT_ASSERT(chooseConnectionsForNewcomers(uses, 5) == Indexes({ 1, 0 }));
        CPPUNIT_ASSERT(chooseConnectionsForNewcomers(uses, 1) == Indexes({ 1 }));
    }

    void newcomersDoNotReplaceConnectionsThatCallersReuse()
    {
        ConnectionUse reused = use(ConnectionStage::Idle, 2048, 12500, 12500);
        reused.hasBeenUsed = true;
        CPPUNIT_ASSERT(chooseConnectionsForNewcomers({ reused }, 5).empty());
        reused.sinceProgress = milliseconds(13500);
        CPPUNIT_ASSERT(chooseConnectionsForNewcomers({ reused }, 5) == Indexes({ 0 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPolicyTest);
