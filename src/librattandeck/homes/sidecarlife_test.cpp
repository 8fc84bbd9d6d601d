#include "sidecarcredits.h"
#include "sidecarfixture_test.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace Rattandeck;

class SidecarLifeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SidecarLifeTest);
    CPPUNIT_TEST(dividedCreditsNeverExceedFreeCapacity);
    CPPUNIT_TEST(outstandingCreditsNeverExceedAdmissionLimits);
    CPPUNIT_TEST(exhaustedCreditsAreRenewedBeforeNextRegularReport);
    CPPUNIT_TEST(homeOfHeldPrefixKeepsCreditAmongManyIdleEntries);
    CPPUNIT_TEST(idleEntriesLeaveCreditsForActiveEntry);
    CPPUNIT_TEST(queuedCallOfFormerHomeIsRefused);
    CPPUNIT_TEST(recoveryQueryReturnsRecordsAndRedirectsRunningCalls);
    CPPUNIT_TEST(recoveryQueryOfLowerEpochIsRefused);
    CPPUNIT_TEST(copiedRecordsAreStoredAndLowerEpochIsRefused);
    CPPUNIT_TEST(copyDoesNotReplaceRecordWithMoreCertainOutcome);
    CPPUNIT_TEST(missedCallEndIsSentAfterReconnect);
    CPPUNIT_TEST(queuedCallIsRefusedWhenItsHomeDisconnects);
    CPPUNIT_TEST(queuedCallIsRefusedAfterProcessPause);
    CPPUNIT_TEST(orphanedCallIsCancelledOnlyIfIdempotent);
    CPPUNIT_TEST(plannedStopFinishesRunningAndQueuedCalls);
    CPPUNIT_TEST_SUITE_END();

    static inline const Milliseconds reportInterval = SidecarSettings().reportInterval;

    void dividedCreditsNeverExceedFreeCapacity()
    {
        CPPUNIT_ASSERT(rc::check("division of credits", [] {
            std::vector<CreditClaim> claims(*rc::gen::inRange<std::size_t>(1, 400));
            for (CreditClaim& claim : claims)
                claim = { 1 + *rc::gen::inRange(0, 100) / 4.0, *rc::gen::inRange<std::uint32_t>(0, 5),
                    *rc::gen::arbitrary<bool>() };
            const auto available = *rc::gen::inRange<std::uint32_t>(0, 100);
            const auto first = *rc::gen::inRange<std::size_t>(0, 1000);
            const auto extra = divideCredits(available, claims, first);
            RC_ASSERT(extra.size() == claims.size());
            RC_ASSERT(std::accumulate(extra.begin(), extra.end(), 0U) <= available);
        }));
    }

    void outstandingCreditsNeverExceedAdmissionLimits()
    {
        CPPUNIT_ASSERT(rc::check("admission", [] {
            SidecarFixture world;
            std::vector<NodeId> homes(*rc::gen::inRange<std::size_t>(1, 6));
            for (std::size_t i = 0; i < homes.size(); ++i)
                homes[i] = world.link("entry-" + std::to_string(i));
            std::map<CreditId, std::uint32_t> spent;
            std::uint64_t serial = 0;
            for (int step = 0; step < 40; ++step) {
                const NodeId home = *rc::gen::elementOf(homes);
                // Spends all outstanding credits at once, as in a burst of orders from all entries.
                const auto reports = world.sentTo<LoadReport>(home);
                const CreditGrant grant = reports.back().credits;
                while (spent[grant.id] < grant.count) {
                    ++spent[grant.id];
                    Order order = world.order(home, ++serial);
                    order.credit = grant.id;
                    world.core.onMessage(home, order);
                    RC_ASSERT(world.refusal(order) != RefusalReason::Overloaded);
                }
                RC_ASSERT(world.core.status().waiting <= SidecarFixture::defaultSettings().queueLimit);
                if (!world.started.empty() && *rc::gen::arbitrary<bool>())
                    world.finishLast();
                world.advance(Milliseconds(*rc::gen::inRange(0, 1500)));
            }
        }));
    }

    void exhaustedCreditsAreRenewedBeforeNextRegularReport()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const CreditGrant grant = world.credits[home];
        for (std::uint32_t i = 0; i < grant.count; ++i)
            world.core.onMessage(home, world.order(home, 1 + i));
        world.advance(Milliseconds(30));
        CPPUNIT_ASSERT(world.credits[home].id > grant.id);
    }

    // Links more entries than the sidecar can admit calls.
    static void linkManyEntries(SidecarFixture& world)
    {
        constexpr int count = 30;
        for (int i = 0; i < count; ++i)
            world.link("entry-" + std::to_string(i));
    }

    void homeOfHeldPrefixKeepsCreditAmongManyIdleEntries()
    {
        SidecarFixture world;
        const NodeId home = world.link("home");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        linkManyEntries(world);
        // Long after its last order the home still has a credit. The test repeats the wait and the order.
        Digest head = world.sentTo<OrderEnded>(home).back().record.headAfter;
        for (std::uint32_t turn = 2; turn < 8; ++turn) {
            world.advance(Milliseconds(10500));
            Order order = world.order(home, 1, turn);
            order.headBefore = head;
            world.core.onMessage(home, order);
            CPPUNIT_ASSERT_EQUAL(std::size_t(turn), world.started.size());
            world.finishLast();
            head = world.sentTo<OrderEnded>(home).back().record.headAfter;
        }
    }

    void idleEntriesLeaveCreditsForActiveEntry()
    {
        SidecarFixture world;
        linkManyEntries(world);
        world.advance(2 * reportInterval);
        // The active entry is the one that received a credit last.
        const auto granted = std::find_if(world.sent.rbegin(), world.sent.rend(), [](const SidecarFixture::Sent& one) {
            const auto* report = std::get_if<LoadReport>(&one.message);
            return report && report->credits.count > 0;
        });
        const NodeId active = granted->to;
        for (std::uint64_t serial = 1; serial <= 10; ++serial) {
            const Order order = world.order(active, serial);
            world.core.onMessage(active, order);
            CPPUNIT_ASSERT(!world.refusal(order));
            world.finishLast();
            world.advance(Milliseconds(50));
        }
    }

    void queuedCallOfFormerHomeIsRefused()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        world.core.onMessage(home, world.order(home, 1));
        const Order queued = world.order(home, 2);
        world.core.onMessage(home, queued);
        world.core.onMessage(next, RecoveryRequest { ShardId(1), Epoch(4) });
        world.finishLast();
        CPPUNIT_ASSERT(world.refusal(queued) == RefusalReason::StaleEpoch);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
    }

    void recoveryQueryReturnsRecordsAndRedirectsRunningCalls()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        const Order done = world.order(home, 1);
        world.core.onMessage(home, done);
        world.finishLast();
        const Order running = world.order(home, 2);
        world.core.onMessage(home, running);
        world.core.onMessage(next, RecoveryRequest { ShardId(1), Epoch(4) });

        const auto answers = world.sentTo<RecoveryAnswer>(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        const RecoveryAnswer& answer = answers[0];
        CPPUNIT_ASSERT(answer.incarnation == Incarnation(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answer.programs.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer.records.size());
        CPPUNIT_ASSERT(answer.records[0] == *world.ended(done));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer.running.size());
        CPPUNIT_ASSERT(answer.running[0].record.state == RecordState::Started);

        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.sentTo<OrderEnded>(next).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.sentTo<OrderEnded>(home).size());
    }

    void recoveryQueryOfLowerEpochIsRefused()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        const NodeId late = world.link("entry-2");
        world.core.onMessage(late, RecoveryRequest { ShardId(1), Epoch(2) });
        const RecoveryAnswer answer = world.sentTo<RecoveryAnswer>(late).front();
        CPPUNIT_ASSERT(answer.refused && answer.epoch == Epoch(3) && answer.records.empty());
    }

    void copiedRecordsAreStoredAndLowerEpochIsRefused()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        TurnRecord record;
        record.program = order.program.id;
        record.turn = TurnNumber(1);
        record.state = RecordState::Finished;
        record.request = order.request;
        record.output = "elsewhere";
        world.core.onMessage(home, CopyRecords { 9, ShardId(1), Epoch(3), { order.program }, {}, { record } });
        CPPUNIT_ASSERT(world.sentTo<CopyAnswer>(home).back() == (CopyAnswer { 9, false }));
        world.core.onMessage(home, order);
        CPPUNIT_ASSERT(world.ended(order) && world.ended(order)->output == "elsewhere");
        world.core.onMessage(home, CopyRecords { 11, ShardId(1), Epoch(3), {}, { order.program.id }, {} });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
        CPPUNIT_ASSERT(world.released.empty());
        world.core.onMessage(home, CopyRecords { 10, ShardId(1), Epoch(2) });
        CPPUNIT_ASSERT(world.sentTo<CopyAnswer>(home).back() == (CopyAnswer { 10, true }));
    }

    void copyDoesNotReplaceRecordWithMoreCertainOutcome()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast("kept");
        TurnRecord doubtful = *world.ended(order);
        doubtful.state = RecordState::Unknown;
        doubtful.attempt = 9;
        doubtful.output.clear();
        world.core.onMessage(home, CopyRecords { 1, ShardId(1), Epoch(3), {}, {}, { doubtful } });
        Order repeat = order;
        repeat.id = OrderId(100);
        world.core.onMessage(home, repeat);
        CPPUNIT_ASSERT(world.ended(repeat)->state == RecordState::Finished);
        CPPUNIT_ASSERT(world.ended(repeat)->output == "kept");
    }

    void missedCallEndIsSentAfterReconnect()
    {
        SidecarFixture world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.core.onLinkDown(home);
        world.finishLast();
        CPPUNIT_ASSERT(!world.ended(order));
        world.link("entry-1");
        CPPUNIT_ASSERT(world.ended(order));
    }

    void queuedCallIsRefusedWhenItsHomeDisconnects()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        const NodeId other = world.link("entry-2");
        const Order running = world.order(home, 1);
        const Order queued = world.order(home, 2);
        const Order ofOther = world.order(other, 3);
        world.core.onMessage(home, running);
        world.core.onMessage(home, queued);
        world.core.onMessage(other, ofOther);
        world.core.onLinkDown(home);
        world.finishLast();
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
        CPPUNIT_ASSERT(world.ended(ofOther));

        // When the order is sent again, the sidecar reports that it has not run.
        world.link("entry-1");
        world.core.onMessage(home, queued);
        CPPUNIT_ASSERT(world.refusal(queued));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void queuedCallIsRefusedAfterProcessPause()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        const Order queued = world.order(home, 2);
        world.core.onMessage(home, queued);
        // The process was suspended; the first event after it resumes is the end of a call.
        world.timers.updateNow(world.timers.now() + Milliseconds(8000));
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
        CPPUNIT_ASSERT(world.refusal(queued));

        world.advance(reportInterval);
        world.core.onMessage(home, world.order(home, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void orphanedCallIsCancelledOnlyIfIdempotent()
    {
        for (const bool idempotent : { true, false }) {
            SidecarFixture world;
            const NodeId home = world.link("entry-1");
            Order order = world.order(home, 1);
            order.idempotent = idempotent;
            world.core.onMessage(home, order);
            world.core.onLinkDown(home);
            world.advance(SidecarSettings().orphanTimeout - Milliseconds(1));
            CPPUNIT_ASSERT(world.cancelled.empty());
            world.advance(2 * reportInterval);
            CPPUNIT_ASSERT_EQUAL(std::size_t(idempotent ? 1 : 0), world.cancelled.size());
        }
    }

    void plannedStopFinishesRunningAndQueuedCalls()
    {
        SidecarSettings settings = SidecarFixture::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarFixture world(settings);
        const NodeId home = world.link("entry-1");
        const Order running = world.order(home, 1);
        const Order queued = world.order(home, 2);
        world.core.onMessage(home, running);
        world.core.onMessage(home, queued);
        world.core.beginShutdown();
        const LoadReport report = world.sentTo<LoadReport>(home).back();
        CPPUNIT_ASSERT(report.leaving && report.credits.count == 0);
        const Order late = world.order(home, 3);
        world.core.onMessage(home, late);
        CPPUNIT_ASSERT(world.refusal(late) == RefusalReason::Leaving);

        world.advance(3 * reportInterval);
        CPPUNIT_ASSERT(!world.core.isDrained());
        world.finishLast();
        world.finishLast();
        CPPUNIT_ASSERT(world.ended(running) && world.ended(queued));
        // The home gets time to copy the records of this sidecar.
        CPPUNIT_ASSERT(!world.core.isDrained());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.released.size());
        world.advance(2 * reportInterval);
        CPPUNIT_ASSERT(world.core.isDrained());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SidecarLifeTest);
