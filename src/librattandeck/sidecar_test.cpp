#include "sidecarfixture_test.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class SidecarOrdersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SidecarOrdersTest);
    CPPUNIT_TEST(answersWithTokensAndRecord);
    CPPUNIT_TEST(plainServiceGetsTheInputAlone);
    CPPUNIT_TEST(chargeStaysWithinTheReservation);
    CPPUNIT_TEST(recordStandsBeforeTheStart);
    CPPUNIT_TEST(lowerEpochIsRefused);
    CPPUNIT_TEST(orderOfAnotherShardsProgramIsRefused);
    CPPUNIT_TEST(orderNeedsALiveCredit);
    CPPUNIT_TEST(creditOfAnotherEntryIsRefused);
    CPPUNIT_TEST(refusedOrderNeverRuns);
    CPPUNIT_TEST(forgottenRefusalsStillHold);
    CPPUNIT_TEST(repeatOfAFinishedTurnIsReplayed);
    CPPUNIT_TEST(repeatOfARunningTurnGetsItsEvents);
    CPPUNIT_TEST(otherRequestUnderTheSameTurnConflicts);
    CPPUNIT_TEST(otherRequestUnderTheSameKeyConflicts);
    CPPUNIT_TEST(lowerTurnConflicts);
    CPPUNIT_TEST(secondCallOfAProgramConflicts);
    CPPUNIT_TEST(foreignHistoryIsRefused);
    CPPUNIT_TEST(failedCallRunsAgainOnlyIfIdempotent);
    CPPUNIT_TEST(callThatWasNotStartedLeavesNoRecord);
    CPPUNIT_TEST(attemptThatWasNotStartedLeavesTheFormerRecord);
    CPPUNIT_TEST(deadlineThatCantBeMetIsRefusedAtOnce);
    CPPUNIT_TEST(queuedCallIsRefusedAtItsDeadline);
    CPPUNIT_TEST(queuedCallThatHasBecomeHopelessIsRefused);
    CPPUNIT_TEST(lowestPriorityNumberRunsFirst);
    CPPUNIT_TEST(cancelledCallStopsOnlyIfItMay);
    CPPUNIT_TEST_SUITE_END();

    void answersWithTokensAndRecord()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
        world.core.onEndpointTokens(world.started[0].order, "out", TokenCount(2));
        world.core.onEndpointTokens(world.started[0].order, "put", TokenCount(3));
        world.finishLast("output");

        const auto tokens = world.sentTo<OrderTokens>(home);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), tokens.size());
        CPPUNIT_ASSERT(tokens[1] == (OrderTokens { order.id, 1, "put", TokenCount(3) }));
        const auto record = world.ended(order);
        CPPUNIT_ASSERT(record && record->state == RecordState::Finished);
        CPPUNIT_ASSERT(record->charged == TokenCount(15));
        CPPUNIT_ASSERT(record->headAfter == chainDigest(order.headBefore, order.turn, order.input, "output"));
    }

    void plainServiceGetsTheInputAlone()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        for (const bool modelEngine : { false, true }) {
            settings.modelEngine = modelEngine;
            SidecarWorld world(settings);
            const NodeId home = world.link("entry-1");
            Order order = world.order(home, 1);
            order.history = "earlier turns";
            order.historyTokens = TokenCount(3);
            world.core.onMessage(home, order);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
            const std::string history = modelEngine ? order.history : "";
            CPPUNIT_ASSERT_EQUAL(history + order.input, world.started[0].prompt);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(modelEngine ? 13 : 10), world.started[0].promptTokens.value);
        }
    }

    void chargeStaysWithinTheReservation()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.reserved = TokenCount(12);
        world.core.onMessage(home, order);
        world.finishLast();
        CPPUNIT_ASSERT(world.ended(order)->charged == TokenCount(12));
    }

    void recordStandsBeforeTheStart()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        std::uint64_t recordsAtStart = 0;
        world.atStart = [&] { recordsAtStart = world.core.status().records; };
        world.core.onMessage(home, world.order(home, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), recordsAtStart);
    }

    void lowerEpochIsRefused()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        world.core.onMessage(next, RecoveryRequest { ShardId(1), Epoch(4) });
        const Order late = world.order(home, 1);
        world.core.onMessage(home, late);
        CPPUNIT_ASSERT(world.refusal(late) == RefusalReason::StaleEpoch);
        CPPUNIT_ASSERT(world.started.empty());
    }

    void orderOfAnotherShardsProgramIsRefused()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.shard = ShardId(2);
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::Conflict);
    }

    void orderNeedsALiveCredit()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order without = world.order(home, 1);
        without.credit = CreditId();
        world.core.onMessage(home, without);
        CPPUNIT_ASSERT(world.refusal(without) == RefusalReason::NoCredit);

        const Order old = world.order(home, 2);
        world.pass(SidecarSettings().creditLifetime);
        world.core.onMessage(home, old);
        CPPUNIT_ASSERT(world.refusal(old) == RefusalReason::NoCredit);
        CPPUNIT_ASSERT(world.started.empty());

        // A grant of some credits lets in so many orders, no more.
        const CreditGrant grant = world.credits[home];
        const std::uint32_t count = grant.count;
        for (std::uint32_t i = 0; i <= count; ++i) {
            Order order = world.order(home, 10 + i);
            order.credit = grant.id;
            world.core.onMessage(home, order);
            CPPUNIT_ASSERT_EQUAL(i == count, world.refusal(order) == RefusalReason::NoCredit);
        }
    }

    void creditOfAnotherEntryIsRefused()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const NodeId other = world.link("entry-2");
        Order order = world.order(home, 1);
        order.credit = world.credits[other].id;
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::NoCredit);
    }

    void refusedOrderNeverRuns()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        const CreditId good = order.credit;
        order.credit = CreditId();
        world.core.onMessage(home, order);
        order.credit = good;
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.started.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.sentTo<OrderRefused>(home).size());
    }

    void forgottenRefusalsStillHold()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order first = world.order(home, 1);
        first.credit = CreditId();
        world.core.onMessage(home, first);
        for (std::uint64_t serial = 2; serial < 6000; ++serial) {
            Order other = world.order(home, serial);
            other.credit = CreditId();
            world.core.onMessage(home, other);
        }
        first.credit = world.credits[home].id;
        world.core.onMessage(home, first);
        CPPUNIT_ASSERT(world.started.empty());
    }

    void repeatOfAFinishedTurnIsReplayed()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.idempotent = false;
        world.core.onMessage(home, order);
        world.finishLast("once");
        Order repeat = order;
        repeat.id = OrderId(100);
        repeat.attempt = 2;
        repeat.credit = CreditId();
        world.core.onMessage(home, repeat);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
        CPPUNIT_ASSERT(world.ended(repeat) && world.ended(repeat)->output == "once");
    }

    void repeatOfARunningTurnGetsItsEvents()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.core.onEndpointTokens(world.started[0].order, "a", TokenCount(1));
        Order repeat = order;
        repeat.id = OrderId(100);
        world.core.onMessage(home, repeat);
        world.core.onEndpointTokens(world.started[0].order, "b", TokenCount(1));
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
        std::string text;
        for (const OrderTokens& tokens : world.sentTo<OrderTokens>(home)) {
            if (tokens.id == repeat.id)
                text += std::to_string(tokens.part) + tokens.text;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("0a1b"), text);
        CPPUNIT_ASSERT(world.ended(order) && world.ended(repeat));
    }

    void otherRequestUnderTheSameTurnConflicts()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        Order other = world.order(home, 1);
        other.request = Digest("another");
        world.core.onMessage(home, other);
        CPPUNIT_ASSERT(world.refusal(other) == RefusalReason::Conflict);
    }

    void otherRequestUnderTheSameKeyConflicts()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.key = IdempotencyKey("invoice-7");
        world.core.onMessage(home, order);
        world.finishLast();
        Order other = world.order(home, 1, 2);
        other.key = order.key;
        world.core.onMessage(home, other);
        CPPUNIT_ASSERT(world.refusal(other) == RefusalReason::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
    }

    void lowerTurnConflicts()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1, 5));
        world.finishLast();
        const Order lower = world.order(home, 1, 4);
        world.core.onMessage(home, lower);
        CPPUNIT_ASSERT(world.refusal(lower) == RefusalReason::Conflict);
    }

    void secondCallOfAProgramConflicts()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1, 1));
        const Order second = world.order(home, 1, 2);
        world.core.onMessage(home, second);
        CPPUNIT_ASSERT(world.refusal(second) == RefusalReason::Conflict);
    }

    void foreignHistoryIsRefused()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order first = world.order(home, 1, 1);
        world.core.onMessage(home, first);
        world.finishLast();
        Order foreign = world.order(home, 1, 2);
        foreign.headBefore = Digest("foreign");
        world.core.onMessage(home, foreign);
        CPPUNIT_ASSERT(world.refusal(foreign) == RefusalReason::HistoryMismatch);
        Order right = world.order(home, 1, 2);
        right.headBefore = world.ended(first)->headAfter;
        world.core.onMessage(home, right);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void failedCallRunsAgainOnlyIfIdempotent()
    {
        for (const bool idempotent : { true, false }) {
            SidecarWorld world;
            const NodeId home = world.link("entry-1");
            Order order = world.order(home, 1);
            order.idempotent = idempotent;
            world.core.onMessage(home, order);
            world.core.onEndpointFailed(world.started[0].order, EndpointFailure::Error);
            CPPUNIT_ASSERT(world.ended(order)->state == RecordState::Failed);
            order.id = OrderId(100);
            order.attempt = 2;
            world.core.onMessage(home, order);
            CPPUNIT_ASSERT_EQUAL(std::size_t(idempotent ? 2 : 1), world.started.size());
            CPPUNIT_ASSERT_EQUAL(!idempotent, world.ended(order).has_value());
        }
    }

    void callThatWasNotStartedLeavesNoRecord()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.core.onEndpointFailed(world.started[0].order, EndpointFailure::NotStarted);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::Overloaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), world.core.status().running);
    }

    void attemptThatWasNotStartedLeavesTheFormerRecord()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order first = world.order(home, 1);
        world.core.onMessage(home, first);
        world.core.onEndpointFailed(world.started[0].order, EndpointFailure::Error);
        Order second = world.order(home, 1);
        second.attempt = 2;
        world.core.onMessage(home, second);
        world.core.onEndpointFailed(world.started[1].order, EndpointFailure::NotStarted);
        Order repeat = first;
        repeat.id = OrderId(100);
        world.core.onMessage(home, repeat);
        CPPUNIT_ASSERT(world.ended(repeat) && world.ended(repeat)->state == RecordState::Failed);
    }

    void deadlineThatCantBeMetIsRefusedAtOnce()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.pass(Milliseconds(10000));
        world.finishLast();
        // Each call is now known to take ten seconds; two run and one more waits.
        for (std::uint64_t serial = 2; serial < 5; ++serial) {
            world.pass(Milliseconds(1000));
            world.core.onMessage(home, world.order(home, serial));
        }
        Order hurried = world.order(home, 9);
        hurried.timeLeft = Milliseconds(5000);
        world.core.onMessage(home, hurried);
        CPPUNIT_ASSERT(world.refusal(hurried) == RefusalReason::TooLate);
    }

    void queuedCallIsRefusedAtItsDeadline()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.core.onMessage(home, world.order(home, 2));
        Order queued = world.order(home, 3);
        queued.timeLeft = Milliseconds(400);
        world.core.onMessage(home, queued);
        CPPUNIT_ASSERT(!world.refusal(queued));
        world.pass(Milliseconds(400));
        CPPUNIT_ASSERT(world.refusal(queued) == RefusalReason::TooLate);
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void queuedCallThatHasBecomeHopelessIsRefused()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.initialConcurrency = 1;
        settings.maxConcurrency = 1;
        SidecarWorld world(settings);
        const NodeId home = world.link("entry-1");
        // Prefill is measured: five tokens in five seconds.
        world.core.onMessage(home, world.order(home, 1));
        world.pass(Milliseconds(5000));
        world.core.onEndpointTokens(world.started[0].order, "o", TokenCount(1));
        world.finishLast();

        world.core.onMessage(home, world.order(home, 2));
        Order large = world.order(home, 3);
        large.inputTokens = TokenCount(15);
        large.timeLeft = Milliseconds(21000);
        world.core.onMessage(home, large);
        CPPUNIT_ASSERT(!world.refusal(large));
        world.pass(Milliseconds(8000));
        world.finishLast();
        CPPUNIT_ASSERT(world.refusal(large) == RefusalReason::TooLate);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void lowestPriorityNumberRunsFirst()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.initialConcurrency = 1;
        settings.maxConcurrency = 1;
        settings.queueLimit = 8;
        SidecarWorld world(settings);
        const NodeId home = world.link("entry-1");
        for (std::uint64_t serial = 1; serial < 4; ++serial) {
            Order order = world.order(home, serial);
            order.priority = 10.0 - static_cast<double>(serial);
            world.core.onMessage(home, order);
        }
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), world.started.back().program.serial);
    }

    void cancelledCallStopsOnlyIfItMay()
    {
        for (const bool idempotent : { true, false }) {
            SidecarWorld world;
            const NodeId home = world.link("entry-1");
            Order order = world.order(home, 1);
            order.idempotent = idempotent;
            world.core.onMessage(home, order);
            world.core.onMessage(home, CancelOrder { order.id });
            CPPUNIT_ASSERT_EQUAL(std::size_t(idempotent ? 1 : 0), world.cancelled.size());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(idempotent ? 0 : 1), world.core.status().running);
            world.finishLast();
            const RecordState expected = idempotent ? RecordState::Failed : RecordState::Finished;
            CPPUNIT_ASSERT(world.ended(order)->state == expected);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SidecarOrdersTest);
