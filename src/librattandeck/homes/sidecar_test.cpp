#include "sidecarfixture_test.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class SidecarOrdersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SidecarOrdersTest);
    CPPUNIT_TEST(finishedCallSendsTokensAndRecord);
    CPPUNIT_TEST(plainServiceGetsInputWithoutHistory);
    CPPUNIT_TEST(chargeIsLimitedToReservation);
    CPPUNIT_TEST(startedRecordIsStoredBeforeCallStarts);
    CPPUNIT_TEST(orderOfLowerEpochIsRefused);
    CPPUNIT_TEST(orderForProgramOfOtherShardIsRefused);
    CPPUNIT_TEST(orderWithoutOutstandingCreditIsRefused);
    CPPUNIT_TEST(orderWithCreditOfOtherEntryIsRefused);
    CPPUNIT_TEST(refusedOrderIsRefusedAgainWithValidCredit);
    CPPUNIT_TEST(refusalHoldsAfterItWasEvictedFromMemory);
    CPPUNIT_TEST(duplicateOfFinishedTurnIsReplayed);
    CPPUNIT_TEST(duplicateOfRunningTurnReceivesItsEvents);
    CPPUNIT_TEST(differentRequestForSameTurnConflicts);
    CPPUNIT_TEST(differentRequestWithSameKeyConflicts);
    CPPUNIT_TEST(orderForEarlierTurnConflicts);
    CPPUNIT_TEST(secondConcurrentCallOfProgramConflicts);
    CPPUNIT_TEST(orderWithOtherHistoryHeadIsRefused);
    CPPUNIT_TEST(failedCallIsRetriedOnlyIfIdempotent);
    CPPUNIT_TEST(callRejectedByEndpointLeavesNoRecord);
    CPPUNIT_TEST(attemptRejectedByEndpointRestoresFormerRecord);
    CPPUNIT_TEST(orderWithUnmeetableDeadlineIsRefusedImmediately);
    CPPUNIT_TEST(queuedCallIsRefusedAtItsDeadline);
    CPPUNIT_TEST(queuedCallIsRefusedWhenDeadlineBecomesUnmeetable);
    CPPUNIT_TEST(queuedCallWithLowestPriorityNumberRunsFirst);
    CPPUNIT_TEST(cancelStopsRunningCallOnlyIfIdempotent);
    CPPUNIT_TEST_SUITE_END();

    void finishedCallSendsTokensAndRecord()
    {
        SidecarFixture world;
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

    void plainServiceGetsInputWithoutHistory()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        for (const bool modelEngine : { false, true }) {
            settings.modelEngine = modelEngine;
            SidecarFixture world(settings);
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

    void chargeIsLimitedToReservation()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.reserved = TokenCount(12);
        world.core.onMessage(home, order);
        world.finishLast();
        CPPUNIT_ASSERT(world.ended(order)->charged == TokenCount(12));
    }

    void startedRecordIsStoredBeforeCallStarts()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        std::uint64_t recordsAtStart = 0;
        world.onCallStarted = [&] { recordsAtStart = world.core.status().records; };
        world.core.onMessage(home, world.order(home, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), recordsAtStart);
    }

    void orderOfLowerEpochIsRefused()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        world.core.onMessage(next, RecoveryRequest { ShardId(1), Epoch(4) });
        const Order late = world.order(home, 1);
        world.core.onMessage(home, late);
        CPPUNIT_ASSERT(world.refusal(late) == RefusalReason::StaleEpoch);
        CPPUNIT_ASSERT(world.started.empty());
    }

    void orderForProgramOfOtherShardIsRefused()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        Order order = world.order(home, 1);
        order.shard = ShardId(2);
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::Conflict);
    }

    void orderWithoutOutstandingCreditIsRefused()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        Order without = world.order(home, 1);
        without.credit = CreditId();
        world.core.onMessage(home, without);
        CPPUNIT_ASSERT(world.refusal(without) == RefusalReason::NoCredit);

        const Order old = world.order(home, 2);
        world.advance(SidecarSettings().creditLifetime);
        world.core.onMessage(home, old);
        CPPUNIT_ASSERT(world.refusal(old) == RefusalReason::NoCredit);
        CPPUNIT_ASSERT(world.started.empty());

        // A grant admits exactly as many orders as it has credits.
        const CreditGrant grant = world.credits[home];
        const std::uint32_t count = grant.count;
        for (std::uint32_t i = 0; i <= count; ++i) {
            Order order = world.order(home, 10 + i);
            order.credit = grant.id;
            world.core.onMessage(home, order);
            CPPUNIT_ASSERT_EQUAL(i == count, world.refusal(order) == RefusalReason::NoCredit);
        }
    }

    void orderWithCreditOfOtherEntryIsRefused()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const NodeId other = world.link("entry-2");
        Order order = world.order(home, 1);
        order.credit = world.credits[other].id;
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::NoCredit);
    }

    void refusedOrderIsRefusedAgainWithValidCredit()
    {
        SidecarFixture world;
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

    void refusalHoldsAfterItWasEvictedFromMemory()
    {
        SidecarFixture world;
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

    void duplicateOfFinishedTurnIsReplayed()
    {
        SidecarFixture world;
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

    void duplicateOfRunningTurnReceivesItsEvents()
    {
        SidecarFixture world;
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

    void differentRequestForSameTurnConflicts()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        Order other = world.order(home, 1);
        other.request = Digest("another");
        world.core.onMessage(home, other);
        CPPUNIT_ASSERT(world.refusal(other) == RefusalReason::Conflict);
    }

    void differentRequestWithSameKeyConflicts()
    {
        SidecarFixture world;
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

    void orderForEarlierTurnConflicts()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1, 5));
        world.finishLast();
        const Order lower = world.order(home, 1, 4);
        world.core.onMessage(home, lower);
        CPPUNIT_ASSERT(world.refusal(lower) == RefusalReason::Conflict);
    }

    void secondConcurrentCallOfProgramConflicts()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1, 1));
        const Order second = world.order(home, 1, 2);
        world.core.onMessage(home, second);
        CPPUNIT_ASSERT(world.refusal(second) == RefusalReason::Conflict);
    }

    void orderWithOtherHistoryHeadIsRefused()
    {
        SidecarFixture world;
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

    void failedCallIsRetriedOnlyIfIdempotent()
    {
        for (const bool idempotent : { true, false }) {
            SidecarFixture world;
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

    void callRejectedByEndpointLeavesNoRecord()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.core.onEndpointFailed(world.started[0].order, EndpointFailure::NotStarted);
        CPPUNIT_ASSERT(world.refusal(order) == RefusalReason::Overloaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), world.core.status().running);
    }

    void attemptRejectedByEndpointRestoresFormerRecord()
    {
        SidecarFixture world;
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

    void orderWithUnmeetableDeadlineIsRefusedImmediately()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.advance(Milliseconds(10000));
        world.finishLast();
        // The measured call time is now ten seconds; two calls run and one waits.
        for (std::uint64_t serial = 2; serial < 5; ++serial) {
            world.advance(Milliseconds(1000));
            world.core.onMessage(home, world.order(home, serial));
        }
        Order urgent = world.order(home, 9);
        urgent.timeLeft = Milliseconds(5000);
        world.core.onMessage(home, urgent);
        CPPUNIT_ASSERT(world.refusal(urgent) == RefusalReason::TooLate);
    }

    void queuedCallIsRefusedAtItsDeadline()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.core.onMessage(home, world.order(home, 2));
        Order queued = world.order(home, 3);
        queued.timeLeft = Milliseconds(400);
        world.core.onMessage(home, queued);
        CPPUNIT_ASSERT(!world.refusal(queued));
        world.advance(Milliseconds(400));
        CPPUNIT_ASSERT(world.refusal(queued) == RefusalReason::TooLate);
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void queuedCallIsRefusedWhenDeadlineBecomesUnmeetable()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.initialConcurrency = 1;
        settings.maxConcurrency = 1;
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        // Measures the prefill speed: five tokens in five seconds.
        world.core.onMessage(home, world.order(home, 1));
        world.advance(Milliseconds(5000));
        world.core.onEndpointTokens(world.started[0].order, "o", TokenCount(1));
        world.finishLast();

        world.core.onMessage(home, world.order(home, 2));
        Order large = world.order(home, 3);
        large.inputTokens = TokenCount(15);
        large.timeLeft = Milliseconds(21000);
        world.core.onMessage(home, large);
        CPPUNIT_ASSERT(!world.refusal(large));
        world.advance(Milliseconds(8000));
        world.finishLast();
        CPPUNIT_ASSERT(world.refusal(large) == RefusalReason::TooLate);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void queuedCallWithLowestPriorityNumberRunsFirst()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.initialConcurrency = 1;
        settings.maxConcurrency = 1;
        settings.queueLimit = 8;
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        for (std::uint64_t serial = 1; serial < 4; ++serial) {
            Order order = world.order(home, serial);
            order.priority = 10.0 - static_cast<double>(serial);
            world.core.onMessage(home, order);
        }
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), world.started.back().program.serial);
    }

    void cancelStopsRunningCallOnlyIfIdempotent()
    {
        for (const bool idempotent : { true, false }) {
            SidecarFixture world;
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
