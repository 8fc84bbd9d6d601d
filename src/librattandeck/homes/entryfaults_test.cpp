#include "entryfixture_test.h"

using namespace Rattandeck;
using namespace Rattandeck::EntryWorld;

/// Behaviour of entries when processes, links, answers or the object store are lost.
class EntryFaultsTest : public EntryFixture {
    CPPUNIT_TEST_SUITE(EntryFaultsTest);
    CPPUNIT_TEST(successorKeepsHistoryAndBudget);
    CPPUNIT_TEST(successorAdoptsRunningCall);
    CPPUNIT_TEST(lossOfAllCopiesOfARecordIsReported);
    CPPUNIT_TEST(recordsCopiedAgainSurviveTheNextLoss);
    CPPUNIT_TEST(pausedHolderStartsNoCallsAfterATakeover);
    CPPUNIT_TEST(restartedHomeRecoversItsShards);
    CPPUNIT_TEST(leasesCoverARestartOnceItsRecordsAreCopied);
    CPPUNIT_TEST(lostAnswersOfUpdatesAreReadBack);
    CPPUNIT_TEST(promisesKeepEntriesServingDuringAStoreOutage);
    CPPUNIT_TEST(holderThatAloneLosesTheStoreStopsServing);
    CPPUNIT_TEST(renewalInFlightCannotOutliveATakeover);
    CPPUNIT_TEST(promisesPreventATakeoverByASuccessorWithStoreAccess);
    CPPUNIT_TEST(idempotentCallIsRetriedAfterLossOfItsSidecar);
    CPPUNIT_TEST(lostNonIdempotentCallIsUnknownUntilItsRecordArrives);
    CPPUNIT_TEST(refusalByARestartedSidecarLeavesTheOutcomeUnknown);
    CPPUNIT_TEST(refusedOrderIsRetried);
    CPPUNIT_TEST(crashingRequestIsQuarantinedOnAllEntries);
    CPPUNIT_TEST(refusedRecoveryRequestDropsTheShard);
    CPPUNIT_TEST(forwardedRequestIsAnsweredWhenItsHomeIsLost);
    CPPUNIT_TEST_SUITE_END();

    void successorKeepsHistoryAndBudget()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1, 1000);
        const CallerTicket first = this->world->sendRequest(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->expectAnswer(first);
        this->world->kill(this->e1);
        this->runUntilTakeover();
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().gaps);
        const CallerTicket second = this->world->sendRequest(this->e2, this->callOf(opened.program, "b", &before));
        this->world->run(Milliseconds(100));
        const AnswerDone after = this->expectAnswer(second);
        CPPUNIT_ASSERT_EQUAL(2U, after.turn.value);
        CPPUNIT_ASSERT_EQUAL(before.budgetLeft.value - after.charged.value, after.budgetLeft.value);
    }

    void successorAdoptsRunningCall()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        CallerRequest call = this->nonIdempotentCallOf(opened.program, "k");
        call.timeLeft = Milliseconds(60000);
        this->world->sendRequest(this->e1, call);
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarThatStarted(opened.program);
        this->world->kill(this->e1);
        this->runUntilTakeover();
        const CallerTicket repeated = this->world->sendRequest(this->e2, call);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(!this->world->finalEvent(repeated));
        this->world->finish(runner, this->world->sidecars.at(runner).open.begin()->first);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<once>"), this->expectAnswer(repeated).output);
        CPPUNIT_ASSERT_EQUAL(1U, this->world->sidecars.at(runner).starts.at(opened.program));
    }

    void lossOfAllCopiesOfARecordIsReported()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        // The only copies of the record are at the home and at the sidecar in the other failure domain.
        this->world->cutLink(this->e1, this->s1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        this->expectAnswer(first);
        CPPUNIT_ASSERT(this->sidecarThatStarted(opened.program) == this->s2);
        this->world->kill(this->s2);
        this->world->kill(this->e1);
        this->runUntilTakeover();
        CPPUNIT_ASSERT(this->world->entries.at(this->e2).core->status().gaps > 0);
        const CallerTicket repeated
            = this->world->sendRequest(this->e2, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(6000));
        CPPUNIT_ASSERT(this->expectProblem(repeated).ran == Ran::Unknown);
        CPPUNIT_ASSERT(this->expectProblem(repeated).kind != ProblemKind::UnknownProgram);
        // Programs opened after the takeover are not affected.
        const AnswerDone later = this->world->open(this->e2);
        const CallerTicket call = this->world->sendRequest(this->e2, this->nonIdempotentCallOf(later.program, "k"));
        this->world->run(Milliseconds(100));
        this->expectAnswer(call);
    }

    void recordsCopiedAgainSurviveTheNextLoss()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->expectAnswer(first);
        const NodeId runner = this->sidecarThatStarted(opened.program);
        const std::string domain = this->world->sidecars.at(runner).hello.domain.value;
        this->world->kill(runner);
        this->world->run(Milliseconds(3000));
        // The sidecar restarts without any records.
        this->world->addSidecar(runner.value, domain, "llm", 2);
        this->world->run(Milliseconds(6000));
        this->world->kill(this->e1);
        this->runUntilTakeover();
        const CallerTicket repeated
            = this->world->sendRequest(this->e2, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->expectAnswer(repeated).head == before.head);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().gaps);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e3).core->status().gaps);
    }

    void pausedHolderStartsNoCallsAfterATakeover()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->world->pause(this->e1);
        this->runUntilTakeover();
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e2));
        std::size_t before = 0;
        for (const auto& [node, sidecar] : this->world->sidecars)
            before += sidecar.orders.size();
        this->world->entries.at(this->e1).timers->updateNow(this->world->timers.now());
        const CallerTicket ticket = this->world->sendRequest(this->e1, this->callOf(opened.program, "late"));
        CPPUNIT_ASSERT(this->expectProblem(ticket).kind == ProblemKind::NotServing);
        this->world->resume(this->e1);
        this->world->run(Milliseconds(100));
        std::size_t after = 0;
        for (const auto& [node, sidecar] : this->world->sidecars)
            after += sidecar.orders.size();
        CPPUNIT_ASSERT_EQUAL(before, after);
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e1) + this->world->ownedShardCount(this->e2));
    }

    void restartedHomeRecoversItsShards()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->expectAnswer(first);
        this->world->kill(this->e1);
        this->world->addEntry("e1", "d1", 2);
        this->runUntilTakeover();
        const CallerTicket second = this->world->sendRequest(this->e2, this->callOf(opened.program, "b", &before));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, this->expectAnswer(second).turn.value);
        const Epoch epoch { this->world->store.value(
            "shardmap", "main")["shards"][opened.program.shard.value]["epoch"] };
        CPPUNIT_ASSERT(epoch > opened.program.openedIn);
    }

    // Restarts the entry after pauses of different lengths, the shortest of which end before the successor takes over
    // the shards and the longest after it.
    void leasesCoverARestartOnceItsRecordsAreCopied()
    {
        for (Milliseconds pause(500); pause <= Milliseconds(12500); pause += Milliseconds(400)) {
            this->start();
            this->world->open(this->e1);
            this->world->kill(this->e1);
            this->world->run(pause);
            this->world->addEntry("e1", "d1", 2);
            this->world->run(Milliseconds(30000));
            std::uint64_t lastChange = 0;
            for (const auto& [key, object] : this->world->store.objects) {
                if (key.kind == "member")
                    lastChange = std::max(lastChange, object.version.value);
            }
            for (const auto& [key, object] : this->world->store.objects) {
                if (key.kind == "lease")
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(pause.count()) + " ms",
                        nlohmann::json::parse(object.value).at("completeThrough") >= lastChange);
            }
        }
    }

    void lostAnswersOfUpdatesAreReadBack()
    {
        this->world = std::make_unique<World>();
        this->world->addEntry("e1", "d1");
        this->world->addEntry("e2", "d2");
        for (auto& [node, entry] : this->world->entries)
            entry.answersToLose = 4;
        this->world->addSidecar("s1", "d1");
        this->world->addSidecar("s2", "d2");
        this->world->run(Milliseconds(20000));
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e1) + this->world->ownedShardCount(this->e2));
        // The lease survives a renewal whose answer is lost.
        this->world->entries.at(this->e1).answersToLose = 1;
        this->world->run(Milliseconds(10000));
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e1) + this->world->ownedShardCount(this->e2));
        const AnswerDone opened = this->world->open(this->e2);
        const CallerTicket call = this->world->sendRequest(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->expectAnswer(call);
    }

    void promisesKeepEntriesServingDuringAStoreOutage()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        for (auto& [node, entry] : this->world->entries)
            entry.storeReachable = false;
        this->world->run(Milliseconds(20000));
        CPPUNIT_ASSERT(this->world->entries.at(this->e1).core->status().reliesOnPromises);
        const CallerTicket call = this->world->sendRequest(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->expectAnswer(call);
        for (auto& [node, entry] : this->world->entries)
            entry.storeReachable = true;
        this->world->run(Milliseconds(10000));
        CPPUNIT_ASSERT(!this->world->entries.at(this->e1).core->status().reliesOnPromises);
        for (auto& [node, entry] : this->world->entries)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(node.value, std::uint64_t(0), entry.core->status().takeovers);
    }

    void holderThatAloneLosesTheStoreStopsServing()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        this->world->entries.at(this->e1).storeReachable = false;
        this->runUntilTakeover();
        CPPUNIT_ASSERT(!this->world->entries.at(this->e1).core->status().isServing);
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e2) + this->world->ownedShardCount(this->e3));
        const CallerTicket call = this->world->sendRequest(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->expectAnswer(call);
    }

    void renewalInFlightCannotOutliveATakeover()
    {
        this->start();
        Entry& holder = this->world->entries.at(this->e1);
        const ObjectKey lease { "lease", "e1" };
        const ObjectVersion before = this->world->store.objects.at(lease).version;
        while (this->world->store.objects.at(lease).version == before)
            this->world->run(Milliseconds(1));
        // The lease has just been renewed for 6000 ms; the successor waits 300 ms longer than that.
        holder.storeReachable = false;
        this->world->run(Milliseconds(5900));
        CPPUNIT_ASSERT(this->world->ownedShardCount(this->e1) > 0);
        holder.storeReachable = true;
        holder.putDelay = Milliseconds(900);
        holder.watchDelay = Milliseconds(20000);
        this->world->cutLink(this->e1, this->e2);
        this->world->cutLink(this->e1, this->s1);
        this->world->cutLink(this->e1, this->s2);
        this->world->run(Milliseconds(1700));
        CPPUNIT_ASSERT_EQUAL(4U, this->world->ownedShardCount(this->e2));
        CPPUNIT_ASSERT_EQUAL(0U, this->world->ownedShardCount(this->e1));
    }

    void promisesPreventATakeoverByASuccessorWithStoreAccess()
    {
        this->start(true);
        const NodeId e4("e4");
        this->world->addEntry("e4", "d4");
        this->world->run(Milliseconds(20000));
        const std::uint32_t before = this->world->ownedShardCount(this->e1);
        CPPUNIT_ASSERT(before > 0);
        // Two of the three grantors have also lost the store; e2 can reach it.
        for (const NodeId& node : { this->e1, this->e3, e4 })
            this->world->entries.at(node).storeReachable = false;
        this->world->run(Milliseconds(15000));
        CPPUNIT_ASSERT(this->world->entries.at(this->e1).core->status().reliesOnPromises);
        CPPUNIT_ASSERT_EQUAL(before, this->world->ownedShardCount(this->e1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().takeovers);
    }

    void idempotentCallIsRetriedAfterLossOfItsSidecar()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        const CallerTicket call = this->world->sendRequest(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarThatStarted(opened.program);
        this->setSidecarsAnswer(true);
        this->world->kill(runner);
        this->world->run(Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("<a>"), this->expectAnswer(call).output);
        // The lost attempt is charged with its reservation of 11 tokens, the successful one with 6.
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100000 - 11 - 6), this->expectAnswer(call).budgetLeft.value);
    }

    void lostNonIdempotentCallIsUnknownUntilItsRecordArrives()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        const CallerTicket call = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarThatStarted(opened.program);
        this->world->cutLink(this->e1, runner);
        this->world->run(Milliseconds(4000));
        CPPUNIT_ASSERT(!this->world->finalEvent(call));
        this->world->run(Milliseconds(1500));
        CPPUNIT_ASSERT(this->expectProblem(call).kind == ProblemKind::OutcomeUnknown);
        CPPUNIT_ASSERT(this->expectProblem(call).ran == Ran::Unknown);
        // The next turn must wait until the lost order can no longer start.
        const CallerTicket early = this->world->sendRequest(this->e1, this->callOf(opened.program, "b"));
        this->world->run(Milliseconds(10));
        CPPUNIT_ASSERT(this->expectProblem(early).ran == Ran::No);
        CPPUNIT_ASSERT(this->expectProblem(early).retryAfter.count() > 0);
        this->world->restoreLink(this->e1, runner);
        this->world->run(Milliseconds(10));
        this->world->finish(runner, this->world->sidecars.at(runner).open.begin()->first);
        this->world->run(Milliseconds(100));
        const CallerTicket repeated
            = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<once>"), this->expectAnswer(repeated).output);
        CPPUNIT_ASSERT_EQUAL(1U, this->world->sidecars.at(runner).starts.at(opened.program));
    }

    void refusalByARestartedSidecarLeavesTheOutcomeUnknown()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        const CallerTicket call = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarThatStarted(opened.program);
        const OrderId order = this->world->sidecars.at(runner).open.begin()->first;
        const std::string domain = this->world->sidecars.at(runner).hello.domain.value;
        this->world->kill(runner);
        this->world->run(Milliseconds(200));
        this->world->addSidecar(runner.value, domain, "llm", 2);
        this->world->sendFrom(runner, this->e1, OrderRefused { order, RefusalReason::NoCredit });
        this->world->run(Milliseconds(300));
        CPPUNIT_ASSERT(this->expectProblem(call).ran == Ran::Unknown);
        for (const auto& [node, sidecar] : this->world->sidecars)
            CPPUNIT_ASSERT(!sidecar.starts.contains(opened.program));
    }

    void refusedOrderIsRetried()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.refusalReason = RefusalReason::Overloaded;
        const CallerTicket call = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(!this->world->finalEvent(call));
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.refusalReason.reset();
        this->world->run(Milliseconds(1500));
        this->expectAnswer(call);
    }

    void crashingRequestIsQuarantinedOnAllEntries()
    {
        this->start();
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.crashes = true;
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->callOf(opened.program, "bad"));
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->expectProblem(first).kind == ProblemKind::Quarantined);
        CPPUNIT_ASSERT(this->expectProblem(first).ran == Ran::Unknown);
        const AnswerDone elsewhere = this->world->open(this->e2);
        const CallerTicket second = this->world->sendRequest(this->e2, this->callOf(elsewhere.program, "bad"));
        this->world->run(Milliseconds(20));
        CPPUNIT_ASSERT(this->expectProblem(second).kind == ProblemKind::Quarantined);
        CPPUNIT_ASSERT(this->expectProblem(second).ran == Ran::No);
        // The quarantine also survives a restart of all entries.
        this->world->kill(this->e1);
        this->world->kill(this->e2);
        this->world->addEntry("e3", "d1", 2);
        // The instance list shows that the grantors of the previous leases no longer run.
        this->world->entries.at(this->e3).core->onInstanceList({});
        this->world->run(Milliseconds(20000));
        const AnswerDone later = this->world->open(this->e3);
        const CallerTicket third = this->world->sendRequest(this->e3, this->callOf(later.program, "bad"));
        this->world->run(Milliseconds(20));
        CPPUNIT_ASSERT(this->expectProblem(third).kind == ProblemKind::Quarantined);
    }

    void refusedRecoveryRequestDropsTheShard()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        RecoveryAnswer refusal;
        refusal.shard = opened.program.shard;
        refusal.epoch = opened.program.openedIn;
        refusal.incarnation = Incarnation(1);
        refusal.refused = true;
        const std::uint32_t before = this->world->ownedShardCount(this->e1);
        this->world->sendFrom(this->s1, this->e1, refusal);
        this->world->run(Milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(before - 1, this->world->ownedShardCount(this->e1));
    }

    void forwardedRequestIsAnsweredWhenItsHomeIsLost()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        const CallerTicket call = this->world->sendRequest(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        this->world->kill(this->e1);
        this->world->run(Milliseconds(10));
        CPPUNIT_ASSERT(this->expectProblem(call).ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->world->events[call].size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryFaultsTest);
