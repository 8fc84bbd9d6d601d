#include "sidecarcredits.h"
#include "sidecarfixture_test.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace Rattandeck;

class SidecarLifeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SidecarLifeTest);
    CPPUNIT_TEST(dividedCreditsNeverExceedTheRoom);
    CPPUNIT_TEST(liveCreditsNeverOverrunAdmission);
    CPPUNIT_TEST(usedUpCreditsAreRenewedEarly);
    CPPUNIT_TEST(homeOfAPrefixKeepsACreditAmongManyIdleEntries);
    CPPUNIT_TEST(idleEntriesLeaveRoomForActiveOnes);
    CPPUNIT_TEST(queuedCallOfAFormerHomeNeverStarts);
    CPPUNIT_TEST(censusTellsRecordsAndRedirectsRunningCalls);
    CPPUNIT_TEST(censusOfALowerEpochIsRefused);
    CPPUNIT_TEST(copiesAreHeldAndFenced);
    CPPUNIT_TEST(copyDoesNotReplaceACertainRecord);
    CPPUNIT_TEST(endOfAMissedCallIsSentAtRelink);
    CPPUNIT_TEST(queuedCallOfALostHomeNeverStarts);
    CPPUNIT_TEST(queuedCallDoesNotStartAfterAPause);
    CPPUNIT_TEST(abandonedCallIsCancelledOnlyIfIdempotent);
    CPPUNIT_TEST(prefixGoesFreeAtTheProgramsEnd);
    CPPUNIT_TEST(prefixOfADeadHomeGoesFreeAfterItsLease);
    CPPUNIT_TEST(startingSidecarFreesWhatTheEngineHolds);
    CPPUNIT_TEST(renewedPrefixIsKept);
    CPPUNIT_TEST(prefixOfACallThatDidNotFinishGoesFree);
    CPPUNIT_TEST(programEndedUnderACallIsReleasedAfterIt);
    CPPUNIT_TEST(prefixChangesAreReportedToTheHomeOnly);
    CPPUNIT_TEST(newHomeIsToldOfEveryPrefix);
    CPPUNIT_TEST(idlePrefixMakesRoomForACall);
    CPPUNIT_TEST(prefillOfWhatWasHeldIsWasted);
    CPPUNIT_TEST(recordsOfASubAgentGoWithItsRoot);
    CPPUNIT_TEST(keyOutlivesItsProgramForTheRetention);
    CPPUNIT_TEST(crashingRequestIsHeldAndBystandersAreNot);
    CPPUNIT_TEST(requestThatRanThroughIsNoSuspect);
    CPPUNIT_TEST(quarantineObjectIsHonoured);
    CPPUNIT_TEST(configurationNeverReverts);
    CPPUNIT_TEST(configurationGoesBackToARestartedEntry);
    CPPUNIT_TEST(plannedStopFinishesWhatRunsAndWaits);
    CPPUNIT_TEST_SUITE_END();

    static inline const Milliseconds reportInterval = SidecarSettings().reportInterval;

    void dividedCreditsNeverExceedTheRoom()
    {
        CPPUNIT_ASSERT(rc::check("division of credits", [] {
            std::vector<CreditClaim> claims(*rc::gen::inRange<std::size_t>(1, 400));
            for (CreditClaim& claim : claims)
                claim = { 1 + *rc::gen::inRange(0, 100) / 4.0, *rc::gen::inRange<std::uint32_t>(0, 5),
                    *rc::gen::arbitrary<bool>() };
            const auto room = *rc::gen::inRange<std::uint32_t>(0, 100);
            const auto first = *rc::gen::inRange<std::size_t>(0, 1000);
            const auto extra = divideCredits(room, claims, first);
            RC_ASSERT(extra.size() == claims.size());
            RC_ASSERT(std::accumulate(extra.begin(), extra.end(), 0U) <= room);
        }));
    }

    void liveCreditsNeverOverrunAdmission()
    {
        CPPUNIT_ASSERT(rc::check("admission", [] {
            SidecarWorld world;
            std::vector<NodeId> homes(*rc::gen::inRange<std::size_t>(1, 6));
            for (std::size_t i = 0; i < homes.size(); ++i)
                homes[i] = world.link("entry-" + std::to_string(i));
            std::map<CreditId, std::uint32_t> spent;
            std::uint64_t serial = 0;
            for (int step = 0; step < 40; ++step) {
                const NodeId home = *rc::gen::elementOf(homes);
                // Every credit that is live at the sidecar is spent at once, as a burst of all entries would.
                const auto reports = world.sentTo<LoadReport>(home);
                const CreditGrant grant = reports.back().credits;
                while (spent[grant.id] < grant.count) {
                    ++spent[grant.id];
                    Order order = world.order(home, ++serial);
                    order.credit = grant.id;
                    world.core.onMessage(home, order);
                    RC_ASSERT(world.refusal(order) != RefusalReason::Overloaded);
                }
                RC_ASSERT(world.core.status().waiting <= SidecarWorld::defaultSettings().queueLimit);
                if (!world.started.empty() && *rc::gen::arbitrary<bool>())
                    world.finishLast();
                world.pass(Milliseconds(*rc::gen::inRange(0, 1500)));
            }
        }));
    }

    void usedUpCreditsAreRenewedEarly()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const CreditGrant grant = world.credits[home];
        for (std::uint32_t i = 0; i < grant.count; ++i)
            world.core.onMessage(home, world.order(home, 1 + i));
        world.pass(Milliseconds(30));
        CPPUNIT_ASSERT(world.credits[home].id > grant.id);
    }

    // More entries than the sidecar can let calls in.
    static void linkMany(SidecarWorld& world)
    {
        constexpr int count = 30;
        for (int i = 0; i < count; ++i)
            world.link("entry-" + std::to_string(i));
    }

    void homeOfAPrefixKeepsACreditAmongManyIdleEntries()
    {
        SidecarWorld world;
        const NodeId home = world.link("home");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        linkMany(world);
        // Long after its last order, and again and again, the home could order at once.
        Digest head = world.sentTo<OrderEnded>(home).back().record.headAfter;
        for (std::uint32_t turn = 2; turn < 8; ++turn) {
            world.pass(Milliseconds(10500));
            Order order = world.order(home, 1, turn);
            order.headBefore = head;
            world.core.onMessage(home, order);
            CPPUNIT_ASSERT_EQUAL(std::size_t(turn), world.started.size());
            world.finishLast();
            head = world.sentTo<OrderEnded>(home).back().record.headAfter;
        }
    }

    void idleEntriesLeaveRoomForActiveOnes()
    {
        SidecarWorld world;
        linkMany(world);
        world.pass(2 * reportInterval);
        // One that has just got a credit.
        const auto granted = std::find_if(world.sent.rbegin(), world.sent.rend(), [](const SidecarWorld::Sent& one) {
            const auto* report = std::get_if<LoadReport>(&one.message);
            return report && report->credits.count > 0;
        });
        const NodeId active = granted->to;
        for (std::uint64_t serial = 1; serial <= 10; ++serial) {
            const Order order = world.order(active, serial);
            world.core.onMessage(active, order);
            CPPUNIT_ASSERT(!world.refusal(order));
            world.finishLast();
            world.pass(Milliseconds(50));
        }
    }

    void queuedCallOfAFormerHomeNeverStarts()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarWorld world(settings);
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        world.core.onMessage(home, world.order(home, 1));
        const Order queued = world.order(home, 2);
        world.core.onMessage(home, queued);
        world.core.onMessage(next, CensusRequest { ShardId(1), Epoch(4) });
        world.finishLast();
        CPPUNIT_ASSERT(world.refusal(queued) == RefusalReason::StaleEpoch);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
    }

    void censusTellsRecordsAndRedirectsRunningCalls()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        const Order done = world.order(home, 1);
        world.core.onMessage(home, done);
        world.finishLast();
        const Order running = world.order(home, 2);
        world.core.onMessage(home, running);
        world.core.onMessage(next, CensusRequest { ShardId(1), Epoch(4) });

        const auto answers = world.sentTo<CensusAnswer>(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        const CensusAnswer& answer = answers[0];
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

    void censusOfALowerEpochIsRefused()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        const NodeId late = world.link("entry-2");
        world.core.onMessage(late, CensusRequest { ShardId(1), Epoch(2) });
        const CensusAnswer answer = world.sentTo<CensusAnswer>(late).front();
        CPPUNIT_ASSERT(answer.refused && answer.epoch == Epoch(3) && answer.records.empty());
    }

    void copiesAreHeldAndFenced()
    {
        SidecarWorld world;
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

    void copyDoesNotReplaceACertainRecord()
    {
        SidecarWorld world;
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

    void endOfAMissedCallIsSentAtRelink()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.core.onLinkDown(home);
        world.finishLast();
        CPPUNIT_ASSERT(!world.ended(order));
        world.link("entry-1");
        CPPUNIT_ASSERT(world.ended(order));
    }

    void queuedCallOfALostHomeNeverStarts()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarWorld world(settings);
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

        // Asked again, the sidecar tells that the order never ran.
        world.link("entry-1");
        world.core.onMessage(home, queued);
        CPPUNIT_ASSERT(world.refusal(queued));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void queuedCallDoesNotStartAfterAPause()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarWorld world(settings);
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        const Order queued = world.order(home, 2);
        world.core.onMessage(home, queued);
        // The process stood still; the first thing that it hears of is the end of a call.
        world.timers.observe(world.timers.now() + Milliseconds(8000));
        world.finishLast();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.started.size());
        CPPUNIT_ASSERT(world.refusal(queued));

        world.pass(reportInterval);
        world.core.onMessage(home, world.order(home, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.started.size());
    }

    void abandonedCallIsCancelledOnlyIfIdempotent()
    {
        for (const bool idempotent : { true, false }) {
            SidecarWorld world;
            const NodeId home = world.link("entry-1");
            Order order = world.order(home, 1);
            order.idempotent = idempotent;
            world.core.onMessage(home, order);
            world.core.onLinkDown(home);
            world.pass(SidecarSettings().homeAbsence - Milliseconds(1));
            CPPUNIT_ASSERT(world.cancelled.empty());
            world.pass(2 * reportInterval);
            CPPUNIT_ASSERT_EQUAL(std::size_t(idempotent ? 1 : 0), world.cancelled.size());
        }
    }

    void prefixGoesFreeAtTheProgramsEnd()
    {
        SidecarWorld world;
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

    void prefixOfADeadHomeGoesFreeAfterItsLease()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        world.core.onLinkDown(home);
        world.pass(SidecarSettings().prefixLease + reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().heldPrefixes);
    }

    void startingSidecarFreesWhatTheEngineHolds()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), world.releasesOfAll);
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        world.pass(10 * reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), world.releasesOfAll);
    }

    void renewedPrefixIsKept()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        world.pass(SidecarSettings().prefixLease / 2);
        world.core.onMessage(home, HoldPrefix { order.program.id, Milliseconds(1000) });
        world.pass(SidecarSettings().prefixLease - reportInterval);
        CPPUNIT_ASSERT(world.released.empty());
    }

    void prefixOfACallThatDidNotFinishGoesFree()
    {
        for (const bool cancelled : { true, false }) {
            SidecarWorld world;
            const NodeId home = world.link("entry-1");
            const Order order = world.order(home, 1);
            world.core.onMessage(home, order);
            if (cancelled)
                world.core.onMessage(home, CancelOrder { order.id });
            else
                world.core.onEndpointFailed(world.started[0].order, EndpointFailure::TimedOut);
            world.pass(SidecarSettings().prefixLease + reportInterval);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        }
    }

    void programEndedUnderACallIsReleasedAfterIt()
    {
        SidecarWorld world;
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

    void prefixChangesAreReportedToTheHomeOnly()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const NodeId other = world.link("entry-2");
        const Order order = world.order(home, 1);
        world.core.onMessage(home, order);
        world.finishLast();
        world.pass(reportInterval);
        const auto held = world.sentTo<LoadReport>(home).back().heldPrefixes;
        CPPUNIT_ASSERT(held == (std::vector { HeldPrefix { order.program.id, TokenCount(15) } }));
        CPPUNIT_ASSERT(world.sentTo<LoadReport>(other).back().heldPrefixes.empty());
        world.pass(reportInterval);
        const LoadReport unchanged = world.sentTo<LoadReport>(home).back();
        CPPUNIT_ASSERT(unchanged.heldPrefixes.empty() && !unchanged.prefixesComplete);
        world.core.onPrefixDropped(order.program.id);
        world.pass(reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.sentTo<LoadReport>(home).back().droppedPrefixes.size());
    }

    void newHomeIsToldOfEveryPrefix()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const NodeId next = world.link("entry-2");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        world.pass(2 * reportInterval);
        world.sent.clear();
        world.core.onMessage(next, CensusRequest { ShardId(1), Epoch(4) });
        world.pass(reportInterval);
        const LoadReport report = world.sentTo<LoadReport>(next).front();
        CPPUNIT_ASSERT(report.prefixesComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.heldPrefixes.size());
    }

    void idlePrefixMakesRoomForACall()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.cacheCapacity = TokenCount(40);
        SidecarWorld world(settings);
        const NodeId home = world.link("entry-1");
        world.core.onMessage(home, world.order(home, 1));
        world.finishLast();
        CPPUNIT_ASSERT(world.released.empty());
        world.core.onMessage(home, world.order(home, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.released.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.released[0].serial);
    }

    void prefillOfWhatWasHeldIsWasted()
    {
        SidecarWorld world;
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

    void recordsOfASubAgentGoWithItsRoot()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const Order root = world.order(home, 1);
        world.core.onMessage(home, root);
        world.finishLast();
        Order subAgent = world.order(home, 2);
        subAgent.program.root = root.program.id;
        world.core.onMessage(home, subAgent);
        world.finishLast();
        // What an ended sub-agent has spent counts as long as its root lives.
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), subAgent.program.id });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), world.core.status().records);
        world.core.onMessage(home, ReleaseProgram { ShardId(1), Epoch(3), root.program.id });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
    }

    void keyOutlivesItsProgramForTheRetention()
    {
        SidecarWorld world;
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
        world.pass(SidecarSettings().keyRetention + reportInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.core.status().records);
    }

    void crashingRequestIsHeldAndBystandersAreNot()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const auto send = [&](std::uint64_t serial, const std::string& input) {
            world.pass(reportInterval);
            Order order = world.order(home, serial);
            order.input = input;
            world.core.onMessage(home, order);
            return order;
        };
        send(1, "kills");
        const Order bystander = send(2, "harmless");
        world.core.onEndpointFailed(world.started[0].order, EndpointFailure::Crashed);
        world.core.onEndpointFailed(world.started[1].order, EndpointFailure::Crashed);
        CPPUNIT_ASSERT(world.ended(bystander)->state == RecordState::Failed);
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

        // What ran beside it in the second crash was no suspect: it need not wait for one.
        send(7, "unlucky");
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), world.started.size());
        world.finishLast();

        // An operator lets it through again.
        const std::array<std::string_view, 2> parts { bystander.service.value, "kills" };
        const ConfigObject lifted { "quarantine", digestOf(parts).value, ObjectVersion(6), true, {} };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(6), { lifted } });
        CPPUNIT_ASSERT(!world.refusal(send(8, "kills")));
    }

    void requestThatRanThroughIsNoSuspect()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const auto send = [&](std::uint64_t serial, const std::string& input) {
            world.pass(reportInterval);
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

    void quarantineObjectIsHonoured()
    {
        SidecarWorld world;
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
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const ConfigObject newer { "policy", "default", ObjectVersion(8), false, "new" };
        const ConfigObject older { "policy", "default", ObjectVersion(4), false, "old" };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(8), { newer } });
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(4), { older } });
        CPPUNIT_ASSERT(world.core.status().configRevision == ObjectVersion(8));
        const NodeId other = world.link("entry-2");
        CPPUNIT_ASSERT(world.sentTo<ConfigUpdate>(other).front().objects == std::vector { newer });
    }

    void configurationGoesBackToARestartedEntry()
    {
        SidecarWorld world;
        const NodeId home = world.link("entry-1");
        const ConfigObject object { "policy", "default", ObjectVersion(8), false, "new" };
        world.core.onMessage(home, ConfigUpdate { ObjectVersion(8), { object } });
        CPPUNIT_ASSERT(world.sentTo<ConfigUpdate>(home).empty());
        world.core.onLinkDown(home);
        world.link("entry-1", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.sentTo<ConfigUpdate>(home).size());
    }

    void plannedStopFinishesWhatRunsAndWaits()
    {
        SidecarSettings settings = SidecarWorld::defaultSettings();
        settings.initialConcurrency = 1;
        SidecarWorld world(settings);
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

        world.pass(3 * reportInterval);
        CPPUNIT_ASSERT(!world.core.isDrained());
        world.finishLast();
        world.finishLast();
        CPPUNIT_ASSERT(world.ended(running) && world.ended(queued));
        // The home gets time to copy what stands here.
        CPPUNIT_ASSERT(!world.core.isDrained());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.released.size());
        world.pass(2 * reportInterval);
        CPPUNIT_ASSERT(world.core.isDrained());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SidecarLifeTest);
