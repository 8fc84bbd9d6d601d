#include "sidecarfixture_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace Rattandeck;

/// Prefixes, records of ended programs, crashes and configuration.
class SidecarRecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SidecarRecoveryTest);
    CPPUNIT_TEST(prefixIsReleasedWhenProgramEnds);
    CPPUNIT_TEST(prefixIsReleasedWhenItsHomeDoesNotRenewTheLease);
    CPPUNIT_TEST(startingSidecarReleasesAllPrefixesOnce);
    CPPUNIT_TEST(prefixWithRenewedLeaseIsKept);
    CPPUNIT_TEST(prefixOfUnfinishedCallIsReleasedAfterItsLease);
    CPPUNIT_TEST(prefixIsReleasedAfterCallWhenProgramEndsDuringIt);
    CPPUNIT_TEST(prefixChangesAreReportedOnlyToTheHome);
    CPPUNIT_TEST(newHomeReceivesReportOfAllPrefixes);
    CPPUNIT_TEST(idlePrefixIsEvictedWhenCallNeedsMemory);
    CPPUNIT_TEST(prefillOfTokensHeldBeforeCountsAsWasted);
    CPPUNIT_TEST(recordsOfSubAgentAreKeptUntilItsRootEnds);
    CPPUNIT_TEST(recordWithKeyIsKeptForRetentionAfterProgramEnds);
    CPPUNIT_TEST(crashingRequestIsQuarantinedAndConcurrentRequestsAreNot);
    CPPUNIT_TEST(completedRequestIsNoCrashSuspect);
    CPPUNIT_TEST(requestIsRefusedWhileQuarantineObjectExists);
    CPPUNIT_TEST(configurationNeverReverts);
    CPPUNIT_TEST(configurationIsSentToRestartedEntry);
    CPPUNIT_TEST_SUITE_END();

    static inline const Milliseconds reportInterval = SidecarSettings().reportInterval;

    void prefixIsReleasedWhenProgramEnds()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.core.status().heldPrefixes);
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(2), order.program.id });
        CPPUNIT_ASSERT(world.released.empty());
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), order.program.id });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
        const Order late = world.order(home, 1, 2);
        world.core.onMessage(home, late);
        CPPUNIT_ASSERT(world.refusal(late) == RefusalReason::Conflict);
    }

    void prefixIsReleasedWhenItsHomeDoesNotRenewTheLease()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        world.core.onLinkDown(home);
        world.advance(SidecarSettings().prefixLease + reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().heldPrefixes);
    }

    void startingSidecarReleasesAllPrefixesOnce()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), world.releaseAllCount);
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        world.advance(10 * reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), world.releaseAllCount);
    }

    void prefixWithRenewedLeaseIsKept()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        world.advance(SidecarSettings().prefixLease / 2);
        world.core.onMessage(home, HoldPrefix { order.program.id, Milliseconds(1000) });
        world.advance(SidecarSettings().prefixLease - reportInterval);
        CPPUNIT_ASSERT(world.released.empty());
    }

    void prefixOfUnfinishedCallIsReleasedAfterItsLease()
    {
        for (const bool cancelled : { true, false }) {
            SidecarFixture world;
            const NodeId home = world.link("entry-1");
            const Order order = world.order(home, 1);
            world.core.onMessage(home, order);
            if (cancelled)
                world.core.onMessage(home, CancelOrder { order.id });
            else
                world.core.onEndpointFailed(world.started[0].order, EndpointFailure::TimedOut);
            world.advance(SidecarSettings().prefixLease + reportInterval);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        }
    }

    void prefixIsReleasedAfterCallWhenProgramEndsDuringIt()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.idempotent = false;
        world.core.onMessage(home, order);
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), order.program.id });
        CPPUNIT_ASSERT(world.released.empty() && world.cancelled.empty());
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().heldPrefixes);
    }

    void prefixChangesAreReportedOnlyToTheHome()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const NodeId other = world.link("entry-2");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        world.advance(reportInterval);
        const auto held = world.sentTo<LoadReport>(home).back().heldPrefixes;
        CPPUNIT_ASSERT(held == (std::vector { HeldPrefix { order.program.id, TokenCount(15) } }));
        CPPUNIT_ASSERT(world.sentTo<LoadReport>(other).back().heldPrefixes.empty());
        world.advance(reportInterval);
        const LoadReport unchanged = world.sentTo<LoadReport>(home).back();
        CPPUNIT_ASSERT(unchanged.heldPrefixes.empty() && !unchanged.prefixesComplete);
        world.core.onPrefixEvicted(order.program.id);
        world.advance(reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.sentTo<LoadReport>(home).back().droppedPrefixes.size());
    }

    void newHomeReceivesReportOfAllPrefixes()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        world.advance(2 * reportInterval);
        world.sent.clear();
        world.core.onMessage(next, RecoveryRequest { ShardId(1), Epoch(4) });
        world.advance(reportInterval);
        const LoadReport report = world.sentTo<LoadReport>(next).front();
        CPPUNIT_ASSERT(report.prefixesComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.heldPrefixes.size());
    }

    void idlePrefixIsEvictedWhenCallNeedsMemory()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.cacheCapacity = TokenCount(40);
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        CPPUNIT_ASSERT(world.released.empty());
        world.core.onMessage(home, world.order(home, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.released[0].serial);
    }

    void prefillOfTokensHeldBeforeCountsAsWasted()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order first = world.order(home, 1);
        world.core.onMessage(home, first);
        world.finishLast();
        CPPUNIT_ASSERT(world.core.status().wastedTokens == TokenCount(0));
        Order second = world.order(home, 1, 2);
        second.headBefore = world.ended(first)->headAfter;
        second.historyTokens = TokenCount(15);
        world.core.onMessage(home, second);
        world.core.onEndpointFinished(
            world.started[1].order, { "output", TokenCount(5), TokenCount(4), TokenCount(21) });
        CPPUNIT_ASSERT(world.core.status().wastedTokens == TokenCount(11));
    }

    void recordsOfSubAgentAreKeptUntilItsRootEnds()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order root = world.order(home, 1);
        world.core.onMessage(home, root);
        world.finishLast();
        Order subAgent = world.order(home, 2);
        subAgent.program.root = root.program.id;
        world.core.onMessage(home, subAgent);
        world.finishLast();
        // What an ended sub-agent has spent counts against the budget until its root program ends.
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), subAgent.program.id });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), world.core.status().records);
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), root.program.id });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
    }

    void recordWithKeyIsKeptForRetentionAfterProgramEnds()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.key = IdempotencyKey("contribution-7");
        order.idempotent = false;
        world.core.onMessage(home, order);
        world.finishLast("logged");
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), order.program.id });
        order.id = OrderId(100);
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.ended(order) && world.ended(order)->output == "logged");
        world.advance(SidecarSettings().keyRetention + reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
    }

    void crashingRequestIsQuarantinedAndConcurrentRequestsAreNot()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const auto send = [&](std::uint64_t serial, const std::string& input) {
            world.advance(reportInterval);
            Order order = world.order(home, serial);
            order.input = input;
            world.core.onMessage(home, order);
            return order;
        };
        send(1, "kills");
        const Order concurrent = send(2, "harmless");
        world.core.onEndpointFailed(world.started[0].order, EndpointFailure::Crashed);
        world.core.onEndpointFailed(world.started[1].order, EndpointFailure::Crashed);
        CPPUNIT_ASSERT(world.ended(concurrent)->state == RecordState::Failed);
        CPPUNIT_ASSERT(world.sentTo<OrderEnded>(home).back().endpointCrashed);

        send(3, "kills");
        const Order waiting = send(4, "harmless");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.started.size());
        send(5, "unlucky");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), world.started.size());
        world.core.onEndpointFailed(world.started[2].order, EndpointFailure::Crashed);
        world.core.onEndpointFailed(world.started[3].order, EndpointFailure::Crashed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), world.started.size());
        CPPUNIT_ASSERT(!world.ended(waiting));
        CPPUNIT_ASSERT(world.refusal(send(6, "kills")) == RefusalReason::Quarantined);

        // The request that ran during the second crash only is no suspect, so it does not wait for suspects to finish.
        send(7, "unlucky");
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), world.started.size());
        world.finishLast();

        // An operator lifts the quarantine of the request.
        const std::array<std::string_view, 2> parts { concurrent.service.value, "kills" };
        const ConfigObject lifted { "quarantine", digestOf(parts).value, ObjectVersion(6), true, {} };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(6), { lifted } });
        CPPUNIT_ASSERT(!world.refusal(send(8, "kills")));
    }

    void completedRequestIsNoCrashSuspect()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const auto send = [&](std::uint64_t serial, const std::string& input) {
            world.advance(reportInterval);
            Order order = world.order(home, serial);
            order.input = input;
            world.core.onMessage(home, order);
        };
        send(1, "first");
        send(2, "second");
        world.core.onEndpointFailed(world.started[0].order, EndpointFailure::Crashed);
        world.core.onEndpointFailed(world.started[1].order, EndpointFailure::Crashed);
        send(3, "first");
        world.finishLast();
        send(4, "second");
        send(5, "first");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), world.started.size());
    }

    void requestIsRefusedWhileQuarantineObjectExists()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        const std::array<std::string_view, 2> parts { order.service.value, order.input };
        ConfigObject held { "quarantine", digestOf(parts).value, ObjectVersion(5), false, "{}" };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(5), { held } });
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::Quarantined);
        held.version = ObjectVersion(6);
        held.deleted = true;
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(6), { held } });
        world.core.onMessage(home, world.order(home, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
    }

    void configurationNeverReverts()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const ConfigObject newer { "policy", "default", ObjectVersion(8), false, "new" };
        const ConfigObject older { "policy", "default", ObjectVersion(4), false, "old" };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(8), { newer } });
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(4), { older } });
        CPPUNIT_ASSERT(world.core.status().configRevision == ObjectVersion(8));
        const NodeId other = world.link("entry-2");
        CPPUNIT_ASSERT(world.sentTo<ConfigUpdate>(other).front().objects == std::vector { newer });
    }

    void configurationIsSentToRestartedEntry()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const ConfigObject object { "policy", "default", ObjectVersion(8), false, "new" };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(8), { object } });
        CPPUNIT_ASSERT(world.sentTo<ConfigUpdate>(home).empty());
        world.core.onLinkDown(home);
        world.link("entry-1", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.sentTo<ConfigUpdate>(home).size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SidecarRecoveryTest);
